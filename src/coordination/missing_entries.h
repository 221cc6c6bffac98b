// Determines when a server whose entry is missing from the store counts as
// gone.

#ifndef MUSTARDFLOW_COORDINATION_MISSING_ENTRIES_H_
#define MUSTARDFLOW_COORDINATION_MISSING_ENTRIES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/time.h"

namespace mustardflow::coordination {

// Entries may expire during an outage of the store although their servers are
// alive. After the outage, a live server has restored its entry within about
// two seconds; a server whose entry is still missing then is gone. A server
// whose entry disappears while the store is available is gone at once.
//
// Reads are those of this host and, while it follows a leader, those of the
// leader: a host that follows a leader reads the store rarely, so its own last
// read does not tell whether the store is available. All times of reads are
// those for which their results hold.
class MissingEntries {
 public:
  // A read by this host has failed.
  void HandleFailedRead(state::Instant now) { failed_at_ = now; }
  // This host knows all entries that the store held at `time`. Times that are
  // not later than the last one have no effect.
  void HandleRead(state::Instant time);
  // The store has lost recent entries. The grace period is longer then, since
  // servers first have to notice it.
  void HandleLostEntries(state::Instant now);

  // The entry of server `id` was missing at `time`, or is present.
  void HandleMissing(state::Instant time, const std::string& id) {
    missing_since_.try_emplace(id, time);
  }
  void HandlePresent(const std::string& id) { missing_since_.erase(id); }

  // Returns the ids of the servers that count as gone from now on, each once.
  // `known_at` is the time of the last read. Returns none while reads of the
  // store fail.
  std::vector<std::string> TakeGone(state::Instant known_at);

  // Whether a grace period has ended by `now`, and only a read after its end
  // can tell whether servers are gone.
  bool NeedsRead(state::Instant now) const;

 private:
  // When the server with the entry counts as gone if a read still shows the
  // entry missing.
  state::Instant DueAt(state::Instant missing_since) const;

  // When the last read of this host failed; nothing if there was a read later.
  std::optional<state::Instant> failed_at_;
  // The time of the last read.
  std::optional<state::Instant> read_at_;
  // The end of the last grace period.
  std::optional<state::Instant> grace_end_;
  // The missing entries by server id, and when each was first seen missing.
  std::map<std::string, state::Instant> missing_since_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_MISSING_ENTRIES_H_
