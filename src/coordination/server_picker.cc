// Picks a server by power of two choices on the expected wait.

#include "coordination/server_picker.h"

#include <algorithm>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// The weight of the newest duration in the moving average is 1 / kMeanDivisor.
constexpr int kMeanDivisor = 8;
// A failed attempt counts as at least this long.
constexpr Duration kFailurePenalty = std::chrono::milliseconds(200);

}  // namespace

std::optional<std::string> ServerPicker::Pick(
    Instant now,
    const std::vector<std::string>& candidates,
    std::uint64_t random) const {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::uint64_t count = candidates.size();
  const std::string& first = candidates[(random & 0xffffffff) % count];
  const std::string& second = candidates[(random >> 32) % count];
  return Cost(now, second) < Cost(now, first) ? second : first;
}

void ServerPicker::RecordSent(Instant now, const std::string& server) {
  loads_[server].in_flight.insert(now);
}

void ServerPicker::RecordDone(Instant now,
                              const std::string& server,
                              Instant sent,
                              bool failed) {
  Load& load = loads_[server];
  const auto found = load.in_flight.find(sent);
  if (found != load.in_flight.end()) {
    load.in_flight.erase(found);
  }
  const Duration duration = now - sent;
  const Duration counted =
      failed ? std::max(duration, kFailurePenalty) : duration;
  load.mean_duration += (counted - load.mean_duration) / kMeanDivisor;
}

double ServerPicker::Cost(Instant now, const std::string& server) const {
  const auto found = loads_.find(server);
  if (found == loads_.end()) {
    return 0;
  }
  const Load& load = found->second;
  Duration expected = load.mean_duration;
  if (!load.in_flight.empty()) {
    expected = std::max(expected, now - *load.in_flight.begin());
  }
  const auto requests = static_cast<double>(load.in_flight.size() + 1);
  return requests * static_cast<double>(expected.count());
}

}  // namespace mustardflow::coordination
