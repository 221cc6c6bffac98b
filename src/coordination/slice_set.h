// The slices of one keyspace: their owners, grants and moves.

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

// What a coordinator must know before it may grant a slice.
struct GrantEvidence {
  // The coordinator's own term.
  state::Term term;
  // When the latest successful round started; empty before the first one.
  std::optional<state::Instant> last_success;
  // By this time every lease of an earlier coordinator has ended.
  state::Instant earlier_leases_end;
};

using GrantsByMember = std::map<const Member*, std::vector<state::Grant>>;

// Divides one keyspace among its members. A slice is a range of key hashes that
// has one owner. Its phases are unowned, granting, owned and releasing, in this
// order. When the owner restarts or its leases end, the slice becomes unowned
// from any phase.
class SliceSet {
 public:
  SliceSet(Keyspace keyspace, const OwnershipTiming& timing);

  // Discards all slices.
  void Clear();

  // Creates the slices at the start of a term. `hint` suggests the boundaries
  // and the desired owners. If it is empty, the keyspace is cut into slices of
  // equal size.
  void Build(const state::SliceTable& hint, Members& members);

  // Keeps the grants that the member still holds from an earlier coordinator,
  // except for slices that this coordinator has granted since.
  void AdoptHeld(Member& member);

  // Updates the member's slices from its latest acknowledgement.
  void ApplyAck(const Member& member);

  // Makes the member's slices unowned, because its leases have ended.
  void DropMember(const Member& member);

  // Chooses the desired owner of each slice among the `eligible` members, and
  // starts moves up to OwnershipTiming::concurrent_moves. The load of a slice
  // is estimated by `model`, or by the slice's share of the keyspace while
  // `model` has too few samples. Slices with too much load are split; a hot key
  // becomes a slice of its own.
  void Plan(Members& members,
            const std::vector<const Member*>& eligible,
            const LoadModel& model);

  // Grants each unowned slice to its desired owner if no other member can still
  // hold it.
  void GrantPending(const Members& members, const GrantEvidence& evidence);

  // Adds the grants of each owner to `grants`, sorted by range. The grants must
  // be sent in the owner's next order.
  void CollectGrants(GrantsByMember* grants);

  // The table of acknowledged owners.
  state::SliceTable MakeTable() const;

  // Whether the member owns a slice or is the desired owner of one.
  bool RefersTo(const Member& member) const;

  // The share of the keyspace that is owned, from 0 to 1. A slice counts while
  // its owner has acknowledged the grant and is not asked to release it.
  double OwnedShare() const;

  // Whether Plan() should be called although no member changed.
  bool plan_due() const { return plan_due_; }
  void set_plan_due() { plan_due_ = true; }

  // Returns whether the table has changed since the last call.
  bool TakeTableChanged();

 private:
  // The state of a slice's ownership.
  enum class Phase {
    // No member has the slice in its assignment.
    kUnowned,
    // The owner's assignment contains the slice; the owner has not acknowledged
    // the grant yet.
    kGranting,
    // The owner has acknowledged the slice.
    kOwned,
    // The owner's assignment no longer contains the slice; the owner has not
    // acknowledged the release yet.
    kReleasing,
  };

  // One slice, its owner and the owner's grant.
  struct Slice {
    state::KeyRange range;
    Phase phase = Phase::kUnowned;
    // Null if and only if the phase is kUnowned.
    Member* owner = nullptr;
    state::Fence fence;
    // The sequence of the order that first contained the grant; 0 before it is
    // sent.
    std::uint64_t grant_sequence = 0;
    // The member that should own the slice.
    Member* desired = nullptr;
    // The member that released the slice in this term. Empty if none has, and
    // again once the next owner has acknowledged the slice.
    state::Predecessor predecessor;
    // Whether the owner under earlier coordinators is unknown: true until the
    // slice is adopted or granted in this term.
    bool earlier_owner_unknown = true;
  };

  double LoadOf(const Slice& slice, const LoadModel& model) const;
  void SplitHot(const LoadModel& model, std::size_t eligible_count);
  void SplitOwned(std::size_t index, state::KeyHash first);
  void SplitAt(state::KeyHash first);
  void Adopt(Slice& slice, Member& member, const state::Grant& held);
  void ApplyAckToSlice(Slice& slice, const state::OrderAck& ack);
  void MarkUnowned(Slice& slice);
  void ApplyPlan(const std::vector<Member*>& desired);
  void Release(Slice& slice);
  bool MayGrant(const Slice& slice,
                const Members& members,
                const GrantEvidence& evidence) const;
  void Grant(Slice& slice, const GrantEvidence& evidence);
  void CheckInvariants() const;

  const Keyspace keyspace_;
  const OwnershipTiming& timing_;
  // The number of slices of a keyspace without a hint. A power of two.
  const std::size_t initial_slices_;
  // Invariant: empty, or sorted and covering the whole hash space without gaps
  // or overlaps.
  std::vector<Slice> slices_;
  // Invariant: no grant of this term has a higher fence sequence.
  std::uint64_t last_fence_sequence_ = 0;
  bool plan_due_ = false;
  bool table_changed_ = false;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SLICE_SET_H_
