// When a server whose entry is missing counts as gone.

#ifndef MUSTARDFLOW_COORDINATION_MISSING_ENTRIES_H_
#define MUSTARDFLOW_COORDINATION_MISSING_ENTRIES_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/time.h"

namespace mustardflow::coordination {

// Entries may lapse while the store is away, without the servers' doing. After
// its return, a living server has its entry back within about two seconds; one
// that is still missing then is gone. While the store answers, a missing entry
// means at once that the server is gone.
class MissingEntries {
 public:
  // A reading of the entries has failed, or has succeeded.
  void HandleFailedRead(state::Instant now);
  void HandleRead(state::Instant now);

  void HandleMissing(state::Instant now, const std::string& id);
  void HandlePresent(const std::string& id) { due_.erase(id); }

  // The servers that count as gone from now on; each is returned once.
  std::vector<std::string> TakeGone(state::Instant now);

 private:
  bool failing_ = false;
  // The first reading after the last failure.
  std::optional<state::Instant> returned_;
  // Missing servers, and when they count as gone.
  std::map<std::string, state::Instant> due_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_MISSING_ENTRIES_H_
