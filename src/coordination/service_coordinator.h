// The coordinator of one service: who owns which keys, and who may decide it.

#ifndef MUSTARDFLOW_COORDINATION_SERVICE_COORDINATOR_H_
#define MUSTARDFLOW_COORDINATION_SERVICE_COORDINATOR_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/load_model.h"
#include "coordination/member.h"
#include "coordination/ownership_timing.h"
#include "coordination/round_tracker.h"
#include "coordination/slice_set.h"
#include "state/grant.h"
#include "state/slice_table.h"
#include "state/time.h"

namespace mustardflow::coordination {

// An order to be sent to a member.
struct OutgoingOrder {
  std::string member;
  state::Order order;
};

// What a coordinator of one service currently is.
enum class CoordinatorPhase {
  // Another host may coordinate.
  kFollowing,
  // Waits for a majority of the witnesses to accept its term.
  kCampaigning,
  // Issues grants.
  kEstablished,
};

std::string_view CoordinatorPhaseName(CoordinatorPhase phase);

// Decides on grants for both keyspaces of one service. Backend servers act as
// witnesses of the coordinator's term: a lease is renewed only on the strength
// of a round that a majority of them answered. docs/design/ownership.md proves
// that each key has at most one owner.
//
// Events and the time go in through the methods; orders to send come out.
class ServiceCoordinator {
 public:
  ServiceCoordinator(std::string service,
                     state::InstanceId instance,
                     const OwnershipTiming& timing);

  // Replaces the members and the witnesses. Members that are no longer listed
  // hand their slices off first. A change of `witness_revision` ends the
  // present term.
  void Configure(const std::vector<MemberSpec>& members,
                 std::uint64_t witness_revision,
                 const WitnessGroups& witnesses);

  // Learns tables that another host published. They are hints as to where
  // slices were, never evidence that a member holds one.
  void LearnRoutes(const state::RouteTable& routes);

  // Learns that `term` has been in use.
  void RecordTerm(state::Term term);

  // Starts to campaign under a new term, higher than every known one. `wall`
  // keeps terms of isolated hosts apart; safety does not rely on it.
  std::vector<OutgoingOrder> Campaign(state::Instant now,
                                      state::WallMilliseconds wall);

  // Gives up the office, for instance when the host stops.
  void StepDown();

  // Advances time: starts rounds, notices lapsed leases, moves slices.
  std::vector<OutgoingOrder> Tick(state::Instant now);

  // Handles a member's answer.
  std::vector<OutgoingOrder> HandleAck(state::Instant now,
                                       const std::string& name,
                                       const state::OrderAck& ack);

  // Learns what a host saw of the keys' load.
  void RecordLoad(state::Instant now, const LoadReport& report);

  CoordinatorPhase phase() const { return phase_; }
  state::Term term() const { return term_; }
  state::Term highest_term() const { return highest_term_; }
  // The newest known tables. While established, this coordinator's own.
  const state::RouteTable& routes() const { return routes_; }
  // The share of the keyspace whose owners have acknowledged it.
  double OwnedShare(Keyspace keyspace) const;
  // Whether orders may still be sent to the member.
  bool IsMember(const std::string& name) const {
    return members_.contains(name);
  }
  // Whether the member answers and holds a lease.
  bool IsAnswering(const std::string& name, state::Instant now) const;
  // The process run of the member that last answered; 0 if none has.
  state::BootId LastBoot(const std::string& name) const;

 private:
  std::vector<OutgoingOrder> StartRound(state::Instant now);
  std::vector<OutgoingOrder> SendDirty();
  std::vector<OutgoingOrder> SendTo(const std::vector<Member*>& receivers);
  bool AuthorityExpired(state::Instant now) const;
  void Establish(state::Instant now);
  void DropLapsed(state::Instant now);
  void NoteLoss(state::Instant now, Member& member);
  void NoteAlive(state::Instant now, Member& member);
  bool Answering(const Member& member, state::Instant now) const;
  bool Eligible(const Member& member, state::Instant now) const;
  bool EligibilityChanged(state::Instant now);
  std::vector<const Member*> EligibleMembers(Keyspace keyspace,
                                             state::Instant now) const;
  void PlanIfDue(state::Instant now);
  void GrantPending();
  void RemoveUnlisted();
  void PublishRoutes();
  SliceSet& SlicesOf(const Member& member);

  const std::string service_;
  const state::InstanceId instance_;
  const OwnershipTiming& timing_;

  CoordinatorPhase phase_ = CoordinatorPhase::kFollowing;
  // The term under which this coordinator last campaigned.
  state::Term term_;
  // Invariant: not below any term that this coordinator has heard of.
  state::Term highest_term_;
  RoundTracker rounds_;
  std::uint64_t round_ = 0;
  std::uint64_t witness_revision_ = 0;
  WitnessGroups witnesses_;
  // When every lease of an earlier coordinator has ended. Set while
  // established.
  state::Instant earlier_leases_end_;
  Members members_;
  LoadModel load_;
  state::Instant rebalanced_;
  SliceSet keys_;
  SliceSet routing_;
  state::RouteTable routes_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SERVICE_COORDINATOR_H_
