// The proof by confirmed writes of the store and the proof by a majority of
// followers.

#include "coordination/lead_proof.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "coordination/leader_election.h"

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// A confirmed write proves leadership for this long after it was sent. The
// leader sends a renewal each second.
constexpr Duration kStoreProofLifetime = std::chrono::milliseconds(1500);
// A heartbeat that a majority has received proves leadership for this long
// after it was sent. Hosts report each 0.4 s, and two reports in a row may be
// lost.
constexpr Duration kFollowerProofLifetime = std::chrono::milliseconds(1400);
// Older heartbeats are dropped, since they prove nothing any more.
constexpr Duration kHeartbeatHistory = std::chrono::seconds(3);

}  // namespace

void LeadershipProof::Begin(Instant now,
                            Instant claimed,
                            bool has_predecessor) {
  begin_time_ = now;
  last_store_proof_ = claimed;
  store_proof_ended_ = false;
  predecessor_end_ =
      has_predecessor ? now + kLeadershipLease + kMaxTurnTime : now;
  last_heartbeat_number_ = 0;
  heartbeat_times_.clear();
  followers_.clear();
}

std::int64_t LeadershipProof::RecordSentHeartbeat(Instant now) {
  heartbeat_times_[++last_heartbeat_number_] = now;
  while (now - heartbeat_times_.begin()->second > kHeartbeatHistory) {
    heartbeat_times_.erase(heartbeat_times_.begin());
  }
  return last_heartbeat_number_;
}

std::optional<Instant> LeadershipProof::RecordReport(const std::string& host,
                                                     std::int64_t heartbeat) {
  const auto sent = heartbeat_times_.find(heartbeat);
  if (sent == heartbeat_times_.end()) {
    return std::nullopt;
  }
  Instant& proven_since = followers_[host];
  proven_since = std::max(proven_since, sent->second);
  return sent->second;
}

void LeadershipProof::RecordStoreConfirmation(Instant sent) {
  last_store_proof_ = std::max(last_store_proof_, sent);
}

std::optional<Instant> LeadershipProof::FollowedBy(Instant now,
                                                   std::size_t count) const {
  if (count <= 1) {
    return now;
  }
  if (followers_.size() + 1 < count) {
    return std::nullopt;
  }
  std::vector<Instant> proven_since;
  for (const auto& [host, at] : followers_) {
    proven_since.push_back(at);
  }
  const auto last =
      proven_since.begin() + static_cast<std::ptrdiff_t>(count) - 2;
  std::nth_element(proven_since.begin(), last, proven_since.end(),
                   std::greater<>());
  return *last;
}

std::optional<Instant> LeadershipProof::FollowedSince(Instant now,
                                                      std::size_t hosts) const {
  return FollowedBy(now, hosts / 2 + 1);
}

bool LeadershipProof::MayGrant(Instant now, std::size_t hosts) const {
  if (now - last_store_proof_ > kLeadershipLease) {
    return false;
  }
  if (!store_proof_ended_ && now - last_store_proof_ <= kStoreProofLifetime) {
    return true;
  }
  const auto followed = FollowedSince(now, hosts);
  return followed && now - *followed <= kFollowerProofLifetime;
}

Instant LeadershipProof::PredecessorEnd(Instant now, std::size_t hosts) {
  // Any two thirds of the hosts share at least a sixth of the hosts with any
  // majority. So up to a sixth of the hosts may have joined without being
  // counted.
  if (now < predecessor_end_ && FollowedBy(now, (2 * hosts + 2) / 3)) {
    predecessor_end_ =
        std::min(predecessor_end_, std::max(begin_time_ + kStoreProofLifetime,
                                            now + kFollowerProofLifetime) +
                                       kMaxTurnTime);
  }
  return predecessor_end_;
}

void LeadershipProof::HandlePredecessorFollows(Instant now) {
  predecessor_end_ = std::min(predecessor_end_, now);
}

}  // namespace mustardflow::coordination
