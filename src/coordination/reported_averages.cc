// Smooths the reports of each host and forgets old ones.

#include "coordination/reported_averages.h"

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// The weight of a new report in the average of its host.
constexpr double kSmoothing = 0.3;
constexpr Duration kLifetime = std::chrono::seconds(10);

}  // namespace

void ReportedAverages::Record(Instant now,
                              const std::string& subject,
                              const std::string& host,
                              double value) {
  Average& average =
      averages_[subject].try_emplace(host, Average{value, now}).first->second;
  average.value += kSmoothing * (value - average.value);
  average.updated_at = now;
}

std::optional<double> ReportedAverages::Mean(Instant now,
                                             const std::string& subject) {
  const auto found = averages_.find(subject);
  if (found == averages_.end()) {
    return std::nullopt;
  }
  std::erase_if(found->second, [now](const auto& entry) {
    return now - entry.second.updated_at > kLifetime;
  });
  if (found->second.empty()) {
    return std::nullopt;
  }
  double sum = 0;
  for (const auto& [host, average] : found->second) {
    sum += average.value;
  }
  return sum / static_cast<double>(found->second.size());
}

void ReportedAverages::Prune(
    const std::function<bool(const std::string&)>& forgotten) {
  std::erase_if(averages_, [&forgotten](const auto& entry) {
    return forgotten(entry.first);
  });
}

}  // namespace mustardflow::coordination
