// Compares expected waits with the targets of the kinds that compete.

#include "admission/shortage_policy.h"

#include <algorithm>
#include <cmath>

namespace mustardflow::admission {

using state::Duration;
using state::Instant;

namespace {

// The time constant of the counts, in seconds. It is shorter than bursts, which
// last for some seconds.
constexpr double kDecaySeconds = 2.0;
// A kind that was not seen for this time does not compete for capacity.
constexpr Duration kRecent = std::chrono::seconds(2);
constexpr Duration kRetention = std::chrono::seconds(20);
// A request waits at the host for at most this fraction of its target: holding
// and then refusing it costs the caller more than a refusal at once.
constexpr double kMaxWaitFraction = 0.5;
// A late answer is of use if the deadline is less than this multiple of the
// target.
constexpr int kLateUseFactor = 2;

Duration Scale(Duration span, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

bool IsLateUseful(const RequestFigures& request) {
  return request.end - request.received < kLateUseFactor * request.target;
}

// A kind whose share of sent requests is below this fraction of the share over
// all kinds is starved. The required fraction is a quarter; the rest is a
// margin, since the counts lag behind.
constexpr double kMinServedFraction = 0.4;
// Fewer recent arrivals, after decay, do not show that a kind is starved.
constexpr double kMinArrivals = 3.0;
// Starved kinds rank before all priorities.
constexpr int kStarvedRank = -1;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

double ShortagePolicy::DecayFactor(Instant now, const KindCounts& kind) {
  return std::exp(-Seconds(now - kind.at) / kDecaySeconds);
}

ShortagePolicy::KindCounts& ShortagePolicy::Decayed(
    Instant now,
    const RequestFigures& request) {
  KindCounts& kind = kinds_[request.route];
  const double factor = DecayFactor(now, kind);
  kind.arrived *= factor;
  kind.sent *= factor;
  kind.at = now;
  return kind;
}

void ShortagePolicy::RecordArrival(Instant now, const RequestFigures& request) {
  std::erase_if(kinds_, [now](const auto& entry) {
    return now - entry.second.seen > kRetention;
  });
  KindCounts& kind = Decayed(now, request);
  kind.arrived += 1;
  kind.priority = request.priority;
  kind.target = request.target;
  kind.work = request.work;
  kind.seen = now;
}

void ShortagePolicy::RecordSent(Instant now, const RequestFigures& request) {
  Decayed(now, request).sent += 1;
}

int ShortagePolicy::Rank(Instant now, const RequestFigures& request) const {
  double arrived = 0;
  double sent = 0;
  for (const auto& [route, kind] : kinds_) {
    arrived += kind.arrived * DecayFactor(now, kind);
    sent += kind.sent * DecayFactor(now, kind);
  }
  const auto found = kinds_.find(request.route);
  if (found == kinds_.end()) {
    return request.priority;
  }
  const double factor = DecayFactor(now, found->second);
  const double kind_arrived = found->second.arrived * factor;
  const double kind_sent = found->second.sent * factor;
  const bool is_starved =
      kind_arrived >= kMinArrivals &&
      kind_sent * arrived < kMinServedFraction * sent * kind_arrived;
  return is_starved ? kStarvedRank : request.priority;
}

Instant ShortagePolicy::LatestStart(const RequestFigures& request,
                                    Duration own) {
  return request.received + request.target - own;
}

Instant ShortagePolicy::LatestUsefulStart(const RequestFigures& request) {
  return IsLateUseful(request) ? request.end - request.work
                               : LatestStart(request, request.work);
}

Instant ShortagePolicy::WaitEnd(const RequestFigures& request, Duration own) {
  return std::min(LatestStart(request, own),
                  request.received + Scale(request.target, kMaxWaitFraction));
}

Decision ShortagePolicy::Decide(Instant now,
                                const RequestFigures& request,
                                int rank,
                                const ServerOutlook& outlook) const {
  if (outlook.free_slot) {
    return now + outlook.own <= request.end ? Decision::kSend
                                            : Decision::kRefuse;
  }
  const bool in_target =
      now + outlook.wait <= LatestStart(request, outlook.own);
  const bool late_is_useful =
      IsLateUseful(request) && now + outlook.wait + outlook.own <= request.end;
  const auto longest_wait = LongestWaitBefore(now, rank);
  const bool others_in_target =
      !longest_wait || outlook.wait_behind <= *longest_wait;
  if (outlook.has_room && (in_target || late_is_useful) && others_in_target) {
    return Decision::kSend;
  }
  return now < WaitEnd(request, outlook.own) ? Decision::kWait
                                             : Decision::kRefuse;
}

std::optional<Duration> ShortagePolicy::LongestWaitBefore(Instant now,
                                                          int rank) const {
  std::optional<Duration> longest;
  for (const auto& [route, kind] : kinds_) {
    if (kind.priority < rank && now - kind.seen <= kRecent) {
      const Duration wait = kind.target - kind.work;
      longest = longest ? std::min(*longest, wait) : wait;
    }
  }
  return longest;
}

double ShortagePolicy::SentWorkRate(Instant now) const {
  double work = 0;
  for (const auto& [route, kind] : kinds_) {
    work += kind.sent * DecayFactor(now, kind) * Seconds(kind.work);
  }
  return work / kDecaySeconds;
}

double ShortagePolicy::ArrivedWorkRate(Instant now, int rank) const {
  double work = 0;
  for (const auto& [route, kind] : kinds_) {
    if (kind.priority <= rank) {
      work += kind.arrived * DecayFactor(now, kind) * Seconds(kind.work);
    }
  }
  return work / kDecaySeconds;
}

bool ShortagePolicy::IsIdle(Instant now) const {
  return std::all_of(kinds_.begin(), kinds_.end(), [now](const auto& entry) {
    return now - entry.second.seen > kRetention;
  });
}

}  // namespace mustardflow::admission
