// Orders the announcements of overlapping requests.

#include "coordination/announced_state.h"

#include <algorithm>

namespace mustardflow::coordination {

using state::Instant;

bool AnnouncedState::Record(Instant now,
                            Instant sent,
                            const ServerAnnouncement& announcement) {
  bool changed = RecordLimit(now, sent, announcement);
  if (announcement.leaving && !leaving_since_) {
    leaving_since_ = now;
    changed = true;
  }
  if (announcement.pause) {
    changed = changed || now >= paused_until_;
    paused_until_ = std::max(paused_until_, now + *announcement.pause);
  }
  return changed;
}

// Answers may overtake one another. A higher limit, or none, counts only if its
// request was sent after the limit in force was last stated.
bool AnnouncedState::RecordLimit(Instant now,
                                 Instant sent,
                                 const ServerAnnouncement& announcement) {
  const std::optional<double> before = RateLimit(now);
  const std::optional<double> after = announcement.rate_limit;
  if (!before && !after) {
    return false;
  }
  const bool raises = before && (!after || *after > *before);
  if (raises && (!announcement.certain || sent < *limit_stated_at_)) {
    return false;
  }
  rate_limit_ = after;
  limit_stated_at_ = now;
  if (!first_limited_at_) {
    first_limited_at_ = now;
  }
  return before != after;
}

std::optional<double> AnnouncedState::RateLimit(Instant now) const {
  return rate_limit_ && now - *limit_stated_at_ <= kLimitLifetime
             ? rate_limit_
             : std::nullopt;
}

}  // namespace mustardflow::coordination
