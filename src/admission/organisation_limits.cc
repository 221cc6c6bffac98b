// Fractions, buckets against surges, equal shares and counts.

#include "admission/organisation_limits.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>
#include <vector>

namespace mustardflow::admission {

using state::Duration;
using state::Instant;

namespace {

// A host without a heartbeat for this long uses equal shares.
constexpr Duration kContactTime = std::chrono::milliseconds(1500);
// A fraction that is not named again holds this long: ten heartbeats and some
// that were lost.
constexpr Duration kFractionTime = std::chrono::milliseconds(3000);
// An organisation without requests for this long is forgotten.
constexpr Duration kIdleTime = std::chrono::seconds(30);
// The time constant of an organisation's average rate at a host.
constexpr double kAverageSeconds = 1;
// The bucket against surges: its rate as a multiple of the usual rate, and its
// depth in requests and, in addition, in seconds of that rate.
constexpr double kSurgeFactor = 3;
constexpr double kSurgeSeconds = 0.5;
constexpr double kMinSurgeDepth = 6;
// The leader learns at once of an organisation that has sent this many requests
// since the last report and this multiple of what was expected.
constexpr std::int64_t kSurgeRequests = 24;
constexpr double kSurgeReportFactor = 2;
constexpr double kReportSeconds = 0.4;
// The burst of equal shares, over all hosts, in seconds of the limit and as a
// part of the slack. With the bucket empty at the beginning, all shares stay
// within the overage and the slack.
constexpr double kShareBurstSeconds = 0.2;
constexpr double kShareSlack = 0.5;
// Slots of different hosts may coincide, so hosts with slots use less.
constexpr double kSlotRate = 0.85;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// The phase of a host's slots, in [0, 1); differs between hosts.
double PhaseOf(std::string_view organisation, std::int64_t sequence) {
  const std::size_t hash = std::hash<std::string_view>()(organisation) ^
                           std::hash<std::int64_t>()(sequence * 7919);
  return static_cast<double>(hash % 9973) / 9973;
}

}  // namespace

bool OrganisationLimits::InContact(Instant now) {
  if (!leader_heard_ || now - *leader_heard_ > kContactTime) {
    has_fractions_ = false;
    fractions_.clear();
  }
  return has_fractions_;
}

OrganisationLimits::Use& OrganisationLimits::UseOf(
    Instant now,
    std::string_view organisation) {
  auto found = uses_.find(organisation);
  if (found == uses_.end()) {
    found = uses_.emplace(std::string(organisation), Use()).first;
    Use& use = found->second;
    use.average_at = now;
    use.tokens = kMinSurgeDepth;
    use.tokens_at = now;
  }
  found->second.last = now;
  return found->second;
}

double OrganisationLimits::FractionOf(Instant now,
                                      std::string_view organisation) const {
  const auto found = fractions_.find(organisation);
  return found != fractions_.end() && now - found->second.at <= kFractionTime
             ? found->second.value
             : 1;
}

void OrganisationLimits::Refill(Instant now, Use* use) {
  const double rate = kSurgeFactor * std::max(use->average, use->equal_share);
  const double depth = kMinSurgeDepth + kSurgeSeconds * rate;
  use->tokens =
      std::min(depth, use->tokens + rate * Seconds(now - use->tokens_at));
  use->tokens_at = now;
}

bool OrganisationLimits::AdmitShare(Instant now,
                                    const state::Organisation& organisation,
                                    std::size_t hosts,
                                    Use* use) const {
  const auto count = static_cast<double>(std::max<std::size_t>(1, hosts));
  RateAllowance allowance;
  allowance.burst = (kShareBurstSeconds * organisation.rate +
                     kShareSlack * bounds_.quota_slack) /
                    count;
  allowance.per_second =
      organisation.rate / count * (allowance.burst < 1 ? kSlotRate : 1);
  if (!use->share) {
    use->share.emplace(PhaseOf(organisation.name, report_.sequence));
    // The share begins with an empty bucket: what the fraction admitted just
    // before is not known to count against it.
    use->share->RecordSent(now, {allowance.per_second, 1});
  }
  if (!use->share->MaySend(now, allowance)) {
    return false;
  }
  use->share->RecordSent(now, allowance);
  return true;
}

bool OrganisationLimits::Admit(Instant now,
                               const state::Organisation& organisation,
                               std::size_t hosts,
                               double random) {
  if (!organisation.limited()) {
    return true;
  }
  if (report_.sequence == 0) {
    report_.sequence = now.time_since_epoch().count();
  }
  Use& use = UseOf(now, organisation.name);
  ++use.count.offered;
  ++use.offered_since;
  const double expected = use.average * kReportSeconds * kSurgeReportFactor;
  surging_ = surging_ ||
             use.count.offered >=
                 std::max(kSurgeRequests, static_cast<std::int64_t>(expected));
  bool admitted = false;
  if (InContact(now)) {
    use.share.reset();
    use.equal_share = organisation.rate /
                      static_cast<double>(std::max<std::size_t>(1, hosts));
    Refill(now, &use);
    admitted = random < FractionOf(now, organisation.name) && use.tokens >= 1;
    use.tokens -= admitted ? 1 : 0;
  } else {
    admitted = AdmitShare(now, organisation, hosts, &use);
  }
  use.count.admitted += admitted ? 1 : 0;
  return admitted;
}

void OrganisationLimits::Charge(Instant now, std::string_view organisation) {
  ++UseOf(now, organisation).count.admitted;
}

void OrganisationLimits::GiveBack(Instant now, std::string_view organisation) {
  --UseOf(now, organisation).count.admitted;
}

void OrganisationLimits::UpdateAverages(Instant now) {
  for (auto& [name, use] : uses_) {
    const double seconds = Seconds(now - use.average_at);
    if (seconds <= 0) {
      continue;
    }
    const double weight = 1 - std::exp(-seconds / kAverageSeconds);
    const double rate = static_cast<double>(use.offered_since) / seconds;
    use.average += weight * (rate - use.average);
    use.average_at = now;
    use.offered_since = 0;
    // The average falls between the requests of an organisation that sends few,
    // so the bucket is refilled at the rate of each period.
    Refill(now, &use);
  }
  std::erase_if(uses_, [now](const auto& entry) {
    const Use& use = entry.second;
    return now - use.last > kIdleTime && use.count.offered == 0 &&
           use.count.admitted == 0;
  });
}

OrganisationReport OrganisationLimits::TakeCounts(Instant now) {
  surging_ = false;
  UpdateAverages(now);
  using Pending = std::pair<std::int64_t, std::map<std::string, Use>::iterator>;
  std::vector<Pending> pending;
  for (auto use = uses_.begin(); use != uses_.end(); ++use) {
    const RequestCount& count = use->second.count;
    if (count.offered != 0 || count.admitted != 0) {
      pending.emplace_back(count.offered + std::abs(count.admitted), use);
    }
  }
  if (pending.empty() && report_.counts.empty()) {
    return report_;
  }
  // What does not fit waits and is added to the next interval, so that only the
  // smallest counts wait.
  std::sort(pending.begin(), pending.end(),
            [](const Pending& left, const Pending& right) {
              return left.first > right.first;
            });
  RequestCounts counts;
  std::size_t bytes = 0;
  for (const auto& [weight, use] : pending) {
    bytes += use->first.size() + kEntryBytes;
    if (bytes > kMaxIntervalBytes) {
      break;
    }
    counts.emplace(use->first, use->second.count);
    use->second.count = RequestCount();
  }
  ++report_.interval;
  if (report_.counts.size() == 2) {
    report_.counts.pop_back();
  }
  report_.counts.insert(report_.counts.begin(), std::move(counts));
  OrganisationReport report = report_;
  if (std::all_of(report_.counts.begin(), report_.counts.end(),
                  [](const RequestCounts& each) { return each.empty(); })) {
    report_.counts.clear();
  }
  return report;
}

void OrganisationLimits::HandleLeader(Instant now) {
  InContact(now);
  leader_heard_ = now;
}

void OrganisationLimits::SetFractions(Instant now,
                                      const OrganisationFractions& fractions) {
  HandleLeader(now);
  has_fractions_ = true;
  if (fractions.complete) {
    fractions_.clear();
  }
  for (const auto& [name, value] : fractions.fractions) {
    fractions_[name] = {value, now};
  }
  std::erase_if(fractions_, [now](const auto& entry) {
    return now - entry.second.at > kFractionTime;
  });
}

}  // namespace mustardflow::admission
