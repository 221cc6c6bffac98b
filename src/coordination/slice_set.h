// The slices of one keyspace and their way from owner to owner.

#ifndef MUSTARDFLOW_COORDINATION_SLICE_SET_H_
#define MUSTARDFLOW_COORDINATION_SLICE_SET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "coordination/load_model.h"
#include "coordination/member.h"
#include "coordination/ownership_timing.h"
#include "state/grant.h"
#include "state/slice_table.h"
#include "state/time.h"

namespace mustardflow::coordination {

// The evidence on which a coordinator may grant.
struct GrantEvidence {
  state::Term term;
  // When the latest successful round started.
  std::optional<state::Instant> last_success;
  // When every lease of an earlier coordinator has ended.
  state::Instant earlier_leases_end;
};

using GrantsByMember = std::map<const Member*, std::vector<state::Grant>>;

// Divides one keyspace among its members. A slice passes through the phases
// unowned, granting, owned and releasing, in this order; the loss of its owner
// returns it to unowned from each of them.
class SliceSet {
 public:
  SliceSet(Keyspace keyspace, const OwnershipTiming& timing);

  // Discards all slices.
  void Clear();

  // Starts a term. `hint` tells where the slices last were; it may be empty.
  void Build(const state::SliceTable& hint, Members& members);

  // Takes over what the member holds from an earlier coordinator, unless it has
  // been granted anew.
  void AdoptHeld(Member& member);

  // Applies the member's latest acknowledgement.
  void ApplyAck(const Member& member);

  // Notes that the member's leases have ended.
  void DropMember(const Member& member);

  // Chooses the desired owner of each slice and starts moves within the
  // budget. `eligible` members may own slices. Slices count by the load that
  // `model` knows of; by their share of the keyspace while it knows too little.
  // Slices that carry too much are split; a hot key becomes a slice of its own.
  void Plan(Members& members,
            const std::vector<const Member*>& eligible,
            const LoadModel& model);

  // Grants the slices that are certainly free to their desired owners.
  void GrantPending(const Members& members, const GrantEvidence& evidence);

  // Adds the grants of each owner to `grants`, sorted by range.
  void CollectGrants(GrantsByMember* grants);

  // The table of acknowledged owners.
  state::SliceTable MakeTable() const;

  // Whether a slice refers to the member.
  bool RefersTo(const Member& member) const;

  // The share of the keyspace whose owner has acknowledged it.
  double OwnedShare() const;

  // Whether Plan() should be called although no member changed.
  bool plan_due() const { return plan_due_; }
  void set_plan_due() { plan_due_ = true; }

  // Returns whether the table has changed since the last call.
  bool TakeTableChanged();

 private:
  enum class Phase {
    // No member has the slice in its assignment.
    kUnowned,
    // The owner's assignment contains the slice; it has not acknowledged it.
    kGranting,
    // The owner has acknowledged the slice.
    kOwned,
    // Taken out of the owner's assignment; its acknowledgement is awaited.
    kReleasing,
  };

  struct Slice {
    state::KeyRange range;
    Phase phase = Phase::kUnowned;
    // Null if and only if the phase is kUnowned.
    Member* owner = nullptr;
    state::Fence fence;
    // The sequence of the order that first contained the grant; 0 before.
    std::uint64_t granted_in = 0;
    // The member that should own the slice.
    Member* desired = nullptr;
    // The owner that has given the slice up in this term, if it has.
    state::Predecessor predecessor;
    // Whether nothing is known about its owner under earlier coordinators.
    bool earlier_owner_unknown = true;
  };

  double LoadOf(const Slice& slice, const LoadModel& model) const;
  void SplitHot(const LoadModel& model, std::size_t eligible);
  void SplitOwned(std::size_t index, state::KeyHash first);
  void SplitAt(state::KeyHash first);
  void Adopt(Slice& slice, Member& member, const state::Grant& held);
  void ApplyAckToSlice(Slice& slice, const state::OrderAck& ack);
  void Lose(Slice& slice);
  void ApplyPlan(const std::vector<Member*>& desired);
  void Release(Slice& slice);
  bool MayGrant(const Slice& slice,
                const Members& members,
                const GrantEvidence& evidence) const;
  void Grant(Slice& slice, const GrantEvidence& evidence);
  void CheckInvariants() const;

  const Keyspace keyspace_;
  const OwnershipTiming& timing_;
  const std::size_t initial_slices_;
  // Invariant: empty, or sorted, without gaps or overlaps, covering the whole
  // hash space.
  std::vector<Slice> slices_;
  // Invariant: no grant of this term has a higher fence sequence.
  std::uint64_t last_fence_sequence_ = 0;
  bool plan_due_ = false;
  bool table_changed_ = false;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SLICE_SET_H_
