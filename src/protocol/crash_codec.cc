// Encodes each item as an array, since the messages are datagrams.

#include "protocol/crash_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <stdexcept>
#include <utility>

namespace mustardflow::protocol {

namespace json = boost::json;

using coordination::CrashingRequest;
using coordination::CrashReport;
using coordination::RequestFingerprint;
using state::Duration;

namespace {

constexpr std::size_t kFingerprintDigits = 16;
constexpr int kHexadecimal = 16;
// Longer times are replaced by this, so that sums of times do not overflow.
constexpr Duration kMaxTime = std::chrono::hours(24);
constexpr int kMaxCount = 1000;

RequestFingerprint ReadFingerprint(const json::value& value) {
  const auto fingerprint = ParseFingerprint(std::string(value.as_string()));
  if (!fingerprint) {
    throw std::invalid_argument("not a fingerprint");
  }
  return *fingerprint;
}

std::int64_t EncodeTime(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

Duration ReadTime(const json::value& value) {
  constexpr std::int64_t kMaxMilliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(kMaxTime).count();
  return std::chrono::milliseconds(std::clamp<std::int64_t>(
      value.to_number<std::int64_t>(), 0, kMaxMilliseconds));
}

int ReadCount(const json::value& value) {
  return static_cast<int>(
      std::clamp<std::int64_t>(value.to_number<std::int64_t>(), 0, kMaxCount));
}

}  // namespace

std::string FormatFingerprint(RequestFingerprint fingerprint) {
  std::array<char, kFingerprintDigits> digits{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(),
                                 fingerprint, kHexadecimal);
  const std::string text(digits.data(), end.ptr);
  return std::string(kFingerprintDigits - text.size(), '0') + text;
}

std::optional<RequestFingerprint> ParseFingerprint(std::string_view text) {
  RequestFingerprint fingerprint = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(),
                                      fingerprint, kHexadecimal);
  if (text.size() != kFingerprintDigits || parsed.ec != std::errc() ||
      parsed.ptr != text.data() + text.size()) {
    return std::nullopt;
  }
  return fingerprint;
}

json::object EncodeCrashReport(const CrashReport& report) {
  json::array crashes;
  for (const auto& crash : report.crashes) {
    crashes.push_back(json::array{FormatFingerprint(crash.request),
                                  crash.server.id, crash.server.start_time_ms,
                                  EncodeTime(crash.age)});
  }
  json::array answers;
  for (const auto& answer : report.answers) {
    answers.push_back(
        json::array{FormatFingerprint(answer.request), EncodeTime(answer.age)});
  }
  json::array trials;
  for (const auto& trial : report.trials) {
    trials.push_back(
        json::array{FormatFingerprint(trial.request), trial.number});
  }
  return {{"crashes", std::move(crashes)},
          {"answers", std::move(answers)},
          {"trials", std::move(trials)}};
}

CrashReport ReadCrashReport(const json::value& value) {
  CrashReport report;
  for (const json::value& crash : value.at("crashes").as_array()) {
    report.crashes.push_back({ReadFingerprint(crash.at(0)),
                              {std::string(crash.at(1).as_string()),
                               crash.at(2).to_number<std::int64_t>()},
                              ReadTime(crash.at(3))});
  }
  for (const json::value& answer : value.at("answers").as_array()) {
    report.answers.push_back(
        {ReadFingerprint(answer.at(0)), ReadTime(answer.at(1))});
  }
  for (const json::value& trial : value.at("trials").as_array()) {
    report.trials.push_back(
        {ReadFingerprint(trial.at(0)), ReadCount(trial.at(1))});
  }
  if (report.crashes.size() > coordination::kMaxReportedCrashes ||
      report.answers.size() > coordination::kMaxCrashingRequests ||
      report.trials.size() > coordination::kMaxCrashingRequests) {
    throw std::invalid_argument("too many items in a report");
  }
  return report;
}

json::array EncodeCrashingRequests(
    const std::vector<CrashingRequest>& requests) {
  json::array list;
  for (const CrashingRequest& request : requests) {
    list.push_back(json::array{FormatFingerprint(request.request),
                               request.crashes, request.refused, request.trials,
                               EncodeTime(request.retry_after)});
  }
  return list;
}

std::vector<CrashingRequest> ReadCrashingRequests(const json::value& value) {
  std::vector<CrashingRequest> requests;
  for (const json::value& entry : value.as_array()) {
    requests.push_back({ReadFingerprint(entry.at(0)), ReadCount(entry.at(1)),
                        entry.at(2).as_bool(), ReadCount(entry.at(3)),
                        ReadTime(entry.at(4))});
  }
  if (requests.size() > coordination::kMaxCrashingRequests) {
    throw std::invalid_argument("too many requests in a list");
  }
  return requests;
}

}  // namespace mustardflow::protocol
