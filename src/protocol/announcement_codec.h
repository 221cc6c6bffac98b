// The JSON encoding of servers' announcements in a host's report.

#ifndef MUSTARDFLOW_PROTOCOL_ANNOUNCEMENT_CODEC_H_
#define MUSTARDFLOW_PROTOCOL_ANNOUNCEMENT_CODEC_H_

#include <boost/json/array.hpp>
#include <boost/json/value.hpp>
#include <vector>

#include "coordination/reported_announcements.h"

namespace mustardflow::protocol {

boost::json::array EncodeAnnouncements(
    const std::vector<coordination::AnnouncementReport>& reports);
// Throws std::exception if `value` is not a valid encoding.
std::vector<coordination::AnnouncementReport> ReadAnnouncements(
    const boost::json::value& value);

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_ANNOUNCEMENT_CODEC_H_
