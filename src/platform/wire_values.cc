// Type-checked access to members of JSON objects.

#include "platform/wire_values.h"

#include <charconv>
#include <cmath>

namespace mustardflow::platform {

namespace json = boost::json;

namespace {

// A longer duration is rejected as corrupt.
constexpr double kMaxPeriodMs = 1e9;

}  // namespace

std::optional<double> ParseNumber(std::string_view text) {
  double value = 0;
  const char* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, value);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(value)) {
    return std::nullopt;
  }
  return value;
}

std::optional<state::Duration> ParsePeriod(std::string_view text) {
  double value = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc()) {
    return std::nullopt;
  }
  const std::string_view unit(end, text.data() + text.size() - end);
  const double factor = unit == "ms" ? 1 : unit == "s" ? 1000 : 0;
  const double milliseconds = value * factor;
  if (factor == 0 || !std::isfinite(milliseconds) || milliseconds < 0 ||
      milliseconds > kMaxPeriodMs) {
    return std::nullopt;
  }
  return state::Duration(static_cast<std::int64_t>(milliseconds * 1000));
}

std::string FormatPeriod(state::Duration period) {
  return std::to_string(period.count() / 1000) + "ms";
}

const json::value* Member(const json::value& object, std::string_view name) {
  return object.is_object() ? object.get_object().if_contains(name) : nullptr;
}

std::optional<std::string> TextMember(const json::value& object,
                                      std::string_view name) {
  const json::value* member = Member(object, name);
  if (member == nullptr || !member->is_string()) {
    return std::nullopt;
  }
  return std::string(member->get_string());
}

std::optional<double> NumberMember(const json::value& object,
                                   std::string_view name) {
  const json::value* member = Member(object, name);
  if (member == nullptr || !member->is_number()) {
    return std::nullopt;
  }
  return member->to_number<double>();
}

std::optional<std::int64_t> IntegerMember(const json::value& object,
                                          std::string_view name) {
  const json::value* member = Member(object, name);
  if (member == nullptr || !member->is_number()) {
    return std::nullopt;
  }
  json::error_code error;
  const auto value = member->to_number<std::int64_t>(error);
  return error ? std::nullopt : std::optional(value);
}

std::optional<state::Duration> PeriodMember(const json::value& object,
                                            std::string_view name) {
  const auto text = TextMember(object, name);
  return text ? ParsePeriod(*text) : std::nullopt;
}

}  // namespace mustardflow::platform
