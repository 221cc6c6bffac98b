// Counts the answers to each round of orders, which decides whether a
// coordinator may renew leases.

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

// One member's answer within a round.
struct RoundAnswer {
  std::string server;
  state::BootId boot = 0;
  // The member's clock when it answered.
  state::ServerInstant clock;
  // This host's clock when the answer arrived.
  state::Instant received;
};

// Groups of witnesses, by server name. A round succeeds only with a majority in
// each group; there are two groups while the witnesses change.
using WitnessGroups = std::vector<std::set<std::string>>;

// Decides which rounds succeed. A round begins with an order to every member
// and succeeds when a majority of each group of witnesses answers within the
// round timeout; only the first answer of each server counts. A successful
// round proves that no higher term was established before the round started.
class RoundTracker {
 public:
  explicit RoundTracker(const OwnershipTiming& timing);

  // Replaces the witnesses and discards the rounds in progress.
  void SetGroups(WitnessGroups groups);

  // Discards the rounds in progress and the time of the latest success.
  void Reset();

  // Starts a round at `now` and returns its number.
  std::uint64_t Start(state::Instant now);

  // Records an answer. `counts_as_witness` tells whether the answer may count
  // towards a majority. Returns the answers that this one makes part of a
  // successful round: all answers so far if the round succeeds now, only this
  // one if the round had succeeded before, otherwise none.
  std::vector<RoundAnswer> RecordAnswer(state::Instant now,
                                        std::uint64_t round,
                                        RoundAnswer answer,
                                        bool counts_as_witness);

  // When the latest successful round started; empty if no round has succeeded.
  std::optional<state::Instant> last_success() const { return last_success_; }

  // Whether it is time to start a new round.
  bool RoundDue(state::Instant now) const;

 private:
  // One round and the answers to it so far.
  struct Round {
    std::uint64_t number;
    state::Instant started;
    // For each group of witnesses, how many of its servers have given an
    // answer that counts.
    std::vector<std::size_t> answered;
    std::vector<RoundAnswer> answers;
    bool succeeded = false;
  };

  void CountWitness(Round& round, const std::string& server) const;
  bool HasMajorities(const Round& round) const;

  const OwnershipTiming& timing_;
  WitnessGroups groups_;
  // Invariant: ascending by number. Start() removes rounds older than the round
  // timeout, which bounds the size.
  std::deque<Round> rounds_;
  std::uint64_t last_number_ = 0;
  std::optional<state::Instant> last_success_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_ROUND_TRACKER_H_
