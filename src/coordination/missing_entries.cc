// The grace of missing entries.

#include "coordination/missing_entries.h"

#include <algorithm>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// From the store's return until a missing entry counts: the two seconds that
// living servers take, and one reading. A host that was cut off is bound by
// what the store says three seconds after the cut.
constexpr Duration kGrace = std::chrono::milliseconds(2200);

}  // namespace

void MissingEntries::HandleFailedRead(Instant /*now*/) {
  failing_ = true;
}

void MissingEntries::HandleRead(Instant now) {
  if (failing_) {
    failing_ = false;
    returned_ = now;
  }
}

void MissingEntries::HandleMissing(Instant now, const std::string& id) {
  const Instant due = returned_ ? std::max(now, *returned_ + kGrace) : now;
  due_.try_emplace(id, due);
}

std::vector<std::string> MissingEntries::TakeGone(Instant now) {
  std::vector<std::string> gone;
  if (failing_) {
    return gone;
  }
  for (auto entry = due_.begin(); entry != due_.end();) {
    if (now < entry->second) {
      ++entry;
      continue;
    }
    gone.push_back(entry->first);
    entry = due_.erase(entry);
  }
  return gone;
}

}  // namespace mustardflow::coordination
