// Rounds of orders, and the authority that a coordinator draws from them.

#ifndef MUSTARDFLOW_COORDINATION_ROUND_TRACKER_H_
#define MUSTARDFLOW_COORDINATION_ROUND_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/ownership_timing.h"
#include "state/fence.h"
#include "state/time.h"

namespace mustardflow::coordination {

// One server's answer within a round.
struct RoundAnswer {
  std::string server;
  state::BootId boot = 0;
  state::ServerInstant clock;
  state::Instant received;
};

// Sets of servers, by name. A round needs a majority in each of them.
using WitnessGroups = std::vector<std::set<std::string>>;

// Decides which rounds a majority of the witnesses answered in time. A round
// that succeeded proves that no later term was established before it started.
class RoundTracker {
 public:
  explicit RoundTracker(const OwnershipTiming& timing);

  // Replaces the witnesses and abandons the rounds under way.
  void SetGroups(WitnessGroups groups);

  // Abandons the rounds under way and forgets earlier successes.
  void Reset();

  // Starts a round at `now` and returns its number.
  std::uint64_t Start(state::Instant now);

  // Records an answer. `counts` tells whether the server's word
  // counts as a witness. Returns the answers that have thereby become part of
  // a successful round; empty if there are none.
  std::vector<RoundAnswer> RecordAnswer(state::Instant now,
                                        std::uint64_t round,
                                        RoundAnswer answer,
                                        bool counts);

  // When the latest successful round started.
  std::optional<state::Instant> last_success() const { return last_success_; }

  // Whether a new round is due.
  bool RoundDue(state::Instant now) const;

 private:
  struct Round {
    std::uint64_t number;
    state::Instant started;
    // One count for each group.
    std::vector<std::size_t> counted;
    std::vector<RoundAnswer> answers;
    bool succeeded = false;
  };

  void Count(Round& round, const std::string& server) const;
  bool HasMajorities(const Round& round) const;

  const OwnershipTiming& timing_;
  WitnessGroups groups_;
  // Invariant: ascending by number; bounded by the rounds that can start
  // within the round timeout.
  std::deque<Round> rounds_;
  std::uint64_t last_number_ = 0;
  std::optional<state::Instant> last_success_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_ROUND_TRACKER_H_
