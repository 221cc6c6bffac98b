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

// A longer time between two reads counts as an outage, in which entries of live
// servers may have expired. Expiry takes three check-in intervals, and a host
// that loses its leader reads the store within 1.5 s.
constexpr Duration kMaxReadGap = std::chrono::milliseconds(1700);

}  // namespace

void MissingEntries::HandleLostEntries(Instant now) {
  failed_at_.reset();
  grace_end_ = now + kLostEntriesGracePeriod;
}

void MissingEntries::HandleRead(Instant time) {
  if (time <= read_at_) {
    return;
  }
  const bool after_gap = read_at_ && time - *read_at_ > kMaxReadGap;
  const bool after_failure = failed_at_ && time > *failed_at_;
  if (after_gap || after_failure) {
    grace_end_ = std::max(grace_end_, std::optional(time + kGracePeriod));
  }
  if (after_failure) {
    failed_at_.reset();
  }
  read_at_ = time;
}

Instant MissingEntries::DueAt(Instant missing_since) const {
  return std::max(missing_since, grace_end_.value_or(missing_since));
}

std::vector<std::string> MissingEntries::TakeGone(Instant known_at) {
  std::vector<std::string> gone;
  if (failed_at_) {
    return gone;
  }
  for (auto entry = missing_since_.begin(); entry != missing_since_.end();) {
    if (known_at < DueAt(entry->second)) {
      ++entry;
      continue;
    }
    gone.push_back(entry->first);
    entry = missing_since_.erase(entry);
  }
  return gone;
}

bool MissingEntries::NeedsRead(Instant now) const {
  return !missing_since_.empty() && grace_end_ && *grace_end_ <= now &&
         read_at_ < *grace_end_;
}

}  // namespace mustardflow::coordination
