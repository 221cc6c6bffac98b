// Orders the announcements of overlapping requests.

#include "coordination/announced_state.h"

#include <algorithm>
#include <cmath>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// After its lifetime, a limit that is not stated any more grows by the factor
// kGrowthStep in each kGrowthInterval, from kMinGrownLimit on if it is lower,
// and ends after kGrowthTime. It does not grow continuously, since each change
// moves the slots of RateShare.
constexpr Duration kGrowthInterval = std::chrono::seconds(20);
constexpr double kGrowthStep = 1.25;
constexpr Duration kGrowthTime = std::chrono::seconds(300);
constexpr double kMinGrownLimit = 0.3;

}  // namespace

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

// Answers may overtake one another. A higher limit, or none, and a limit after
// none, counts only if its request was sent after the last statement.
bool AnnouncedState::RecordLimit(Instant now,
                                 Instant sent,
                                 const ServerAnnouncement& announcement) {
  const std::optional<double> before = RateLimit(now);
  const std::optional<double> after = announcement.rate_limit;
  if (!before && !after && !rate_limit_) {
    return false;
  }
  const std::optional<Instant> last =
      PublishedIsNewer() ? std::optional(published_->since) : limit_stated_at_;
  const bool overtaken = last && sent < *last;
  const bool raises = before && (!after || *after > *before);
  const bool begins = !before && after;
  if ((raises && (!announcement.certain || overtaken)) ||
      (begins && overtaken)) {
    return false;
  }
  rate_limit_ = after;
  limit_stated_at_ = now;
  if (after && !first_limited_at_) {
    first_limited_at_ = now;
  }
  return before != after;
}

void AnnouncedState::SetPublishedLimit(Instant now,
                                       std::optional<double> rate) {
  if (!published_ || published_->rate != rate) {
    published_ = Published{rate, now};
  }
}

std::optional<double> AnnouncedState::RateLimit(Instant now) const {
  if (PublishedIsNewer()) {
    return published_->rate;
  }
  if (!rate_limit_) {
    return std::nullopt;
  }
  const Duration unstated = now - *limit_stated_at_ - kLimitLifetime;
  if (unstated <= Duration(0)) {
    return rate_limit_;
  }
  if (unstated > kGrowthTime) {
    return std::nullopt;
  }
  const auto steps = static_cast<double>(unstated / kGrowthInterval);
  return std::max(kMinGrownLimit, *rate_limit_) * std::pow(kGrowthStep, steps);
}

}  // namespace mustardflow::coordination
