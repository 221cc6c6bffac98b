// Moving averages of the work of kinds and of the speed of servers.

#include "admission/work_estimate.h"

#include <algorithm>
#include <cmath>

namespace mustardflow::admission {

using state::Duration;
using state::Instant;

namespace {

// The weights of one execution in the averages of its kind, of its service and
// of its server.
constexpr double kKindWeight = 0.05;
constexpr double kMeanWeight = 0.02;
constexpr double kServerWeight = 0.05;
// The time constant, in seconds, with which an average that is not refreshed
// loses its weight.
constexpr double kDecaySeconds = 10.0;
// An average that was not refreshed for this time is unknown.
constexpr Duration kRetention = std::chrono::seconds(30);
// One execution counts as at most this multiple of the expected time, so that a
// single stall does not raise the estimates of a whole kind.
constexpr double kMaxDeviation = 5.0;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double WorkEstimate::Confidence(Instant now, const Average& average) {
  return now - average.at > kRetention
             ? 0
             : std::exp(-Seconds(now - average.at) / kDecaySeconds);
}

std::optional<double> WorkEstimate::MeanSeconds(
    Instant now,
    const std::string& service) const {
  const auto found = means_.find(service);
  return found == means_.end() || now - found->second.at > kRetention
             ? std::nullopt
             : std::optional(found->second.value);
}

std::optional<double> WorkEstimate::WorkSeconds(
    Instant now,
    const std::string& service,
    const std::string& route) const {
  const auto mean = MeanSeconds(now, service);
  const auto found = kinds_.find({service, route});
  if (!mean || found == kinds_.end()) {
    return mean;
  }
  return *mean + (found->second.value - *mean) * Confidence(now, found->second);
}

double WorkEstimate::RelativeTime(Instant now,
                                  const std::string& server) const {
  const auto found = servers_.find(server);
  return found == servers_.end()
             ? 1
             : 1 + (found->second.value - 1) * Confidence(now, found->second);
}

void WorkEstimate::Record(Instant now,
                          const std::string& service,
                          const std::string& route,
                          const std::string& server,
                          double seconds) {
  const auto expected_work = WorkSeconds(now, service, route);
  const double relative = RelativeTime(now, server);
  if (expected_work) {
    seconds = std::min(seconds, kMaxDeviation * *expected_work * relative);
  }
  const double work = seconds / relative;
  Average& kind =
      kinds_.try_emplace({service, route}, Average{work, now}).first->second;
  Refresh(now, work, kKindWeight, &kind);
  Refresh(now, work, kMeanWeight,
          &means_.try_emplace(service, Average{work, now}).first->second);
  if (kind.value > 0) {
    Refresh(now, seconds / kind.value, kServerWeight,
            &servers_.try_emplace(server, Average{1, now}).first->second);
  }
}

void WorkEstimate::Refresh(Instant now,
                           double value,
                           double weight,
                           Average* average) {
  // What the average has lost in weight goes to the new value.
  weight = std::max(weight, 1 - Confidence(now, *average));
  average->value += weight * (value - average->value);
  average->at = now;
}

void WorkEstimate::Prune(Instant now) {
  const auto is_unknown = [now](const auto& entry) {
    return now - entry.second.at > kRetention;
  };
  std::erase_if(kinds_, is_unknown);
  std::erase_if(means_, is_unknown);
  std::erase_if(servers_, is_unknown);
}

}  // namespace mustardflow::admission
