// The coordinator of one service, which grants key ranges to the members.

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

// An order and the name of the member to send it to.
struct OutgoingOrder {
  std::string member;
  state::Order order;
};

// The role of this host in the coordination of one service.
enum class CoordinatorPhase {
  // Sends no orders; another host may coordinate the service.
  kFollowing,
  // Has sent orders under a new term and waits until a majority of the
  // witnesses accepts it.
  kCampaigning,
  // A majority has accepted the term; the coordinator issues grants.
  kEstablished,
};

std::string_view CoordinatorPhaseName(CoordinatorPhase phase);

// Grants the slices of both keyspaces of one service to its members. A member
// is a backend server or an entry host.
//
// Every host has a ServiceCoordinator for each service, and one of them at a
// time is meant to be established. Each campaign uses a new term. Backend
// servers are the witnesses: each one remembers the highest term that it has
// accepted and refuses orders of lower terms. The coordinator sends orders in
// rounds and renews leases only after a round that a majority of the witnesses
// answered. docs/design/ownership.md proves that each key has at most one
// owner.
//
// The class does no I/O and reads no clock. Events and the current time are
// arguments of its methods; the methods return the orders to send.
class ServiceCoordinator {
 public:
  ServiceCoordinator(std::string service,
                     state::InstanceId instance,
                     const OwnershipTiming& timing);

  // Replaces the members and the witnesses. A member that is no longer listed
  // hands its slices off before it is removed. If `witness_revision` changes,
  // the coordinator steps down and its term ends.
  void Configure(const std::vector<MemberSpec>& members,
                 std::uint64_t witness_revision,
                 const WitnessGroups& witnesses);

  // Records the term of tables that another host published. While this
  // coordinator is following, it also keeps the tables if they are newer than
  // the known ones. They only suggest which member a slice should go to; they
  // never prove that a member holds a slice.
  void LearnRoutes(const state::RouteTable& routes);

  // Records that some coordinator has used `term`.
  void RecordTerm(state::Term term);

  // Starts a campaign under a new term that is higher than every known term.
  // The term number is at least `wall`, so that hosts that cannot reach each
  // other rarely choose the same number. Safety does not depend on that.
  std::vector<OutgoingOrder> Campaign(state::Instant now,
                                      state::WallMilliseconds wall);

  // Stops coordinating, for instance because the host stops.
  void StepDown();

  // Does the periodic work: detects expired leases, moves slices and starts
  // rounds. Steps down if the authority of the coordinator has expired.
  std::vector<OutgoingOrder> Tick(state::Instant now);

  // Handles the acknowledgement `ack` from the member `name`.
  std::vector<OutgoingOrder> HandleAck(state::Instant now,
                                       const std::string& name,
                                       const state::OrderAck& ack);

  // Records the key load that one host has measured.
  void RecordLoad(state::Instant now, const LoadReport& report);

  CoordinatorPhase phase() const { return phase_; }
  state::Term term() const { return term_; }
  state::Term highest_term() const { return highest_term_; }
  // The newest known tables. While the coordinator is established, these are
  // the tables that it has made itself.
  const state::RouteTable& routes() const { return routes_; }
  // The share of the keyspace that is owned, from 0 to 1. A slice counts while
  // its owner has acknowledged the grant and is not asked to release it.
  double OwnedShare(Keyspace keyspace) const;
  // Whether `name` is a member, so that orders to it are still wanted.
  bool IsMember(const std::string& name) const {
    return members_.contains(name);
  }
  // Whether the member has answered in this term and its lease has not expired.
  bool IsAnswering(const std::string& name, state::Instant now) const;
  // The boot ID of the member's incarnation that answered last in this term; 0
  // if none has answered.
  state::BootId LastBoot(const std::string& name) const;

 private:
  std::vector<OutgoingOrder> StartRound(state::Instant now);
  std::vector<OutgoingOrder> SendDirty();
  std::vector<OutgoingOrder> SendTo(const std::vector<Member*>& receivers);
  bool AuthorityExpired(state::Instant now) const;
  void Establish(state::Instant now);
  void DropExpiredMembers(state::Instant now);
  void RecordLeaseLoss(state::Instant now, Member& member);
  void RecordAnswering(state::Instant now, Member& member);
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
  // The term of this coordinator's latest campaign.
  state::Term term_;
  // Invariant: not lower than any term that this coordinator has recorded.
  state::Term highest_term_;
  RoundTracker rounds_;
  // The number of the latest round; each order carries it.
  std::uint64_t round_ = 0;
  std::uint64_t witness_revision_ = 0;
  WitnessGroups witnesses_;
  // By this time every lease of an earlier coordinator has ended. Set while
  // established.
  state::Instant earlier_leases_end_;
  Members members_;
  LoadModel load_;
  // When slices were last planned because kRebalancePeriod was over.
  state::Instant last_rebalance_;
  SliceSet keys_;
  SliceSet routing_;
  state::RouteTable routes_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SERVICE_COORDINATOR_H_
