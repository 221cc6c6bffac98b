// Choice of a backend server for requests without a key.

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

// Picks the better of two random servers, from what this host has seen itself:
// its requests under way and their durations. The age of the oldest request
// under way shows a stall before any answer does. Reports of servers lag and
// are not used.
class ServerPicker {
 public:
  // `random` supplies the two choices. Nothing is returned if there is no
  // candidate.
  std::optional<std::string> Pick(state::Instant now,
                                  const std::vector<std::string>& candidates,
                                  std::uint64_t random) const;

  void RecordSent(state::Instant now, const std::string& server);
  // `failed` attempts count as slow, so that a server that refuses quickly does
  // not attract requests.
  void RecordDone(state::Instant now,
                  const std::string& server,
                  state::Instant sent,
                  bool failed);

 private:
  struct Load {
    // When the requests under way were sent.
    std::multiset<state::Instant> in_flight;
    // A moving average.
    state::Duration duration{0};
  };

  double Cost(state::Instant now, const std::string& server) const;

  std::map<std::string, Load> loads_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SERVER_PICKER_H_
