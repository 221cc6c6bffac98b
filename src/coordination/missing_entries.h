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
class MissingEntries {
 public:
  // A read of the entries has failed, or has succeeded.
  void HandleFailedRead(state::Instant now);
  void HandleRead(state::Instant now);
  // The store has lost recent entries. The grace period is longer then, since
  // servers first have to notice it.
  void HandleLostEntries(state::Instant now);

  // The entry of server `id` is missing, or is present.
  void HandleMissing(state::Instant now, const std::string& id);
  void HandlePresent(const std::string& id) { due_.erase(id); }

  // Returns the ids of the servers that count as gone from now on, each once.
  // Returns none while reads of the store fail.
  std::vector<std::string> TakeGone(state::Instant now);

 private:
  // Whether the last read failed.
  bool failing_ = false;
  // The time of the first successful read after the last failure.
  std::optional<state::Instant> recovered_at_;
  // The end of the grace period of each missing entry, by server id. The server
  // counts as gone from then on.
  std::map<std::string, state::Instant> due_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_MISSING_ENTRIES_H_
