// Reading of values in the platform's JSON, where anything may be missing or of
// another type.

#ifndef MUSTARDFLOW_PLATFORM_WIRE_VALUES_H_
#define MUSTARDFLOW_PLATFORM_WIRE_VALUES_H_

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "state/time.h"

namespace mustardflow::platform {

// Parses a number with its unit, "ms" or "s": "1500ms", "2.5s".
std::optional<state::Duration> ParsePeriod(std::string_view text);
std::string FormatPeriod(state::Duration period);

// The member of `object` with this name, or null.
const boost::json::value* Member(const boost::json::value& object,
                                 std::string_view name);

std::optional<std::string> TextMember(const boost::json::value& object,
                                      std::string_view name);
std::optional<double> NumberMember(const boost::json::value& object,
                                   std::string_view name);
std::optional<std::int64_t> IntegerMember(const boost::json::value& object,
                                          std::string_view name);
std::optional<state::Duration> PeriodMember(const boost::json::value& object,
                                            std::string_view name);

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_WIRE_VALUES_H_
