// The phases of a slice, the orders that move a slice through them, and the
// planning of moves.

#include "coordination/keyspace_coordinator.h"

#include <algorithm>
#include <cmath>
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

// The longest time from the arrival of a grant until its lease ends by the
// leader's clock. A server's clock may run 2 % slow; 60 ms allow for the
// transmission of the answer to the leader.
constexpr Duration kMaxLeaseDuration =
    kKeyLease + kKeyLease / 50 + std::chrono::milliseconds(60);
// Allows for four renewals in one lease, so that three of them may be lost.
constexpr Duration kRenewInterval = std::chrono::milliseconds(600);
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
      slice.former.push_back(std::move(lease));
    }
    slice.fence = NextFence();
    slice.phase = !slice.former.empty()      ? Phase::kEnding
                  : !range.holder.id.empty() ? Phase::kGranting
                                             : Phase::kSteady;
    slices_.push_back(std::move(slice));
  }
  if (slices_.empty()) {
    Slice whole;
    whole.last = state::kShardKeyCount - 1;
    whole.holder.end = now;
    slices_.push_back(std::move(whole));
  }
}

std::int64_t KeyspaceCoordinator::NextFence() {
  // Each term has 2^20 fences.
  constexpr int kCountBits = 20;
  return (term_ << kCountBits) | ++fence_count_;
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
  return found != nullptr && found->server.eligible && !found->unresponsive;
}

void KeyspaceCoordinator::SetServers(Instant now,
                                     std::vector<KeyServer> servers) {
  std::map<std::string, ServerState> next;
  for (KeyServer& server : servers) {
    ServerState state;
    if (const ServerState* known = FindServer(server.incarnation)) {
      state = *known;
    } else if (has_servers_) {
      // The server may have restarted and forgotten a successor's fences. The
      // servers of the first list need no newer proof: the claim of the term
      // proves that this host leads.
      state.needs_proof_after = now;
    }
    state.server = std::move(server);
    const std::string id = state.server.incarnation.id;
    next.emplace(id, std::move(state));
  }
  if (next.size() > servers_.size()) {
    server_count_rose_at_ = now;
  }
  has_servers_ = has_servers_ || !next.empty();
  servers_ = std::move(next);
  for (Slice& slice : slices_) {
    UpdateIncarnations(now, &slice);
  }
  MoveFromUnusable(now);
}

// A server that has restarted holds none of the ranges that it held before. But
// it keeps its id, so a grant that was sent before its new entry was read may
// have reached the new incarnation. The new incarnation therefore counts as a
// possible holder.
void KeyspaceCoordinator::UpdateIncarnations(Instant now, Slice* slice) {
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
  const auto slice =
      std::find_if(slices_.begin(), slices_.end(), [&](const Slice& candidate) {
        return candidate.pending_grant == order.id;
      });
  if (slice != slices_.end()) {
    HandleGrantOutcome(now, order, outcome, &*slice);
  }
}

void KeyspaceCoordinator::HandleReleaseOutcome(Instant now,
                                               const KeyOrder& order,
                                               OrderOutcome outcome,
                                               const std::string& handover) {
  const auto slice =
      std::find_if(slices_.begin(), slices_.end(), [&](const Slice& candidate) {
        return candidate.first == order.first && candidate.last == order.last;
      });
  if (slice == slices_.end()) {
    return;
  }
  for (Lease& lease : slice->former) {
    if (lease.server != order.server || lease.pending_release != order.id) {
      continue;
    }
    lease.pending_release = 0;
    lease.next_release = now + kRetryInterval;
    if (outcome == OrderOutcome::kAccepted) {
      lease.released = true;
      slice->handover = handover;
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
  if (outcome == OrderOutcome::kUnknown || outcome == OrderOutcome::kReset) {
    // Once a grant with a higher fence is accepted, the server refuses this
    // one.
    slice->fence = NextFence();
  }
  if (outcome != OrderOutcome::kAccepted) {
    slice->next_grant = now + kRetryInterval;
    return;
  }
  slice->holder.late_grant_end = Instant();
  slice->holder.given_up_at.reset();
  slice->holder.inherited = false;
  slice->next_grant = now + kRenewInterval;
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
  for (Slice& slice : slices_) {
    update_lease(&slice.holder);
    std::for_each(slice.former.begin(), slice.former.end(),
                  [&](Lease& lease) { update_lease(&lease); });
  }
  if (written > *last_given_up_) {
    last_given_up_.reset();
  }
}

void KeyspaceCoordinator::RecordFailure(Instant now,
                                        const ServerIncarnation& server) {
  const auto found = servers_.find(server.id);
  if (found == servers_.end() || found->second.server.incarnation != server) {
    return;
  }
  ServerState& state = found->second;
  state.needs_proof_after = now;
  if (!state.failing_since) {
    state.failing_since = now;
  } else if (now - *state.failing_since >= kUnresponsiveTimeout) {
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
  MoveFromUnusable(now);
  if (now >= next_balance_) {
    next_balance_ = now + kBalanceInterval;
    load_.Decay(now);
    load_.SetServers(servers_.size());
    MergeSteady();
    Balance(now);
  }
  std::vector<KeyOrder> orders;
  for (Slice& slice : slices_) {
    Advance(now, &slice);
    AddOrders(now, &slice, &orders);
  }
  return orders;
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
  const ServerState* holder = FindServer(slice.holder.server);
  // A range that is to move is granted to its present holder only if the holder
  // may have it already, not while leases of former holders still have to end.
  const bool may_hold = slice.accepted || slice.former.empty();
  return holder != nullptr && !holder->unresponsive &&
         !holder->needs_proof_after && slice.pending_grant == 0 &&
         now >= slice.next_grant &&
         (slice.phase != Phase::kRecording || may_hold);
}

void KeyspaceCoordinator::AddOrders(Instant now,
                                    Slice* slice,
                                    std::vector<KeyOrder>* orders) {
  if (slice->phase == Phase::kEnding) {
    for (Lease& lease : slice->former) {
      if (!lease.released && lease.pending_release == 0 &&
          now >= lease.next_release) {
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
}

std::map<ServerIncarnation, double> KeyspaceCoordinator::LoadByServer() const {
  std::map<ServerIncarnation, double> loads;
  for (const auto& [id, state] : servers_) {
    if (IsUsable(state.server.incarnation)) {
      loads[state.server.incarnation] = 0;
    }
  }
  const double idle = (kIdleWeight * load_.total() + 1) / state::kShardKeyCount;
  for (const Slice& slice : slices_) {
    const ServerIncarnation& server =
        slice.phase == Phase::kRecording ? slice.next : slice.holder.server;
    const auto found = loads.find(server);
    if (found != loads.end()) {
      found->second += load_.Sum(slice.first, slice.last) +
                       idle * (slice.last - slice.first + 1);
    }
  }
  return loads;
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
    state.capacity = state.server.capacity;
    if (IsUsable(state.server.incarnation)) {
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

ServerIncarnation KeyspaceCoordinator::LeastLoadedServer(
    const std::map<ServerIncarnation, double>& loads) const {
  ServerIncarnation best;
  double best_ratio = 0;
  for (const auto& [incarnation, load] : loads) {
    const double ratio = load / CapacityOf(incarnation);
    if (best.id.empty() || ratio < best_ratio) {
      best = incarnation;
      best_ratio = ratio;
    }
  }
  return best;
}

bool KeyspaceCoordinator::IsInitialAssignment() const {
  return slices_.size() == 1 && slices_.front().holder.server.id.empty();
}

std::size_t KeyspaceCoordinator::MovingSlices() const {
  return static_cast<std::size_t>(std::count_if(
      slices_.begin(), slices_.end(),
      [](const Slice& slice) { return slice.phase != Phase::kSteady; }));
}

std::size_t KeyspaceCoordinator::MaxMovingSlices(double ratio) const {
  const std::size_t servers_per_move =
      ratio >= kSevereOverload ? kServersPerUrgentMove : kServersPerMove;
  return std::max(kMinMovingLimit, servers_.size() / servers_per_move);
}

void KeyspaceCoordinator::MoveFromUnusable(Instant now) {
  const auto needs_server = [this](const Slice& slice) {
    const ServerIncarnation& server =
        slice.phase == Phase::kRecording ? slice.next : slice.holder.server;
    return !IsUsable(server);
  };
  if (std::none_of(slices_.begin(), slices_.end(), needs_server)) {
    return;
  }
  std::map<ServerIncarnation, double> loads = LoadByServer();
  if (loads.empty()) {
    return;
  }
  UpdateCapacities();
  const bool initial_assignment = IsInitialAssignment();
  if (initial_assignment && now - server_count_rose_at_ < kSettleTime &&
      now - start_time_ < kMaxSettleTime) {
    return;
  }
  // Splits wide ranges, to assign them to several servers.
  for (std::size_t i = 0; i < slices_.size(); ++i) {
    const Slice& slice = slices_[i];
    if (!needs_server(slice) || slice.pending_grant != 0 ||
        slice.phase != Phase::kSteady) {
      continue;
    }
    const auto parts = static_cast<std::int32_t>(
        initial_assignment
            ? loads.size()
            : std::min<std::size_t>(kMaxPartsOfLostRange, loads.size()));
    const std::int32_t width = slice.last - slice.first + 1;
    const double load = load_.Sum(slice.first, slice.last);
    if (width < parts * 2 ||
        slices_.size() + parts > kMaxSlicesPerServer * servers_.size()) {
      continue;
    }
    for (std::int32_t part = 1; part < parts; ++part) {
      const Slice& rest = slices_[i];
      const std::int32_t cut =
          load > 0 ? load_.CutAfter(rest.first, rest.last, load / parts)
                   : rest.first + width / parts - 1;
      if (cut >= rest.last) {
        break;
      }
      SplitAfter(i, cut);
      ++i;
    }
  }
  const double idle = (kIdleWeight * load_.total() + 1) / state::kShardKeyCount;
  for (Slice& slice : slices_) {
    if (needs_server(slice)) {
      const ServerIncarnation to = LeastLoadedServer(loads);
      loads[to] += load_.Sum(slice.first, slice.last) +
                   idle * (slice.last - slice.first + 1);
      StartMove(&slice, to);
    }
  }
  next_balance_ = std::max(next_balance_, now);
}

void KeyspaceCoordinator::PlaceHotKeys(Instant now) {
  if (now < next_hot_move_) {
    return;
  }
  std::size_t usable = 0;
  for (const auto& [id, state] : servers_) {
    if (IsUsable(state.server.incarnation)) {
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
    with_hot_key.insert(slices_[SliceIndexOf(key)].holder.server);
  }
  for (const auto& [load, key] : hot_keys) {
    const std::size_t index = SliceIndexOf(key);
    const Slice& slice = slices_[index];
    const ServerState* holder = FindServer(slice.holder.server);
    if (slice.phase != Phase::kSteady || slice.pending_grant != 0 ||
        holder == nullptr) {
      continue;
    }
    const ServerState* fastest = nullptr;
    for (const auto& [id, state] : servers_) {
      if (IsUsable(state.server.incarnation) &&
          !with_hot_key.contains(state.server.incarnation) &&
          (fastest == nullptr || state.capacity > fastest->capacity)) {
        fastest = &state;
      }
    }
    if (fastest != nullptr &&
        fastest->capacity >= kHotMoveGain * holder->capacity) {
      const ServerIncarnation to = fastest->server.incarnation;
      StartMove(&slices_[IsolateKey(index, key)], to);
      next_hot_move_ = now + kHotMoveInterval;
      return;
    }
  }
}

std::size_t KeyspaceCoordinator::SliceIndexOf(std::int32_t key) const {
  const auto after = std::upper_bound(
      slices_.begin(), slices_.end(), key,
      [](std::int32_t value, const Slice& s) { return value < s.first; });
  return static_cast<std::size_t>(after - slices_.begin()) - 1;
}

std::size_t KeyspaceCoordinator::IsolateKey(std::size_t index,
                                            std::int32_t key) {
  if (key < slices_[index].last) {
    SplitAfter(index, key);
  }
  if (key > slices_[index].first) {
    SplitAfter(index, key - 1);
    ++index;
  }
  return index;
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
  while (true) {
    const std::map<ServerIncarnation, double> loads = LoadByServer();
    double total_load = 0;
    double total_capacity = 0;
    for (const auto& [incarnation, load] : loads) {
      total_load += load;
      total_capacity += CapacityOf(incarnation);
    }
    if (loads.size() < 2 || total_load <= 0) {
      return;
    }
    const double mean = total_load / total_capacity;
    std::vector<std::pair<double, ServerIncarnation>> by_ratio;
    for (const auto& [incarnation, load] : loads) {
      by_ratio.emplace_back(load / CapacityOf(incarnation), incarnation);
    }
    std::sort(by_ratio.rbegin(), by_ratio.rend());
    if (MovingSlices() >= MaxMovingSlices(by_ratio.front().first / mean)) {
      return;
    }
    const ServerIncarnation least_loaded = by_ratio.back().second;
    const double spare_load =
        SpareLoad(least_loaded, loads.at(least_loaded), mean);
    if (spare_load <= 0) {
      return;
    }
    bool moved = false;
    for (const auto& [ratio, incarnation] : by_ratio) {
      const bool overloaded = ratio > (1 + OverloadThreshold()) * mean;
      // A server without keys gets some although no server is overloaded.
      const bool empty_target = loads.at(least_loaded) <= 0;
      if (!overloaded && !(empty_target && ratio > mean * 0.9)) {
        break;
      }
      const double excess =
          empty_target ? spare_load
                       : loads.at(incarnation) - mean * CapacityOf(incarnation);
      const double amount = std::min(excess, spare_load);
      const bool severe = ratio >= kSevereOverload * mean;
      if (MoveLoad(incarnation, least_loaded, amount, amount * kMaxOvershoot) ||
          (severe && MoveToEqualize(incarnation, least_loaded, loads))) {
        moved = true;
        break;
      }
    }
    if (!moved) {
      return;
    }
  }
}

bool KeyspaceCoordinator::MoveToEqualize(
    const ServerIncarnation& from,
    const ServerIncarnation& to,
    const std::map<ServerIncarnation, double>& loads) {
  const double from_capacity = CapacityOf(from);
  const double to_capacity = CapacityOf(to);
  // With this much more load, the target would be loaded as the source is now.
  const double difference =
      loads.at(from) * to_capacity / from_capacity - loads.at(to);
  const double equal =
      difference * from_capacity / (from_capacity + to_capacity);
  return difference > 0 &&
         MoveLoad(from, to, equal, difference * kMaxEqualizingShare);
}

bool KeyspaceCoordinator::MoveLoad(const ServerIncarnation& from,
                                   const ServerIncarnation& to,
                                   double amount,
                                   double max_load) {
  // A lower load does not justify a move.
  const double min_load = amount * 0.2;
  std::size_t best = slices_.size();
  double best_load = 0;
  std::size_t largest = slices_.size();
  double largest_load = 0;
  const double idle = (kIdleWeight * load_.total() + 1) / state::kShardKeyCount;
  for (std::size_t i = 0; i < slices_.size(); ++i) {
    const Slice& slice = slices_[i];
    if (slice.phase != Phase::kSteady || slice.pending_grant != 0 ||
        slice.holder.server != from) {
      continue;
    }
    const double load = load_.Sum(slice.first, slice.last) +
                        idle * (slice.last - slice.first + 1);
    if (load <= max_load && load > best_load) {
      best = i;
      best_load = load;
    }
    if (load > max_load && load > largest_load) {
      largest = i;
      largest_load = load;
    }
  }
  // Splits a larger slice if no whole slice carries most of `amount`.
  const bool may_split = slices_.size() < kMaxSlicesPerServer * servers_.size();
  if (largest < slices_.size() && may_split && best_load < 0.7 * amount) {
    const Slice& slice = slices_[largest];
    const std::int32_t cut = FindCut(slice, amount, idle);
    const double prefix =
        load_.Sum(slice.first, cut) + idle * (cut - slice.first + 1);
    if (cut < slice.last && prefix >= min_load && prefix <= max_load) {
      SplitAfter(largest, cut);
      StartMove(&slices_[largest], to);
      return true;
    }
    // A hot key in the prefix or right after it keeps the prefix from fitting.
    // The rest of the slice, after the cut, may fit instead.
    const double suffix = largest_load - prefix;
    if (cut < slice.last && suffix >= min_load && suffix <= max_load) {
      SplitAfter(largest, cut);
      StartMove(&slices_[largest + 1], to);
      return true;
    }
  }
  if (best < slices_.size() && best_load >= min_load) {
    StartMove(&slices_[best], to);
    return true;
  }
  return false;
}

std::int32_t KeyspaceCoordinator::FindCut(const Slice& slice,
                                          double amount,
                                          double idle) const {
  double sum = 0;
  for (std::int32_t key = slice.first; key < slice.last; ++key) {
    const double next = sum + load_.Sum(key, key) + idle;
    if (next > amount * 1.1 && key > slice.first && sum >= amount * 0.2) {
      return key - 1;
    }
    sum = next;
    if (sum >= amount) {
      return key;
    }
  }
  return slice.last;
}

void KeyspaceCoordinator::SplitAfter(std::size_t index, std::int32_t last) {
  Slice rest = slices_[index];
  rest.first = last + 1;
  slices_[index].last = last;
  slices_.insert(slices_.begin() + static_cast<std::ptrdiff_t>(index) + 1,
                 std::move(rest));
  ChangeRouted();
}

void KeyspaceCoordinator::MergeSteady() {
  for (std::size_t i = 0; i + 1 < slices_.size();) {
    Slice& left = slices_[i];
    const Slice& right = slices_[i + 1];
    const bool can_merge =
        left.phase == Phase::kSteady && right.phase == Phase::kSteady &&
        left.accepted && right.accepted && left.pending_grant == 0 &&
        right.pending_grant == 0 && left.holder.server == right.holder.server;
    if (!can_merge) {
      ++i;
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
    slices_.erase(slices_.begin() + static_cast<std::ptrdiff_t>(i) + 1);
    ChangeRouted();
  }
}

bool KeyspaceCoordinator::record_urgent() const {
  const bool proof_needed =
      std::any_of(servers_.begin(), servers_.end(), [](const auto& entry) {
        return entry.second.needs_proof_after && !entry.second.unresponsive;
      });
  return proof_needed ||
         std::any_of(slices_.begin(), slices_.end(), [this](const Slice& s) {
           return s.phase == Phase::kRecording &&
                  s.awaited_change > confirmed_change_;
         });
}

ServiceRanges KeyspaceCoordinator::RecordedRanges() const {
  ServiceRanges ranges;
  for (const Slice& slice : slices_) {
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

ServiceRanges KeyspaceCoordinator::RoutedRanges() const {
  ServiceRanges ranges;
  for (const Slice& slice : slices_) {
    OwnedRange range;
    range.first = slice.first;
    range.last = slice.last;
    range.fence = slice.fence;
    range.holder = slice.holder.server;
    range.serving = slice.accepted && (slice.phase == Phase::kSteady ||
                                       slice.phase == Phase::kRecording);
    ranges.push_back(std::move(range));
  }
  state::MergeAdjacentRanges(&ranges);
  return ranges;
}

}  // namespace mustardflow::coordination
