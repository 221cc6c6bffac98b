// Encodes and reads what a host reports of servers' announcements.

#include "protocol/announcement_codec.h"

#include <algorithm>
#include <boost/json/object.hpp>
#include <cmath>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

namespace mustardflow::protocol {

namespace json = boost::json;
using coordination::AnnouncementReport;
using state::Duration;

namespace {

// Longer times are cut, so that sums of times do not overflow.
constexpr Duration kMaxTime = std::chrono::hours(24);

Duration ReadTime(const json::value& value) {
  const auto time = Duration(value.to_number<std::int64_t>());
  if (time < Duration(0)) {
    throw std::invalid_argument("negative time");
  }
  return std::min(time, kMaxTime);
}

AnnouncementReport ReadAnnouncement(const json::object& object) {
  AnnouncementReport report;
  report.server.id = std::string(object.at("server").as_string());
  report.server.start_time_ms = object.at("born").to_number<std::int64_t>();
  if (const json::value* limit = object.if_contains("limit")) {
    report.rate_limit = limit->to_number<double>();
    if (!std::isfinite(*report.rate_limit) || *report.rate_limit < 0) {
      throw std::invalid_argument("invalid limit");
    }
  }
  if (const json::value* age = object.if_contains("limit_age_us")) {
    report.limit_age = ReadTime(*age);
  }
  report.leaving = object.at("leaving").as_bool();
  report.pause = ReadTime(object.at("pause_us"));
  return report;
}

}  // namespace

json::array EncodeAnnouncements(
    const std::vector<AnnouncementReport>& reports) {
  json::array list;
  for (const AnnouncementReport& report : reports) {
    json::object object{{"server", report.server.id},
                        {"born", report.server.start_time_ms},
                        {"leaving", report.leaving},
                        {"pause_us", report.pause.count()}};
    if (report.rate_limit) {
      object["limit"] = *report.rate_limit;
    }
    if (report.limit_age) {
      object["limit_age_us"] = report.limit_age->count();
    }
    list.push_back(std::move(object));
  }
  return list;
}

std::vector<AnnouncementReport> ReadAnnouncements(const json::value& value) {
  std::vector<AnnouncementReport> reports;
  for (const json::value& report : value.as_array()) {
    reports.push_back(ReadAnnouncement(report.as_object()));
  }
  return reports;
}

}  // namespace mustardflow::protocol
