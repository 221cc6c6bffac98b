// Access to members of the platform's JSON, in which any member may be missing
// or have an unexpected type.

#ifndef MUSTARDFLOW_PLATFORM_WIRE_VALUES_H_
#define MUSTARDFLOW_PLATFORM_WIRE_VALUES_H_

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "state/time.h"

namespace mustardflow::platform {

// Returns nullopt if the text is not a finite number and nothing else.
std::optional<double> ParseNumber(std::string_view text);

// Convert between durations and numbers with the unit "ms" or "s", such as
// "1500ms" and "2.5s". ParsePeriod returns nullopt for an invalid, negative or
// implausibly long duration. FormatPeriod always uses "ms".
std::optional<state::Duration> ParsePeriod(std::string_view text);
std::string FormatPeriod(state::Duration period);

// Returns the member of `object` with this name, or null.
const boost::json::value* Member(const boost::json::value& object,
                                 std::string_view name);

// Return the value of the member with this name, or nullopt if the member is
// missing or not of the type.
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
