// The grace period of missing entries.

#include "coordination/missing_entries.h"

#include <algorithm>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// The grace period of a missing entry, counted from the first successful read
// after an outage: the two seconds in which live servers restore their entries,
// and the duration of one read. It stays below three seconds, because a host
// that was cut off from the store must act on the store's entries three seconds
// after the cut.
constexpr Duration kGracePeriod = std::chrono::milliseconds(2200);

// The grace period after the store has lost entries. Requests to a server that
// is really gone fail at once meanwhile and go to others.
constexpr Duration kLostEntriesGracePeriod = std::chrono::seconds(5);

}  // namespace

void MissingEntries::HandleFailedRead(Instant /*now*/) {
  failing_ = true;
}

void MissingEntries::HandleLostEntries(Instant now) {
  failing_ = false;
  recovered_at_ = now + kLostEntriesGracePeriod - kGracePeriod;
}

void MissingEntries::HandleRead(Instant now) {
  if (failing_) {
    failing_ = false;
    recovered_at_ = now;
  }
}

void MissingEntries::HandleMissing(Instant now, const std::string& id) {
  const Instant due =
      recovered_at_ ? std::max(now, *recovered_at_ + kGracePeriod) : now;
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
