// Computes waits and execution times from estimates of work.

#include "coordination/kind_latency.h"

#include <algorithm>
#include <cmath>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// The expected work in seconds before the first answer.
constexpr double kInitialWorkSeconds = 0.1;
// A measured execution counts as at least this fraction of the expected one:
// the wait that is subtracted is an estimate and may be too long.
constexpr double kMinMeasuredFraction = 0.3;
// The time constant, in seconds, with which reported slowness loses its weight.
constexpr double kSlownessDecaySeconds = 0.25;
// A host that sends all requests of a server lets this number wait there, so
// that no slot is idle while an answer and the next request are on their way.
constexpr int kQueuedAtServer = 1;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double KindLatency::WorkSeconds(Instant now,
                                const std::string& service,
                                const std::string& route) const {
  return work_.WorkSeconds(now, service, route).value_or(kInitialWorkSeconds);
}

double KindLatency::WaitSeconds(Instant now,
                                const ServerOccupancy& server) const {
  const double ahead = server.load + 1 - server.slots;
  if (ahead <= 0) {
    return 0;
  }
  const double others = std::max(0.0, server.load - server.own_requests);
  const double mean =
      work_.MeanSeconds(now, server.service).value_or(kInitialWorkSeconds);
  const double mean_there =
      (server.own_work + others * mean) / std::max(1.0, server.load);
  return ahead / server.slots * mean_there *
         work_.RelativeTime(now, server.server) * server.slowness;
}

double KindLatency::OwnSeconds(Instant now,
                               const ServerOccupancy& server,
                               const std::string& route) const {
  return WorkSeconds(now, server.service, route) *
         work_.RelativeTime(now, server.server) * server.slowness;
}

KindExpectation KindLatency::Expect(Instant now,
                                    const ServerOccupancy& server,
                                    const std::string& route) const {
  KindExpectation expectation;
  expectation.route = route;
  expectation.work = WorkSeconds(now, server.service, route);
  expectation.wait = WaitSeconds(now, server);
  if (server.load < server.slots) {
    expectation.started = now;
  }
  return expectation;
}

admission::ServerOutlook KindLatency::Outlook(Instant now,
                                              const ServerOccupancy& server,
                                              const std::string& route,
                                              bool exact) const {
  const auto duration = [](double seconds) {
    return std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(seconds));
  };
  ServerOccupancy behind = server;
  behind.load += 1;
  behind.own_requests += 1;
  behind.own_work += WorkSeconds(now, server.service, route);
  admission::ServerOutlook outlook;
  // Loads of other hosts are estimates with a fraction.
  outlook.free_slot = server.load + 0.5 < server.slots;
  outlook.has_room =
      !exact || server.load + 0.5 < server.slots + kQueuedAtServer;
  outlook.exact = exact;
  const double wait = WaitSeconds(now, server);
  outlook.wait = duration(wait);
  // The server may have recovered from its slowness when the execution begins.
  ServerOccupancy later = server;
  later.slowness =
      1 + (server.slowness - 1) * std::exp(-wait / kSlownessDecaySeconds);
  outlook.own = duration(OwnSeconds(now, later, route));
  outlook.wait_behind = duration(WaitSeconds(now, behind));
  outlook.relative_time =
      work_.RelativeTime(now, server.server) * server.slowness;
  outlook.slots = server.slots;
  return outlook;
}

void KindLatency::RecordAnswer(Instant now,
                               const std::string& service,
                               const std::string& server,
                               const KindExpectation& expectation,
                               Instant sent,
                               double slowness) {
  const double at_server = expectation.started
                               ? Seconds(now - *expectation.started)
                               : Seconds(now - sent) - expectation.wait;
  const double least =
      kMinMeasuredFraction * expectation.work * work_.RelativeTime(now, server);
  const double measured = std::max(least, at_server / std::max(1.0, slowness));
  if (measured > 0) {
    work_.Record(now, service, expectation.route, server, measured);
  }
}

}  // namespace mustardflow::coordination
