// Implements the log sink and the text and JSON formats of log lines.

#include "transport/logging.h"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <boost/log/attributes/clock.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/manipulators/add_value.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>
#include <utility>

namespace mustardflow::transport {

namespace logging = boost::log;

namespace {

constexpr std::array<std::string_view, 6> kLevelNames = {
    "trace", "debug", "info", "warning", "error", "fatal"};

using Source = logging::sources::severity_logger_mt<LogLevel>;

Source& GlobalSource() {
  static Source source;
  return source;
}

std::string FormatTime(const logging::record_view& record) {
  const auto time =
      logging::extract<boost::posix_time::ptime>("TimeStamp", record);
  return time ? boost::posix_time::to_iso_extended_string(*time) + "Z" : "";
}

std::string_view LevelName(const logging::record_view& record) {
  const auto level = logging::extract<LogLevel>("Severity", record);
  const auto index = level ? static_cast<std::size_t>(*level) : 0;
  return kLevelNames[index];
}

std::string Part(const logging::record_view& record) {
  const auto part = logging::extract<std::string>("Part", record);
  return part ? *part : "";
}

std::string MessageText(const logging::record_view& record) {
  const auto text = logging::extract<std::string>("Message", record);
  return text ? *text : "";
}

void FormatText(const logging::record_view& record,
                logging::formatting_ostream& stream) {
  stream << FormatTime(record) << ' ' << LevelName(record) << ' '
         << Part(record) << ": " << MessageText(record);
}

void FormatJson(const logging::record_view& record,
                logging::formatting_ostream& stream) {
  stream << boost::json::serialize(
      boost::json::object{{"time", FormatTime(record)},
                          {"level", LevelName(record)},
                          {"part", Part(record)},
                          {"text", MessageText(record)}});
}

}  // namespace

LogLevel LogLevelFromName(std::string_view name) {
  const auto found = std::find(kLevelNames.begin(), kLevelNames.end(), name);
  return found == kLevelNames.end()
             ? LogLevel::kInfo
             : static_cast<LogLevel>(found - kLevelNames.begin());
}

void StartLogging(LogLevel min_level, std::string_view format) {
  const auto sink =
      logging::add_console_log(std::clog, logging::keywords::auto_flush = true);
  if (format == "json") {
    sink->set_formatter(&FormatJson);
  } else {
    sink->set_formatter(&FormatText);
  }
  logging::core::get()->add_global_attribute("TimeStamp",
                                             logging::attributes::utc_clock());
  logging::core::get()->set_filter(
      [min_level](const logging::attribute_value_set& values) {
        const auto level = logging::extract<LogLevel>("Severity", values);
        return !level || *level >= min_level;
      });
}

Logger::Logger(std::string prefix) : prefix_(std::move(prefix)) {}

void Logger::Debug(std::string_view message) const {
  Write(LogLevel::kDebug, message);
}

void Logger::Info(std::string_view message) const {
  Write(LogLevel::kInfo, message);
}

void Logger::Warning(std::string_view message) const {
  Write(LogLevel::kWarning, message);
}

void Logger::Error(std::string_view message) const {
  Write(LogLevel::kError, message);
}

void Logger::Write(LogLevel level, std::string_view message) const {
  BOOST_LOG_SEV(GlobalSource(), level)
      << logging::add_value("Part", prefix_) << message;
}

}  // namespace mustardflow::transport
