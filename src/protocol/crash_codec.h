// The JSON encoding of what hosts and the leader tell each other about requests
// that crash backend servers.

#ifndef MUSTARDFLOW_PROTOCOL_CRASH_CODEC_H_
#define MUSTARDFLOW_PROTOCOL_CRASH_CODEC_H_

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/crash_report.h"

namespace mustardflow::protocol {

// Sixteen hexadecimal digits.
std::string FormatFingerprint(coordination::RequestFingerprint fingerprint);
// Returns nullopt if `text` is anything else.
std::optional<coordination::RequestFingerprint> ParseFingerprint(
    std::string_view text);

boost::json::object EncodeCrashReport(const coordination::CrashReport& report);
// Throws std::exception if `value` is not a valid encoding.
coordination::CrashReport ReadCrashReport(const boost::json::value& value);

boost::json::array EncodeCrashingRequests(
    const std::vector<coordination::CrashingRequest>& requests);
// Throws std::exception if `value` is not a valid encoding.
std::vector<coordination::CrashingRequest> ReadCrashingRequests(
    const boost::json::value& value);

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_CRASH_CODEC_H_
