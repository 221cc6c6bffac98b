// Parsing of load reports, and bodies of grants and releases.

#include "platform/server_protocol.h"

#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>

#include "platform/wire_values.h"

namespace mustardflow::platform {

namespace json = boost::json;

std::optional<LoadReport> ParseLoadReport(std::string_view text) {
  std::array<int, 4> numbers = {0, 0, 0, 100};
  std::size_t count = 0;
  const char* position = text.data();
  const char* const end = text.data() + text.size();
  while (count < numbers.size() && position < end) {
    const auto parsed = std::from_chars(position, end, numbers[count]);
    if (parsed.ec != std::errc() || numbers[count] < 0) {
      return std::nullopt;
    }
    ++count;
    position = parsed.ptr;
    if (position < end && *position != ',') {
      return std::nullopt;
    }
    while (position < end && (*position == ',' || *position == ' ')) {
      ++position;
    }
  }
  if (count < 3 || numbers[2] < 1) {
    return std::nullopt;
  }
  return LoadReport{numbers[0], numbers[1], numbers[2], numbers[3] / 100.0};
}

std::optional<double> ParseRateLimit(std::string_view text) {
  double limit = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(),
                                      limit, std::chars_format::fixed);
  const bool valid = parsed.ec == std::errc() &&
                     parsed.ptr == text.data() + text.size() &&
                     std::isfinite(limit) && limit >= 0;
  return valid ? std::optional(limit) : std::nullopt;
}

std::string GrantBody(std::int32_t first,
                      std::int32_t last,
                      std::int64_t fence,
                      state::Duration lease,
                      const std::string& handover) {
  json::object body{{"from", first},
                    {"target", last},
                    {"fence", fence},
                    {"hold_time", FormatPeriod(lease)}};
  if (!handover.empty()) {
    body["handover"] = handover;
  }
  return json::serialize(body);
}

std::string ReleaseBody(std::int32_t first,
                        std::int32_t last,
                        std::int64_t fence) {
  return json::serialize(
      json::object{{"from", first}, {"target", last}, {"fence", fence}});
}

}  // namespace mustardflow::platform
