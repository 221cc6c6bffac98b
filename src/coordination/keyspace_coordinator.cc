// The phases of a slice, the orders that move a slice through them, and the
// planning of moves.

#include "coordination/keyspace_coordinator.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>
#include <set>
#include <utility>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;
using state::OwnedRange;
using state::ServerIncarnation;
using state::ServiceRanges;

namespace {

// Allows for four renewals in one lease, so that three of them may be lost.
constexpr Duration kRenewInterval = std::chrono::milliseconds(600);
// Counted from the last accepted grant. An accepted lease that is not renewed
// by then comes before first grants and releases.
constexpr Duration kRenewDeadline = 2 * kRenewInterval;
// A turn has orders for at most one of kTicksPerOrderRound slices, but not for
// fewer than kMinOrderLimit, since each order costs the leader processor time
// and a long turn delays its heartbeats. If ticks are late, a turn has more, so
// that all slices get their orders within kMaxOrderRound. After that time and
// kRenewInterval, a lease still has time for a repeated order.
constexpr std::size_t kMinOrderLimit = 64;
constexpr std::size_t kTicksPerOrderRound = 16;
constexpr std::chrono::duration<double> kMaxOrderRound =
    std::chrono::milliseconds(1200);
constexpr Duration kRetryInterval = std::chrono::milliseconds(250);
// A server that fails all orders for this long loses its keys.
constexpr Duration kUnresponsiveTimeout = std::chrono::milliseconds(650);
constexpr Duration kBalanceInterval = std::chrono::milliseconds(500);
// The limit on slices that balancing moves at the same time: one for each
// kServersPerMove servers, but not below kMinMovingLimit. The keys of a slice
// are unavailable for a short time during a move.
constexpr std::size_t kMinMovingLimit = 3;
constexpr std::size_t kServersPerMove = 32;
// If a server has at least kSevereOverload times its fair share, for example
// because a range of keys has turned hot, more slices move at the same time:
// most requests for that server would be refused anyway.
constexpr double kSevereOverload = 2;
constexpr std::size_t kServersPerUrgentMove = 8;
// Balancing starts no further move once it has taken this many steps for each
// slice: a move may look at all slices, and there are more moves where there
// are more servers.
constexpr std::uint64_t kMaxMoveSteps = 16;
// The initial assignment waits until no further server has been listed for
// kSettleTime, but at most for kMaxSettleTime. The entries of servers that
// start together arrive within about a second.
constexpr Duration kSettleTime = std::chrono::milliseconds(700);
constexpr Duration kMaxSettleTime = std::chrono::milliseconds(2500);
// A server gives keys away once its load, relative to its capacity, exceeds the
// mean by the fraction kMinOverload and by kOverloadDeviations standard
// deviations of the random variation of the load average.
constexpr double kMinOverload = 0.25;
constexpr double kOverloadDeviations = 2;
// A move may carry more than the intended load by this factor. A higher load
// would overshoot the balance.
constexpr double kMaxOvershoot = 1.2;
// A move between two servers may carry this fraction of the difference between
// their loads. At 1 they would only change places.
constexpr double kMaxEqualizingShare = 0.8;
// A key is hot if it carries at least the fraction kHotShare of a server's fair
// share and at least kMinHotLoad requests per second. A lower load does not
// justify a move.
constexpr double kHotShare = 0.8;
constexpr double kMinHotLoad = 5;
// A hot key moves only to a server whose capacity is at least kHotMoveGain
// times that of its holder. At most one hot key moves in each kHotMoveInterval.
constexpr double kHotMoveGain = 1.15;
constexpr Duration kHotMoveInterval = std::chrono::milliseconds(1500);
// The fraction of a server's rate limit that its keys may carry on average. The
// rest is for random variation and for the delay of balancing.
constexpr double kUsedLimitFraction = 0.7;
// A lower limit counts as this, in requests per second, since capacities are
// above 0.
constexpr double kMinLimit = 0.05;
// The load for which capacities are computed while there is less, in requests
// per second.
constexpr double kMinTotalLoad = 1;
// The fraction of the slots that can be in use on average: requests do not
// arrive evenly.
constexpr double kUsedSlotFraction = 0.85;
// A shorter execution time counts as this, in seconds.
constexpr double kMinExecutionSeconds = 0.001;
// The load assumed for each key besides its measured load, as a fraction of the
// mean load of a key. It spreads idle ranges over the servers by their width.
constexpr double kIdleWeight = 0.05;
// The limit on the mean number of slices of a server; at the limit, slices are
// split only to isolate a hot key. It bounds the number of renewals, since each
// slice costs its server one order in each kRenewInterval.
constexpr std::size_t kMaxSlicesPerServer = 8;
// Each range of a lost server is split among at most this many other servers.
constexpr int kMaxPartsOfLostRange = 4;

}  // namespace

KeyspaceCoordinator::KeyspaceCoordinator(Instant now,
                                         std::int64_t term,
                                         const ServiceRanges& recorded,
                                         Instant predecessor_end)
    : term_(term),
      predecessor_lease_end_(predecessor_end + kMaxTransitTime +
                             kMaxLeaseDuration),
      server_count_rose_at_(now),
      start_time_(now),
      next_balance_(now),
      next_hot_move_(now) {
  for (const OwnedRange& range : recorded) {
    Slice slice;
    slice.first = range.first;
    slice.last = range.last;
    slice.holder.server = range.holder;
    slice.holder.inherited = true;
    for (const ServerIncarnation& server : range.former) {
      Lease lease;
      lease.server = server;
      lease.inherited = true;
      lease.next_release = now;
      slice.former.push_back(std::move(lease));
    }
    slice.next_grant = now;
    slice.fence = NextFence();
    slice.phase = !slice.former.empty()      ? Phase::kEnding
                  : !range.holder.id.empty() ? Phase::kGranting
                                             : Phase::kSteady;
    slices_.emplace(range.first, std::move(slice));
  }
  if (slices_.empty()) {
    Slice whole;
    whole.last = state::kShardKeyCount - 1;
    whole.holder.end = now;
    slices_.emplace(whole.first, std::move(whole));
  }
}

std::int64_t KeyspaceCoordinator::LastFence() const {
  // Each term has 2^20 fences.
  constexpr int kCountBits = 20;
  return (term_ << kCountBits) | fence_count_;
}

std::int64_t KeyspaceCoordinator::NextFence() {
  ++fence_count_;
  return LastFence();
}

const KeyspaceCoordinator::ServerState* KeyspaceCoordinator::FindServer(
    const ServerIncarnation& incarnation) const {
  const auto found = servers_.find(incarnation.id);
  return found != servers_.end() &&
                 found->second.server.incarnation == incarnation
             ? &found->second
             : nullptr;
}

bool KeyspaceCoordinator::IsUsable(const ServerIncarnation& incarnation) const {
  const ServerState* found = FindServer(incarnation);
  return found != nullptr && IsUsable(*found);
}

void KeyspaceCoordinator::SetServers(Instant now,
                                     std::vector<KeyServer> servers) {
  std::map<std::string, ServerState> next;
  bool has_new = false;
  for (KeyServer& server : servers) {
    ++steps_;
    ServerState state;
    if (const ServerState* known = FindServer(server.incarnation)) {
      usability_changed_ =
          usability_changed_ || known->server.eligible != server.eligible;
      state = *known;
    } else {
      has_new = true;
      if (has_servers_) {
        // The server may have restarted and forgotten a successor's fences. The
        // servers of the first list need no newer proof: the claim of the term
        // proves that this host leads.
        RecordLostConnection(now, &state);
      }
    }
    state.server = std::move(server);
    const std::string id = state.server.incarnation.id;
    next.emplace(id, std::move(state));
  }
  if (next.size() > servers_.size()) {
    server_count_rose_at_ = now;
  }
  usability_changed_ =
      usability_changed_ || has_new || next.size() != servers_.size();
  has_servers_ = has_servers_ || !next.empty();
  servers_ = std::move(next);
  if (has_new) {
    for (auto& [first, slice] : slices_) {
      UpdateIncarnations(now, &slice);
    }
  }
  MoveFromUnusable(now);
}

// A server that has restarted holds none of the ranges that it held before. But
// it keeps its id, so a grant that was sent before its new entry was read may
// have reached the new incarnation. The new incarnation therefore counts as a
// possible holder.
void KeyspaceCoordinator::UpdateIncarnations(Instant now, Slice* slice) {
  ++steps_;
  const auto update_incarnation = [this](Lease* lease) {
    const auto found = servers_.find(lease->server.id);
    if (found == servers_.end() ||
        found->second.server.incarnation.start_time_ms <=
            lease->server.start_time_ms) {
      return false;
    }
    lease->server = found->second.server.incarnation;
    return true;
  };
  for (Lease& lease : slice->former) {
    if (update_incarnation(&lease)) {
      lease.released = false;
      // The answer to a release of the former incarnation ends nothing.
      lease.pending_release = 0;
      lease.next_release = now;
    }
  }
  if (update_incarnation(&slice->holder)) {
    slice->fence = NextFence();
    slice->next_grant = now;
    slice->accepted = false;
    slice->handover.clear();
    if (slice->phase == Phase::kSteady) {
      slice->phase = Phase::kGranting;
    }
    ChangeRouted();
    ChangeRecorded();
  }
  const auto next = servers_.find(slice->next.id);
  if (next != servers_.end()) {
    slice->next = next->second.server.incarnation;
  }
}

void KeyspaceCoordinator::HandlePredecessorEnd(Instant end) {
  predecessor_lease_end_ = std::min(predecessor_lease_end_,
                                    end + kMaxTransitTime + kMaxLeaseDuration);
}

bool KeyspaceCoordinator::MayConnect(const KeyOrder& order) const {
  if (order.kind != OrderKind::kGrant) {
    return true;
  }
  const ServerState* server = FindServer(order.server);
  return server != nullptr && order.fence > server->lost_fence;
}

void KeyspaceCoordinator::HandleConnectionClosed(
    Instant now,
    const ServerIncarnation& server) {
  const auto found = servers_.find(server.id);
  if (found != servers_.end()) {
    RecordLostConnection(now, &found->second);
  }
}

void KeyspaceCoordinator::HandleOrderOutcome(Instant now,
                                             const KeyOrder& order,
                                             OrderOutcome outcome,
                                             const std::string& handover) {
  if (outcome == OrderOutcome::kAccepted || outcome == OrderOutcome::kRefused) {
    HandleResponsive(order.server);
  } else if (outcome != OrderOutcome::kWithheld) {
    RecordFailure(now, order.server);
  }
  if (order.kind == OrderKind::kRelease) {
    HandleReleaseOutcome(now, order, outcome, handover);
    return;
  }
  // A slice with a grant under way is neither split nor merged.
  ++steps_;
  const auto found = slices_.find(order.first);
  if (found != slices_.end() && found->second.pending_grant == order.id) {
    HandleGrantOutcome(now, order, outcome, &found->second);
  }
}

void KeyspaceCoordinator::HandleReleaseOutcome(Instant now,
                                               const KeyOrder& order,
                                               OrderOutcome outcome,
                                               const std::string& handover) {
  ++steps_;
  const auto found = slices_.find(order.first);
  if (found == slices_.end() || found->second.last != order.last) {
    return;
  }
  Slice& slice = found->second;
  for (Lease& lease : slice.former) {
    if (lease.server != order.server || lease.pending_release != order.id) {
      continue;
    }
    lease.pending_release = 0;
    lease.next_release = now + kRetryInterval;
    if (outcome == OrderOutcome::kAccepted) {
      lease.released = true;
      slice.handover = handover;
    }
  }
}

void KeyspaceCoordinator::UpdateLease(Instant now,
                                      OrderOutcome outcome,
                                      Lease* holder) {
  switch (outcome) {
    case OrderOutcome::kAccepted:
      holder->end = std::max(holder->end, now + kMaxLeaseDuration);
      break;
    case OrderOutcome::kUnknown:
      holder->given_up_at = now;
      last_given_up_ = now;
      break;
    case OrderOutcome::kReset:
      holder->end = std::max(holder->end, now + kMaxLeaseDuration);
      holder->late_grant_end =
          std::max(holder->late_grant_end, now + kMaxLeaseDuration);
      break;
    case OrderOutcome::kRefused:
    case OrderOutcome::kNotSent:
    case OrderOutcome::kWithheld:
      break;
  }
}

void KeyspaceCoordinator::HandleGrantOutcome(Instant now,
                                             const KeyOrder& order,
                                             OrderOutcome outcome,
                                             Slice* slice) {
  slice->pending_grant = 0;
  slice->holder.last_grant = {order.id, outcome, now};
  UpdateLease(now, outcome, &slice->holder);
  superseded_ = superseded_ || outcome == OrderOutcome::kRefused;
  // The grant may have reached the incarnation that was listed meanwhile, but
  // that one gets a grant of its own.
  if (slice->holder.server != order.server || slice->fence != order.fence) {
    return;
  }
  if (outcome != OrderOutcome::kAccepted &&
      outcome != OrderOutcome::kWithheld) {
    // Once a grant with a higher fence is accepted, the server refuses this
    // one.
    slice->fence = NextFence();
  }
  if (outcome != OrderOutcome::kAccepted) {
    // A grant that waited for one whose connection was lost is not late by
    // itself; it only needs another fence.
    const bool outdated =
        outcome == OrderOutcome::kWithheld && !MayConnect(order);
    slice->next_grant = outdated ? now : now + kRetryInterval;
    return;
  }
  slice->holder.late_grant_end = Instant();
  slice->holder.given_up_at.reset();
  slice->holder.inherited = false;
  slice->next_grant = now + kRenewInterval;
  slice->accepted_at = now;
  slice->handover.clear();
  if (!slice->accepted) {
    slice->accepted = true;
    ChangeRouted();
  }
  if (slice->phase == Phase::kGranting) {
    slice->phase = Phase::kSteady;
    ChangeRouted();
  }
}

void KeyspaceCoordinator::HandleRecordConfirmed(std::uint64_t change) {
  confirmed_change_ = std::max(confirmed_change_, change);
}

void KeyspaceCoordinator::HandleProof(Instant sent) {
  for (auto& [id, state] : servers_) {
    if (state.needs_proof_after && sent > *state.needs_proof_after) {
      state.needs_proof_after.reset();
    }
  }
}

void KeyspaceCoordinator::HandleDelivery(Instant now, Instant written) {
  if (!last_given_up_) {
    return;
  }
  const auto update_lease = [now, written](Lease* lease) {
    if (lease->given_up_at && written > *lease->given_up_at) {
      lease->given_up_at.reset();
      const Instant end = now + kMaxTransitTime + kMaxLeaseDuration;
      lease->end = std::max(lease->end, end);
      lease->late_grant_end = std::max(lease->late_grant_end, end);
    }
  };
  for (auto& [first, slice] : slices_) {
    update_lease(&slice.holder);
    std::for_each(slice.former.begin(), slice.former.end(),
                  [&](Lease& lease) { update_lease(&lease); });
  }
  if (written > *last_given_up_) {
    last_given_up_.reset();
  }
}

void KeyspaceCoordinator::RecordLostConnection(Instant now,
                                               ServerState* server) const {
  server->needs_proof_after = now;
  server->lost_fence = LastFence();
}

void KeyspaceCoordinator::RecordFailure(Instant now,
                                        const ServerIncarnation& server) {
  const auto found = servers_.find(server.id);
  if (found == servers_.end() || found->second.server.incarnation != server) {
    return;
  }
  ServerState& state = found->second;
  RecordLostConnection(now, &state);
  if (!state.failing_since) {
    state.failing_since = now;
  } else if (now - *state.failing_since >= kUnresponsiveTimeout) {
    usability_changed_ = usability_changed_ || !state.unresponsive;
    state.unresponsive = true;
  }
}

void KeyspaceCoordinator::HandleResponsive(const ServerIncarnation& server) {
  const auto found = servers_.find(server.id);
  if (found != servers_.end() && found->second.server.incarnation == server) {
    found->second.failing_since.reset();
    found->second.unresponsive = false;
  }
}

std::vector<ServerIncarnation> KeyspaceCoordinator::UnresponsiveServers()
    const {
  std::vector<ServerIncarnation> incarnations;
  for (const auto& [id, state] : servers_) {
    if (state.unresponsive) {
      incarnations.push_back(state.server.incarnation);
    }
  }
  return incarnations;
}

std::vector<KeyOrder> KeyspaceCoordinator::Tick(Instant now) {
  if (superseded_) {
    return {};
  }
  if (begins_moves_) {
    MoveFromUnusable(now);
  }
  if (now >= next_balance_) {
    next_balance_ = now + kBalanceInterval;
    load_.Decay(now);
    load_.SetServers(servers_.size());
    MergeSteady();
    if (begins_moves_) {
      Balance(now);
    }
  }
  std::vector<DueSlice> due;
  for (auto& [first, slice] : slices_) {
    ++steps_;
    Advance(now, &slice);
    if (const auto deadline = OrderDeadline(now, slice)) {
      due.emplace_back(*deadline, &slice);
    }
  }
  const std::size_t limit = MaxOrders(now);
  last_tick_ = now;
  if (due.size() > limit) {
    KeepEarliest(limit, &due);
  }
  std::vector<KeyOrder> orders;
  for (const auto& [deadline, slice] : due) {
    AddOrders(now, slice, &orders);
  }
  return orders;
}

std::size_t KeyspaceCoordinator::MaxOrders(Instant now) const {
  const Duration elapsed = last_tick_ ? now - *last_tick_ : Duration(0);
  const auto late_part = static_cast<std::size_t>(
      static_cast<double>(slices_.size()) * (elapsed / kMaxOrderRound));
  return std::max(
      {kMinOrderLimit, slices_.size() / kTicksPerOrderRound, late_part});
}

void KeyspaceCoordinator::KeepEarliest(std::size_t count,
                                       std::vector<DueSlice>* due) {
  const auto end = due->begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(due->begin(), end, due->end(),
                    [](const DueSlice& left, const DueSlice& right) {
                      return left.first != right.first
                                 ? left.first < right.first
                                 : left.second->first < right.second->first;
                    });
  due->erase(end, due->end());
}

std::optional<Instant> KeyspaceCoordinator::OrderDeadline(
    Instant now,
    const Slice& slice) const {
  if (slice.phase != Phase::kEnding) {
    if (!MayGrant(now, slice)) {
      return std::nullopt;
    }
    return slice.accepted ? slice.accepted_at + kRenewDeadline
                          : slice.next_grant;
  }
  std::optional<Instant> deadline;
  for (const Lease& lease : slice.former) {
    if (MayRelease(now, lease)) {
      deadline =
          std::min(deadline.value_or(lease.next_release), lease.next_release);
    }
  }
  return deadline;
}

bool KeyspaceCoordinator::MayRelease(Instant now, const Lease& lease) {
  return !lease.released && lease.pending_release == 0 &&
         now >= lease.next_release;
}

// A holder that answers orders keeps getting grants until no earlier,
// unanswered grant may still arrive. A release then ends its lease at once, so
// the move needs no wait for the lease to expire. A slice with former holders
// does not wait for this, because its holder gets no grants.
bool KeyspaceCoordinator::MayReplaceHolder(Instant now,
                                           const Slice& slice) const {
  const ServerState* holder = FindServer(slice.holder.server);
  const bool answers = holder != nullptr && !holder->unresponsive;
  return confirmed_change_ >= slice.awaited_change &&
         slice.pending_grant == 0 &&
         (!answers || !slice.former.empty() ||
          now >= LateGrantEnd(slice.holder));
}

Instant KeyspaceCoordinator::LateGrantEnd(const Lease& lease) const {
  if (lease.given_up_at) {
    return Instant::max();
  }
  return lease.inherited
             ? std::max(lease.late_grant_end, predecessor_lease_end_)
             : lease.late_grant_end;
}

bool KeyspaceCoordinator::LeaseEnded(Instant now, const Lease& lease) const {
  const Instant end =
      lease.inherited ? std::max(lease.end, predecessor_lease_end_) : lease.end;
  return !lease.given_up_at &&
         (now >= end || (lease.released && now >= LateGrantEnd(lease)));
}

void KeyspaceCoordinator::RecordExpiredLeases(const Slice& slice) {
  for (const Lease& lease : slice.former) {
    if (!lease.released) {
      expired_leases_.push_back(
          {lease.server, slice.first, slice.last, lease.last_grant});
    }
  }
}

std::vector<ExpiredLease> KeyspaceCoordinator::TakeExpiredLeases() {
  return std::exchange(expired_leases_, {});
}

void KeyspaceCoordinator::Advance(Instant now, Slice* slice) {
  if (slice->phase == Phase::kRecording && MayReplaceHolder(now, *slice)) {
    if (!slice->holder.server.id.empty()) {
      slice->former.push_back(slice->holder);
      slice->former.back().next_release = now;
      moved_share_ += static_cast<double>(slice->last - slice->first + 1) /
                      state::kShardKeyCount;
    }
    slice->holder = Lease();
    slice->holder.server = slice->next;
    slice->holder.end = now;
    slice->next = {};
    slice->accepted = false;
    slice->next_grant = now;
    slice->handover.clear();
    slice->fence = NextFence();
    slice->phase = Phase::kEnding;
    ChangeRouted();
  }
  if (slice->phase == Phase::kEnding) {
    const bool all_ended =
        std::all_of(slice->former.begin(), slice->former.end(),
                    [&](const Lease& lease) { return LeaseEnded(now, lease); });
    if (all_ended) {
      if (!slice->former.empty()) {
        RecordExpiredLeases(*slice);
        slice->former.clear();
        ChangeRecorded();
      }
      slice->phase =
          slice->holder.server.id.empty() ? Phase::kSteady : Phase::kGranting;
    }
  }
}

bool KeyspaceCoordinator::MayGrant(Instant now, const Slice& slice) const {
  // A range that is to move is granted to its present holder only if the holder
  // may have it already, not while leases of former holders still have to end.
  const bool may_hold = slice.accepted || slice.former.empty();
  if (slice.pending_grant != 0 || now < slice.next_grant ||
      (slice.phase == Phase::kRecording && !may_hold)) {
    return false;
  }
  const ServerState* holder = FindServer(slice.holder.server);
  return holder != nullptr && !holder->unresponsive &&
         !holder->needs_proof_after;
}

void KeyspaceCoordinator::AddOrders(Instant now,
                                    Slice* slice,
                                    std::vector<KeyOrder>* orders) {
  if (slice->phase == Phase::kEnding) {
    for (Lease& lease : slice->former) {
      if (MayRelease(now, lease)) {
        lease.pending_release = ++order_count_;
        orders->push_back({lease.pending_release, OrderKind::kRelease,
                           lease.server, slice->first, slice->last,
                           slice->fence, ""});
      }
    }
    return;
  }
  if (!MayGrant(now, *slice)) {
    return;
  }
  if (slice->fence <= FindServer(slice->holder.server)->lost_fence) {
    slice->fence = NextFence();
  }
  slice->pending_grant = ++order_count_;
  orders->push_back({slice->pending_grant, OrderKind::kGrant,
                     slice->holder.server, slice->first, slice->last,
                     slice->fence, slice->handover});
}

void KeyspaceCoordinator::StartMove(Slice* slice, const ServerIncarnation& to) {
  slice->next = to;
  slice->phase = Phase::kRecording;
  ChangeRecorded();
  slice->awaited_change = recorded_change_;
  last_awaited_change_ = recorded_change_;
}

const ServerIncarnation& KeyspaceCoordinator::PlannedServer(
    const Slice& slice) {
  return slice.phase == Phase::kRecording ? slice.next : slice.holder.server;
}

double KeyspaceCoordinator::LoadOf(std::int32_t first,
                                   std::int32_t last) const {
  const double idle = (kIdleWeight * load_.total() + 1) / state::kShardKeyCount;
  return load_.Sum(first, last) + idle * (last - first + 1);
}

ServerLoads KeyspaceCoordinator::LoadByServer() const {
  ServerLoads::Entries entries;
  for (const auto& [id, state] : servers_) {
    ++steps_;
    if (IsUsable(state)) {
      entries[state.server.incarnation].capacity = state.capacity;
    }
  }
  for (const auto& [first, slice] : slices_) {
    ++steps_;
    const auto found = entries.find(PlannedServer(slice));
    if (found != entries.end()) {
      found->second.load += LoadOf(slice.first, slice.last);
    }
  }
  return ServerLoads(std::move(entries));
}

ServerRates KeyspaceCoordinator::RatesOf(const KeyServer& server) const {
  ServerRates rates;
  rates.weight = server.capacity;
  rates.bearable = execution_seconds_
                       ? kUsedSlotFraction * server.capacity /
                             std::max(kMinExecutionSeconds, *execution_seconds_)
                       : std::numeric_limits<double>::infinity();
  rates.preferred = rates.bearable;
  if (server.rate_limit) {
    const double limit = std::max(kMinLimit, *server.rate_limit);
    rates.bearable = std::min(rates.bearable, limit);
    rates.preferred = std::min(rates.bearable, kUsedLimitFraction * limit);
  } else if (server.recovery_rate && execution_seconds_) {
    rates.preferred = std::min(rates.bearable, *server.recovery_rate);
  }
  return rates;
}

void KeyspaceCoordinator::UpdateCapacities() {
  std::vector<ServerState*> usable;
  std::vector<ServerRates> rates;
  for (auto& [id, state] : servers_) {
    ++steps_;
    state.capacity = state.server.capacity;
    if (IsUsable(state)) {
      usable.push_back(&state);
      rates.push_back(RatesOf(state.server));
    }
  }
  // Without any load, the division would leave the capacities at 0.
  const std::vector<double> loads =
      DivideKeyLoad(std::max(kMinTotalLoad, load_.total()), rates);
  for (std::size_t i = 0; i < usable.size(); ++i) {
    usable[i]->capacity = loads[i];
  }
}

double KeyspaceCoordinator::SpareLoad(const ServerIncarnation& server,
                                      double load,
                                      double mean) const {
  const ServerState* state = FindServer(server);
  const double fair = mean * state->capacity;
  return (state->server.rate_limit ? std::min(fair, *state->server.rate_limit)
                                   : fair) -
         load;
}

bool KeyspaceCoordinator::IsInitialAssignment() const {
  return slices_.size() == 1 &&
         slices_.begin()->second.holder.server.id.empty();
}

std::size_t KeyspaceCoordinator::MovingSlices() const {
  steps_ += slices_.size();
  return static_cast<std::size_t>(std::count_if(
      slices_.begin(), slices_.end(),
      [](const auto& entry) { return entry.second.phase != Phase::kSteady; }));
}

std::size_t KeyspaceCoordinator::MaxMovingSlices(double ratio) const {
  const std::size_t servers_per_move =
      ratio >= kSevereOverload ? kServersPerUrgentMove : kServersPerMove;
  return std::max(kMinMovingLimit, servers_.size() / servers_per_move);
}

std::vector<KeyspaceCoordinator::Slice*>
KeyspaceCoordinator::SlicesWithoutServer() {
  std::vector<Slice*> slices;
  for (auto& [first, slice] : slices_) {
    ++steps_;
    if (!IsUsable(PlannedServer(slice))) {
      slices.push_back(&slice);
    }
  }
  return slices;
}

void KeyspaceCoordinator::MoveFromUnusable(Instant now) {
  if (!usability_changed_) {
    return;
  }
  const std::vector<Slice*> lost = SlicesWithoutServer();
  if (lost.empty()) {
    usability_changed_ = false;
    return;
  }
  UpdateCapacities();
  ServerLoads loads = LoadByServer();
  if (loads.size() == 0) {
    return;
  }
  const bool initial_assignment = IsInitialAssignment();
  if (initial_assignment && now - server_count_rose_at_ < kSettleTime &&
      now - start_time_ < kMaxSettleTime) {
    return;
  }
  const std::size_t parts =
      initial_assignment
          ? loads.size()
          : std::min<std::size_t>(kMaxPartsOfLostRange, loads.size());
  for (Slice* slice : lost) {
    for (Slice* part : SplitLost(slice, static_cast<std::int32_t>(parts))) {
      const ServerIncarnation to = loads.least_loaded().first;
      loads.Add(to, LoadOf(part->first, part->last));
      StartMove(part, to);
    }
  }
  usability_changed_ = false;
  next_balance_ = std::max(next_balance_, now);
}

std::vector<KeyspaceCoordinator::Slice*> KeyspaceCoordinator::SplitLost(
    Slice* slice,
    std::int32_t parts) {
  std::vector<Slice*> result = {slice};
  const std::int32_t width = slice->last - slice->first + 1;
  if (slice->pending_grant != 0 || slice->phase != Phase::kSteady ||
      width < parts * 2 ||
      slices_.size() + static_cast<std::size_t>(parts) >
          kMaxSlicesPerServer * servers_.size()) {
    return result;
  }
  const double load = load_.Sum(slice->first, slice->last);
  for (std::int32_t part = 1; part < parts; ++part) {
    Slice* rest = result.back();
    const std::int32_t cut =
        load > 0 ? load_.CutAfter(rest->first, rest->last, load / parts)
                 : rest->first + width / parts - 1;
    if (cut >= rest->last) {
      break;
    }
    result.push_back(SplitAfter(rest, cut));
  }
  return result;
}

void KeyspaceCoordinator::PlaceHotKeys(Instant now) {
  if (now < next_hot_move_) {
    return;
  }
  std::size_t usable = 0;
  for (const auto& [id, state] : servers_) {
    ++steps_;
    if (IsUsable(state)) {
      ++usable;
    }
  }
  if (usable < 2) {
    return;
  }
  const double fair_share = load_.total() / static_cast<double>(usable);
  const auto hot_keys =
      load_.KeysAbove(std::max(kMinHotLoad, kHotShare * fair_share));
  std::set<ServerIncarnation> with_hot_key;
  for (const auto& [load, key] : hot_keys) {
    ++steps_;
    with_hot_key.insert(SliceOf(key).holder.server);
  }
  const ServerState* fastest = FastestServer(with_hot_key);
  if (fastest == nullptr) {
    return;
  }
  for (const auto& [load, key] : hot_keys) {
    ++steps_;
    Slice& slice = SliceOf(key);
    const ServerState* holder = FindServer(slice.holder.server);
    if (slice.phase != Phase::kSteady || slice.pending_grant != 0 ||
        holder == nullptr) {
      continue;
    }
    if (fastest->capacity >= kHotMoveGain * holder->capacity) {
      StartMove(IsolateKey(&slice, key), fastest->server.incarnation);
      next_hot_move_ = now + kHotMoveInterval;
      return;
    }
  }
}

const KeyspaceCoordinator::ServerState* KeyspaceCoordinator::FastestServer(
    const std::set<ServerIncarnation>& excluded) const {
  const ServerState* fastest = nullptr;
  for (const auto& [id, state] : servers_) {
    ++steps_;
    if (IsUsable(state) && !excluded.contains(state.server.incarnation) &&
        (fastest == nullptr || state.capacity > fastest->capacity)) {
      fastest = &state;
    }
  }
  return fastest;
}

KeyspaceCoordinator::Slice& KeyspaceCoordinator::SliceOf(std::int32_t key) {
  return std::prev(slices_.upper_bound(key))->second;
}

KeyspaceCoordinator::Slice* KeyspaceCoordinator::IsolateKey(Slice* slice,
                                                            std::int32_t key) {
  if (key < slice->last) {
    SplitAfter(slice, key);
  }
  return key > slice->first ? SplitAfter(slice, key - 1) : slice;
}

double KeyspaceCoordinator::OverloadThreshold() const {
  const double samples = std::max(1.0, load_.samples_per_server());
  return std::max(kMinOverload, kOverloadDeviations / std::sqrt(samples));
}

void KeyspaceCoordinator::Balance(Instant now) {
  UpdateCapacities();
  if (MovingSlices() < MaxMovingSlices(1)) {
    PlaceHotKeys(now);
  }
  ServerLoads loads = LoadByServer();
  if (loads.size() < 2 || loads.total_load() <= 0) {
    return;
  }
  MovableSlices movable = FindMovableSlices();
  const double mean = loads.mean();
  const std::uint64_t last_step = steps_ + kMaxMoveSteps * slices_.size();
  std::size_t moving = MovingSlices();
  while (steps_ < last_step &&
         moving < MaxMovingSlices(loads.most_loaded().second.ratio() / mean) &&
         MoveToLeastLoaded(mean, &loads, &movable)) {
    ++moving;
  }
}

KeyspaceCoordinator::MovableSlices KeyspaceCoordinator::FindMovableSlices() {
  MovableSlices movable;
  for (auto& [first, slice] : slices_) {
    ++steps_;
    if (slice.phase == Phase::kSteady && slice.pending_grant == 0) {
      movable[slice.holder.server].push_back(&slice);
    }
  }
  return movable;
}

bool KeyspaceCoordinator::MoveToLeastLoaded(double mean,
                                            ServerLoads* loads,
                                            MovableSlices* movable) {
  const auto& [to, to_load] = loads->least_loaded();
  const double spare_load = SpareLoad(to, to_load.load, mean);
  if (spare_load <= 0) {
    return false;
  }
  // A server without keys gets some although no server is overloaded.
  const bool empty_target = to_load.load <= 0;
  const double threshold = (1 + OverloadThreshold()) * mean;
  for (auto next = loads->by_ratio().rbegin(); next != loads->by_ratio().rend();
       ++next) {
    ++steps_;
    const auto& [from, from_load] = **next;
    const double ratio = from_load.ratio();
    if (ratio <= threshold && !(empty_target && ratio > mean * 0.9)) {
      return false;
    }
    const double excess =
        empty_target ? spare_load : from_load.load - mean * from_load.capacity;
    const double amount = std::min(excess, spare_load);
    Slice* moved = TakeLoad(amount, amount * kMaxOvershoot, &(*movable)[from]);
    if (moved == nullptr && ratio >= kSevereOverload * mean) {
      moved = TakeToEqualize(from_load, to_load, &(*movable)[from]);
    }
    if (moved != nullptr) {
      StartMove(moved, to);
      loads->Move(from, to, LoadOf(moved->first, moved->last));
      return true;
    }
  }
  return false;
}

KeyspaceCoordinator::Slice* KeyspaceCoordinator::TakeToEqualize(
    const ServerLoads::Entry& from,
    const ServerLoads::Entry& to,
    std::vector<Slice*>* slices) {
  // With this much more load, the target would be loaded as the source is now.
  const double difference = from.ratio() * to.capacity - to.load;
  const double equal =
      difference * from.capacity / (from.capacity + to.capacity);
  return difference > 0
             ? TakeLoad(equal, difference * kMaxEqualizingShare, slices)
             : nullptr;
}

KeyspaceCoordinator::Slice* KeyspaceCoordinator::TakeLoad(
    double amount,
    double max_load,
    std::vector<Slice*>* slices) {
  // A lower load does not justify a move.
  const double min_load = amount * 0.2;
  auto best = slices->end();
  double best_load = 0;
  auto largest = slices->end();
  double largest_load = 0;
  for (auto next = slices->begin(); next != slices->end(); ++next) {
    ++steps_;
    const double load = LoadOf((*next)->first, (*next)->last);
    if (load <= max_load && load > best_load) {
      best = next;
      best_load = load;
    }
    if (load > max_load && load > largest_load) {
      largest = next;
      largest_load = load;
    }
  }
  // Splits a larger slice if no whole slice carries most of `amount`.
  const bool may_split = slices_.size() < kMaxSlicesPerServer * servers_.size();
  if (largest != slices->end() && may_split && best_load < 0.7 * amount) {
    Slice* slice = *largest;
    const std::int32_t cut = FindCut(*slice, amount);
    const double prefix = LoadOf(slice->first, cut);
    if (cut < slice->last && prefix >= min_load && prefix <= max_load) {
      *largest = SplitAfter(slice, cut);
      return slice;
    }
    // A hot key in the prefix or right after it keeps the prefix from fitting.
    // The rest of the slice, after the cut, may fit instead.
    const double suffix = largest_load - prefix;
    if (cut < slice->last && suffix >= min_load && suffix <= max_load) {
      return SplitAfter(slice, cut);
    }
  }
  if (best != slices->end() && best_load >= min_load) {
    Slice* slice = *best;
    slices->erase(best);
    return slice;
  }
  return nullptr;
}

std::int32_t KeyspaceCoordinator::FindCut(const Slice& slice,
                                          double amount) const {
  // The first key up to which the slice carries `amount`.
  std::int32_t cut = slice.first;
  std::int32_t end = slice.last;
  while (cut < end) {
    ++steps_;
    const std::int32_t middle = cut + (end - cut) / 2;
    if (LoadOf(slice.first, middle) >= amount) {
      end = middle;
    } else {
      cut = middle + 1;
    }
  }
  const bool overshoots = cut > slice.first && cut < slice.last &&
                          LoadOf(slice.first, cut) > amount * 1.1 &&
                          LoadOf(slice.first, cut - 1) >= amount * 0.2;
  return overshoots ? cut - 1 : cut;
}

KeyspaceCoordinator::Slice* KeyspaceCoordinator::SplitAfter(Slice* slice,
                                                            std::int32_t last) {
  ++steps_;
  Slice rest = *slice;
  rest.first = last + 1;
  slice->last = last;
  ChangeRouted();
  return &slices_.emplace(rest.first, std::move(rest)).first->second;
}

void KeyspaceCoordinator::MergeSteady() {
  for (auto next = std::next(slices_.begin()); next != slices_.end();) {
    ++steps_;
    Slice& left = std::prev(next)->second;
    const Slice& right = next->second;
    const bool can_merge =
        left.phase == Phase::kSteady && right.phase == Phase::kSteady &&
        left.accepted && right.accepted && left.pending_grant == 0 &&
        right.pending_grant == 0 && left.holder.server == right.holder.server;
    if (!can_merge) {
      ++next;
      continue;
    }
    left.last = right.last;
    left.fence = std::max(left.fence, right.fence);
    left.holder.end = std::max(left.holder.end, right.holder.end);
    left.holder.late_grant_end =
        std::max(left.holder.late_grant_end, right.holder.late_grant_end);
    left.holder.given_up_at =
        std::max(left.holder.given_up_at, right.holder.given_up_at);
    left.holder.inherited = left.holder.inherited || right.holder.inherited;
    left.next_grant = std::min(left.next_grant, right.next_grant);
    left.accepted_at = std::min(left.accepted_at, right.accepted_at);
    next = slices_.erase(next);
    ChangeRouted();
  }
}

bool KeyspaceCoordinator::waits_for_proof() const {
  steps_ += servers_.size();
  return std::any_of(servers_.begin(), servers_.end(), [](const auto& entry) {
    return entry.second.needs_proof_after && !entry.second.unresponsive;
  });
}

ServiceRanges KeyspaceCoordinator::RecordedRanges() const {
  ServiceRanges ranges;
  for (const auto& [first, slice] : slices_) {
    OwnedRange range;
    range.first = slice.first;
    range.last = slice.last;
    range.fence = slice.fence;
    range.holder = slice.holder.server;
    for (const Lease& lease : slice.former) {
      range.former.push_back(lease.server);
    }
    if (slice.phase == Phase::kRecording) {
      if (!slice.holder.server.id.empty()) {
        range.former.push_back(slice.holder.server);
      }
      range.holder = slice.next;
    }
    ranges.push_back(std::move(range));
  }
  return ranges;
}

bool KeyspaceCoordinator::IsServing(const Slice& slice) {
  return slice.accepted &&
         (slice.phase == Phase::kSteady || slice.phase == Phase::kRecording);
}

bool KeyspaceCoordinator::serves_all_keys() const {
  return std::all_of(slices_.begin(), slices_.end(),
                     [](const auto& entry) { return IsServing(entry.second); });
}

ServiceRanges KeyspaceCoordinator::RoutedRanges() const {
  ServiceRanges ranges;
  for (const auto& [first, slice] : slices_) {
    OwnedRange range;
    range.first = slice.first;
    range.last = slice.last;
    range.fence = slice.fence;
    range.holder = slice.holder.server;
    range.serving = IsServing(slice);
    ranges.push_back(std::move(range));
  }
  state::MergeAdjacentRanges(&ranges);
  return ranges;
}

}  // namespace mustardflow::coordination
