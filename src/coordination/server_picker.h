// Chooses a backend server for requests without a key.

#ifndef MUSTARDFLOW_COORDINATION_SERVER_PICKER_H_
#define MUSTARDFLOW_COORDINATION_SERVER_PICKER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "state/time.h"

namespace mustardflow::coordination {

// Picks the better of two random servers ("power of two choices"). Compares
// them by the measurements of this host alone: its requests in flight to each
// server and their durations. The age of the oldest request in flight shows
// that a server has stalled before any answer does. Load reports of the servers
// are not used, since they arrive late.
class ServerPicker {
 public:
  // Picks one of the candidates. The low 32 bits of `random` select the first
  // server to compare, the high 32 bits the second. Returns std::nullopt if
  // there is no candidate.
  std::optional<std::string> Pick(state::Instant now,
                                  const std::vector<std::string>& candidates,
                                  std::uint64_t random) const;

  // Records that a request has been sent to the server.
  void RecordSent(state::Instant now, const std::string& server);
  // Records that a request sent at `sent` has ended. A failed attempt counts as
  // slow, so that a server that refuses quickly does not attract requests.
  void RecordDone(state::Instant now,
                  const std::string& server,
                  state::Instant sent,
                  bool failed);

 private:
  // What this host has measured of one server.
  struct Load {
    // When each request in flight was sent.
    std::multiset<state::Instant> in_flight;
    // Moving average of the durations.
    state::Duration mean_duration{0};
  };

  // The expected time to an answer, in microseconds, times the number of
  // requests in flight including the new one. 0 for a server that has not had a
  // request yet.
  double Cost(state::Instant now, const std::string& server) const;

  std::map<std::string, Load> loads_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SERVER_PICKER_H_
