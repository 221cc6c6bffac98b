// Planning, granting, release and splitting of slices.

#include "coordination/slice_set.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <string>
#include <utility>

#include "coordination/assignment_planner.h"

namespace mustardflow::coordination {

using state::KeyHash;
using state::KeyRange;
using state::OrderAck;

namespace {

// A move must gain more than this fraction of the mean load of a member.
constexpr double kMinGainFraction = 0.03;
// With fewer samples than this, the load of a slice is estimated by its size.
constexpr double kMinSamples = 1000;
// This fraction of the total load is added to the slices in proportion to their
// size, so that slices without measured load are balanced as well.
constexpr double kSizeLoadFraction = 0.02;
// A slice with at least this fraction of the mean load of a member is split.
constexpr double kSplitLoadFraction = 0.1;
// No slice is split once there are this many times the initial slices.
constexpr std::size_t kMaxSliceGrowth = 4;

// Returns the grant in `ack.held` that covers all of `range`, or null.
const state::Grant* FindHeld(const OrderAck& ack, const KeyRange& range) {
  const auto found =
      std::lower_bound(ack.held.begin(), ack.held.end(), range.first,
                       [](const state::Grant& grant, KeyHash first) {
                         return grant.range.last < first;
                       });
  const bool covers = found != ack.held.end() &&
                      found->range.first <= range.first &&
                      range.last <= found->range.last;
  return covers ? &*found : nullptr;
}

}  // namespace

SliceSet::SliceSet(Keyspace keyspace, const OwnershipTiming& timing)
    : keyspace_(keyspace),
      timing_(timing),
      initial_slices_(keyspace == Keyspace::kKeys
                          ? timing.initial_slices
                          : timing.initial_routing_slices) {}

void SliceSet::Clear() {
  slices_.clear();
  last_fence_sequence_ = 0;
}

void SliceSet::Build(const state::SliceTable& hint, Members& members) {
  Clear();
  plan_due_ = true;
  table_changed_ = true;
  for (std::size_t i = 0; i < hint.size(); ++i) {
    const state::SliceView view = hint.at(i);
    Slice slice;
    slice.range = view.range;
    const auto owner = members.find(std::string(view.server));
    slice.desired = owner == members.end() ? nullptr : &owner->second;
    slices_.push_back(slice);
  }
  if (!slices_.empty()) {
    return;
  }
  const KeyHash width = state::kLastKeyHash / initial_slices_ + 1;
  for (std::size_t i = 0; i < initial_slices_; ++i) {
    const KeyHash first = width * i;
    Slice slice;
    slice.range = {first, first + (width - 1)};
    slices_.push_back(slice);
  }
}

// Splits the slice that contains `first`, so that a slice starts there. Does
// nothing if that slice has an owner.
void SliceSet::SplitAt(KeyHash first) {
  const auto next = std::upper_bound(slices_.begin(), slices_.end(), first,
                                     [](KeyHash value, const Slice& slice) {
                                       return value < slice.range.first;
                                     });
  Slice& slice = *std::prev(next);
  if (slice.range.first == first || slice.phase != Phase::kUnowned) {
    return;
  }
  Slice upper = slice;
  upper.range.first = first;
  slice.range.last = first - 1;
  slices_.insert(next, upper);
}

void SliceSet::AdoptHeld(Member& member) {
  const OrderAck& ack = member.ledger.last_ack();
  for (const state::Grant& held : ack.held) {
    SplitAt(held.range.first);
    if (held.range.last != state::kLastKeyHash) {
      SplitAt(held.range.last + 1);
    }
  }
  for (Slice& slice : slices_) {
    if (!slice.earlier_owner_unknown || slice.phase != Phase::kUnowned) {
      continue;
    }
    const state::Grant* held = FindHeld(ack, slice.range);
    if (held) {
      Adopt(slice, member, *held);
    }
  }
  CheckInvariants();
}

void SliceSet::Adopt(Slice& slice, Member& member, const state::Grant& held) {
  slice.owner = &member;
  slice.desired = &member;
  slice.fence = held.fence;
  slice.phase = Phase::kOwned;
  slice.grant_sequence = member.ledger.last_ack().sequence;
  slice.earlier_owner_unknown = false;
  member.dirty = true;
  table_changed_ = true;
}

void SliceSet::ApplyAck(const Member& member) {
  for (Slice& slice : slices_) {
    if (slice.owner == &member) {
      ApplyAckToSlice(slice, member.ledger.last_ack());
    }
  }
}

void SliceSet::ApplyAckToSlice(Slice& slice, const OrderAck& ack) {
  const state::Grant* held = FindHeld(ack, slice.range);
  const bool holds = held && held->fence == slice.fence;
  switch (slice.phase) {
    case Phase::kUnowned:
      break;
    case Phase::kGranting:
      if (slice.grant_sequence == 0 || ack.sequence < slice.grant_sequence) {
        break;
      }
      if (holds) {
        slice.phase = Phase::kOwned;
        slice.predecessor = {};
        table_changed_ = true;
      } else {
        MarkUnowned(slice);
      }
      break;
    case Phase::kOwned:
      if (!holds) {
        MarkUnowned(slice);
      }
      break;
    case Phase::kReleasing:
      if (slice.owner->ledger.CertainlyFree(std::nullopt, slice.range)) {
        slice.predecessor = {slice.owner->spec.name, ack.boot};
        MarkUnowned(slice);
      }
      break;
  }
}

void SliceSet::MarkUnowned(Slice& slice) {
  slice.phase = Phase::kUnowned;
  slice.owner = nullptr;
  slice.grant_sequence = 0;
  plan_due_ = true;
  table_changed_ = true;
}

void SliceSet::DropMember(const Member& member) {
  for (Slice& slice : slices_) {
    if (slice.owner == &member) {
      MarkUnowned(slice);
    }
  }
}

void SliceSet::Plan(Members& members,
                    const std::vector<const Member*>& eligible,
                    const LoadModel& model) {
  plan_due_ = false;
  SplitHot(model, eligible.size());
  std::vector<Member*> candidates;
  std::vector<ServerCapacity> capacities;
  std::map<const Member*, std::size_t> indexes;
  for (auto& [name, member] : members) {
    if (member.spec.keyspace != keyspace_) {
      continue;
    }
    indexes[&member] = candidates.size();
    candidates.push_back(&member);
    const bool may_own =
        std::find(eligible.begin(), eligible.end(), &member) != eligible.end();
    capacities.push_back({member.spec.weight, may_own});
  }
  std::vector<SliceLoad> loads;
  double total = 0;
  for (const Slice& slice : slices_) {
    const bool settled =
        slice.phase == Phase::kOwned || slice.phase == Phase::kGranting;
    const Member* owner = settled ? slice.owner : slice.desired;
    SliceLoad load{LoadOf(slice, model), std::nullopt};
    if (owner) {
      load.owner = indexes.at(owner);
    }
    total += load.load;
    loads.push_back(load);
  }
  const double mean =
      total / static_cast<double>(std::max<std::size_t>(eligible.size(), 1));
  std::vector<Member*> desired;
  for (const auto& choice :
       PlanAssignment(loads, capacities, mean * kMinGainFraction)) {
    desired.push_back(choice ? candidates[*choice] : nullptr);
  }
  ApplyPlan(desired);
}

// Returns the load with which the slice is planned: its measured load plus a
// small load in proportion to its size. While there are too few samples,
// returns its share of the keyspace instead.
double SliceSet::LoadOf(const Slice& slice, const LoadModel& model) const {
  const double share = slice.range.Share();
  if (model.sample_count() < kMinSamples) {
    return share;
  }
  return model.LoadOf(slice.range) + kSizeLoadFraction * model.total() * share;
}

void SliceSet::SplitHot(const LoadModel& model, std::size_t eligible_count) {
  if (model.sample_count() < kMinSamples || eligible_count == 0) {
    return;
  }
  const double mean = model.total() / static_cast<double>(eligible_count);
  const std::size_t max_slices = initial_slices_ * kMaxSliceGrowth;
  for (std::size_t i = 0; i < slices_.size() && slices_.size() < max_slices;
       ++i) {
    const KeyRange range = slices_[i].range;
    const double load = model.LoadOf(range);
    if (slices_[i].phase != Phase::kOwned || load < mean * kSplitLoadFraction ||
        range.first == range.last) {
      continue;
    }
    const auto hottest = model.HottestIn(range);
    if (hottest && hottest->load > load / 2) {
      // Splits above the key first: the first split inserts behind index `i`,
      // so the second one still finds the key in the slice at `i`.
      if (hottest->hash != range.last) {
        SplitOwned(i, hottest->hash + 1);
      }
      if (hottest->hash != range.first) {
        SplitOwned(i, hottest->hash);
      }
      continue;
    }
    const auto median = model.MedianOf(range);
    if (median && *median != range.first) {
      SplitOwned(i, *median);
    }
  }
  CheckInvariants();
}

// Splits an owned slice in two. Both parts keep the owner and the fence.
void SliceSet::SplitOwned(std::size_t index, KeyHash first) {
  Slice upper = slices_[index];
  upper.range.first = first;
  slices_[index].range.last = first - 1;
  slices_.insert(slices_.begin() + static_cast<std::ptrdiff_t>(index) + 1,
                 upper);
  slices_[index].owner->dirty = true;
  table_changed_ = true;
}

void SliceSet::ApplyPlan(const std::vector<Member*>& desired) {
  const auto moving =
      std::count_if(slices_.begin(), slices_.end(), [](const Slice& slice) {
        return slice.phase == Phase::kReleasing ||
               slice.phase == Phase::kGranting;
      });
  std::int64_t budget = timing_.concurrent_moves - moving;
  for (std::size_t i = 0; i < slices_.size(); ++i) {
    Slice& slice = slices_[i];
    const bool owned = slice.phase == Phase::kOwned;
    if (!owned || !desired[i] || desired[i] == slice.owner) {
      slice.desired = desired[i];
      continue;
    }
    // Planning is repeated until no owned slice has to move: moves beyond the
    // budget wait until earlier ones have ended.
    plan_due_ = true;
    if (budget > 0) {
      --budget;
      slice.desired = desired[i];
      Release(slice);
    }
  }
}

void SliceSet::Release(Slice& slice) {
  slice.phase = Phase::kReleasing;
  slice.owner->dirty = true;
  table_changed_ = true;
}

void SliceSet::GrantPending(const Members& members,
                            const GrantEvidence& evidence) {
  for (Slice& slice : slices_) {
    if (slice.phase == Phase::kUnowned && MayGrant(slice, members, evidence)) {
      Grant(slice, evidence);
    }
  }
}

bool SliceSet::MayGrant(const Slice& slice,
                        const Members& members,
                        const GrantEvidence& evidence) const {
  const Member* target = slice.desired;
  if (!target || !target->answering_since || !target->ledger.renewed()) {
    return false;
  }
  const bool earlier_leases_ended =
      evidence.last_success &&
      *evidence.last_success > evidence.earlier_leases_end;
  if (slice.earlier_owner_unknown && !earlier_leases_ended) {
    return false;
  }
  for (const auto& [name, member] : members) {
    if (member.spec.keyspace == keyspace_ && &member != target &&
        !member.ledger.CertainlyFree(evidence.last_success, slice.range)) {
      return false;
    }
  }
  return true;
}

void SliceSet::Grant(Slice& slice, const GrantEvidence& evidence) {
  slice.phase = Phase::kGranting;
  slice.owner = slice.desired;
  slice.fence = {evidence.term, ++last_fence_sequence_};
  slice.grant_sequence = 0;
  slice.earlier_owner_unknown = false;
  slice.owner->dirty = true;
}

void SliceSet::CollectGrants(GrantsByMember* grants) {
  for (Slice& slice : slices_) {
    const bool granted =
        slice.phase == Phase::kGranting || slice.phase == Phase::kOwned;
    if (!granted) {
      continue;
    }
    if (slice.grant_sequence == 0) {
      slice.grant_sequence = slice.owner->ledger.next_sequence();
    }
    const bool continued = slice.phase == Phase::kOwned;
    state::Grant grant{slice.range, slice.fence, continued};
    if (!continued) {
      grant.predecessor = slice.predecessor;
    }
    (*grants)[slice.owner].push_back(std::move(grant));
  }
}

state::SliceTable SliceSet::MakeTable() const {
  state::SliceTable table;
  table.Reserve(slices_.size());
  for (const Slice& slice : slices_) {
    const bool owned = slice.phase == Phase::kOwned;
    table.Append(slice.range.first,
                 owned ? slice.owner->spec.name : std::string(),
                 owned ? slice.fence : state::Fence());
  }
  return table;
}

bool SliceSet::RefersTo(const Member& member) const {
  return std::any_of(slices_.begin(), slices_.end(), [&](const Slice& slice) {
    return slice.owner == &member || slice.desired == &member;
  });
}

double SliceSet::OwnedShare() const {
  double share = 0;
  for (const Slice& slice : slices_) {
    if (slice.phase == Phase::kOwned) {
      share += slice.range.Share();
    }
  }
  return share;
}

bool SliceSet::TakeTableChanged() {
  return std::exchange(table_changed_, false);
}

void SliceSet::CheckInvariants() const {
  [[maybe_unused]] KeyHash next = 0;
  for ([[maybe_unused]] const Slice& slice : slices_) {
    assert(slice.range.first == next);
    assert((slice.owner == nullptr) == (slice.phase == Phase::kUnowned));
    next = slice.range.last + 1;
  }
  assert(slices_.empty() || next == 0);
}

}  // namespace mustardflow::coordination
