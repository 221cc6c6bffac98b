// Campaigns, rounds, membership and the published routes of one service.

#include "coordination/service_coordinator.h"

#include <algorithm>
#include <array>
#include <utility>

namespace mustardflow::coordination {

using state::Instant;
using state::Order;
using state::OrderAck;

namespace {

// The time between two plans that move slices only to balance the load.
constexpr state::Duration kRebalancePeriod = std::chrono::seconds(4);

constexpr std::array<std::string_view, 3> kPhaseNames = {
    "following", "campaigning", "established"};

}  // namespace

std::string_view CoordinatorPhaseName(CoordinatorPhase phase) {
  return kPhaseNames[static_cast<std::size_t>(phase)];
}

ServiceCoordinator::ServiceCoordinator(std::string service,
                                       state::InstanceId instance,
                                       const OwnershipTiming& timing)
    : service_(std::move(service)),
      instance_(instance),
      timing_(timing),
      rounds_(timing),
      keys_(Keyspace::kKeys, timing),
      routing_(Keyspace::kRouting, timing) {
  routes_.service = service_;
}

void ServiceCoordinator::Configure(const std::vector<MemberSpec>& members,
                                   std::uint64_t witness_revision,
                                   const WitnessGroups& witnesses) {
  for (auto& [name, member] : members_) {
    member.listed = false;
    member.spec.in_service = false;
  }
  for (const MemberSpec& spec : members) {
    const auto position =
        members_.try_emplace(spec.name, spec, timing_, true).first;
    position->second.spec = spec;
    position->second.listed = true;
  }
  for (const auto& group : witnesses) {
    for (const std::string& name : group) {
      const MemberSpec witness{name, Keyspace::kKeys, 0, false};
      members_.try_emplace(name, witness, timing_, false);
    }
  }
  if (witnesses != witnesses_) {
    witnesses_ = witnesses;
    rounds_.SetGroups(witnesses);
  }
  if (witness_revision != witness_revision_) {
    witness_revision_ = witness_revision;
    StepDown();
  }
  keys_.set_plan_due();
  routing_.set_plan_due();
}

void ServiceCoordinator::LearnRoutes(const state::RouteTable& routes) {
  RecordTerm(routes.term);
  if (phase_ == CoordinatorPhase::kFollowing && routes.NewerThan(routes_)) {
    routes_ = routes;
  }
}

void ServiceCoordinator::RecordTerm(state::Term term) {
  highest_term_ = std::max(highest_term_, term);
}

std::vector<OutgoingOrder> ServiceCoordinator::Campaign(
    Instant now,
    state::WallMilliseconds wall) {
  const std::uint64_t number = std::max(highest_term_.number + 1, wall);
  term_ = {witness_revision_, number, instance_};
  RecordTerm(term_);
  phase_ = CoordinatorPhase::kCampaigning;
  rounds_.Reset();
  keys_.Clear();
  routing_.Clear();
  for (auto& [name, member] : members_) {
    member = Member(member.spec, timing_, member.listed);
  }
  return StartRound(now);
}

void ServiceCoordinator::StepDown() {
  phase_ = CoordinatorPhase::kFollowing;
}

std::vector<OutgoingOrder> ServiceCoordinator::Tick(Instant now) {
  if (phase_ == CoordinatorPhase::kFollowing) {
    return {};
  }
  if (AuthorityExpired(now)) {
    StepDown();
    return {};
  }
  if (phase_ == CoordinatorPhase::kEstablished) {
    DropExpiredMembers(now);
    RemoveUnlisted();
    PlanIfDue(now);
    GrantPending();
    PublishRoutes();
  }
  if (rounds_.RoundDue(now)) {
    return StartRound(now);
  }
  return SendDirty();
}

std::vector<OutgoingOrder> ServiceCoordinator::HandleAck(
    Instant now,
    const std::string& name,
    const OrderAck& ack) {
  RecordTerm(ack.highest_term);
  if (phase_ == CoordinatorPhase::kFollowing) {
    return {};
  }
  if (ack.highest_term > term_ || AuthorityExpired(now)) {
    StepDown();
    return {};
  }
  const auto found = members_.find(name);
  if (found == members_.end() || ack.term != term_ || !ack.accepted) {
    return {};
  }
  Member& member = found->second;
  if (member.ledger.has_answered() &&
      member.ledger.last_ack().boot != ack.boot) {
    RecordLeaseLoss(now, member);
  }
  if (!member.ledger.RecordAck(now, ack)) {
    return {};
  }
  // An incarnation that started recently may not know a term that an earlier
  // incarnation accepted.
  const bool counts_as_witness = ack.uptime >= timing_.witness_min_uptime();
  const auto confirmed = rounds_.RecordAnswer(
      now, ack.round, {name, ack.boot, ack.clock, now}, counts_as_witness);
  for (const RoundAnswer& answer : confirmed) {
    const auto position = members_.find(answer.server);
    if (position != members_.end()) {
      position->second.ledger.Renew(answer.boot, answer.clock, answer.received);
    }
  }
  if (phase_ == CoordinatorPhase::kCampaigning && !confirmed.empty()) {
    Establish(now);
  }
  if (phase_ != CoordinatorPhase::kEstablished) {
    return {};
  }
  RecordAnswering(now, member);
  SlicesOf(member).AdoptHeld(member);
  SlicesOf(member).ApplyAck(member);
  GrantPending();
  PublishRoutes();
  return SendDirty();
}

void ServiceCoordinator::RecordLoad(Instant now, const LoadReport& report) {
  load_.Add(now, report);
}

double ServiceCoordinator::OwnedShare(Keyspace keyspace) const {
  return keyspace == Keyspace::kKeys ? keys_.OwnedShare()
                                     : routing_.OwnedShare();
}

bool ServiceCoordinator::IsAnswering(const std::string& name,
                                     Instant now) const {
  const auto found = members_.find(name);
  return found != members_.end() && Answering(found->second, now);
}

state::BootId ServiceCoordinator::LastBoot(const std::string& name) const {
  const auto found = members_.find(name);
  if (found == members_.end() || !found->second.ledger.has_answered()) {
    return 0;
  }
  return found->second.ledger.last_ack().boot;
}

// Returns whether the coordinator is established and its latest successful
// round started longer ago than the authority timeout. By then a coordinator
// with a higher term may have been established by the answer of a witness that
// has restarted since. The restarted witness may have forgotten the higher term
// and would then accept orders of this coordinator's lower term.
bool ServiceCoordinator::AuthorityExpired(Instant now) const {
  return phase_ == CoordinatorPhase::kEstablished &&
         now - *rounds_.last_success() > timing_.authority_timeout();
}

std::vector<OutgoingOrder> ServiceCoordinator::StartRound(Instant now) {
  round_ = rounds_.Start(now);
  std::vector<Member*> receivers;
  for (auto& [name, member] : members_) {
    receivers.push_back(&member);
  }
  return SendTo(receivers);
}

std::vector<OutgoingOrder> ServiceCoordinator::SendDirty() {
  std::vector<Member*> receivers;
  for (auto& [name, member] : members_) {
    if (member.dirty) {
      receivers.push_back(&member);
    }
  }
  if (receivers.empty()) {
    return {};
  }
  return SendTo(receivers);
}

std::vector<OutgoingOrder> ServiceCoordinator::SendTo(
    const std::vector<Member*>& receivers) {
  GrantsByMember grants;
  keys_.CollectGrants(&grants);
  routing_.CollectGrants(&grants);
  std::vector<OutgoingOrder> outgoing;
  for (Member* member : receivers) {
    Order order;
    order.service = service_;
    order.term = term_;
    order.sequence = member->ledger.next_sequence();
    order.round = round_;
    if (phase_ == CoordinatorPhase::kEstablished && member->ledger.renewed()) {
      order.assignment = state::Assignment{member->ledger.last_ack().boot,
                                           member->ledger.lease_until(),
                                           std::move(grants[member])};
    }
    member->dirty = false;
    member->ledger.RecordSent(order);
    outgoing.push_back({member->spec.name, std::move(order)});
  }
  return outgoing;
}

void ServiceCoordinator::Establish(Instant now) {
  phase_ = CoordinatorPhase::kEstablished;
  earlier_leases_end_ = now + timing_.takeover_wait();
  keys_.Build(routes_.keys, members_);
  routing_.Build(routes_.routing, members_);
  for (auto& [name, member] : members_) {
    member.ledger.BoundEarlierLeases(earlier_leases_end_);
    if (member.ledger.has_answered()) {
      member.dirty = true;
      RecordAnswering(now, member);
      SlicesOf(member).AdoptHeld(member);
    }
  }
}

void ServiceCoordinator::DropExpiredMembers(Instant now) {
  for (auto& [name, member] : members_) {
    if (member.answering_since && member.ledger.LeasesExpired(now)) {
      RecordLeaseLoss(now, member);
      SlicesOf(member).DropMember(member);
    }
  }
}

// Records that a member restarted or lost its lease. The member may own slices
// again after its rejoin delay. The delay doubles with each loss, but starts
// from its minimum again if the member had kept its lease for
// rejoin_delay_reset_time.
void ServiceCoordinator::RecordLeaseLoss(Instant now, Member& member) {
  if (!member.answering_since) {
    return;
  }
  if (now - *member.answering_since >= timing_.rejoin_delay_reset_time) {
    member.rejoin_delay = {};
  }
  member.answering_since.reset();
  member.rejoin_delay = std::clamp(
      2 * member.rejoin_delay, timing_.rejoin_delay, timing_.max_rejoin_delay);
}

void ServiceCoordinator::RecordAnswering(Instant now, Member& member) {
  if (!member.answering_since && member.ledger.renewed() &&
      !member.ledger.LeasesExpired(now)) {
    member.answering_since = now;
  }
}

bool ServiceCoordinator::Answering(const Member& member, Instant now) const {
  return member.answering_since.has_value() && member.ledger.renewed() &&
         !member.ledger.LeasesExpired(now);
}

bool ServiceCoordinator::Eligible(const Member& member, Instant now) const {
  return member.listed && member.spec.in_service && Answering(member, now) &&
         now - *member.answering_since >= member.rejoin_delay;
}

bool ServiceCoordinator::EligibilityChanged(Instant now) {
  bool changed = false;
  for (auto& [name, member] : members_) {
    const bool eligible = Eligible(member, now);
    changed = changed || eligible != member.was_eligible;
    member.was_eligible = eligible;
  }
  return changed;
}

std::vector<const Member*> ServiceCoordinator::EligibleMembers(
    Keyspace keyspace,
    Instant now) const {
  std::vector<const Member*> eligible;
  std::vector<const Member*> answering;
  for (const auto& [name, member] : members_) {
    if (member.spec.keyspace != keyspace) {
      continue;
    }
    if (Eligible(member, now)) {
      eligible.push_back(&member);
    }
    if (member.listed && member.spec.in_service && Answering(member, now)) {
      answering.push_back(&member);
    }
  }
  // If every answering member is still within its rejoin delay, the answering
  // members may own slices: an unstable owner is better than none.
  return eligible.empty() ? answering : eligible;
}

void ServiceCoordinator::PlanIfDue(Instant now) {
  const bool changed = EligibilityChanged(now);
  const bool rebalance = now - last_rebalance_ >= kRebalancePeriod;
  if (rebalance) {
    last_rebalance_ = now;
  }
  if (changed || rebalance || keys_.plan_due()) {
    keys_.Plan(members_, EligibleMembers(Keyspace::kKeys, now), load_);
  }
  if (changed || routing_.plan_due()) {
    routing_.Plan(members_, EligibleMembers(Keyspace::kRouting, now),
                  LoadModel());
  }
}

void ServiceCoordinator::GrantPending() {
  const GrantEvidence evidence{term_, rounds_.last_success(),
                               earlier_leases_end_};
  keys_.GrantPending(members_, evidence);
  routing_.GrantPending(members_, evidence);
}

void ServiceCoordinator::RemoveUnlisted() {
  for (auto position = members_.begin(); position != members_.end();) {
    Member& member = position->second;
    const bool witness = std::any_of(
        witnesses_.begin(), witnesses_.end(),
        [&](const auto& group) { return group.contains(position->first); });
    const bool free =
        member.ledger.CertainlyFree(rounds_.last_success(), state::KeyRange());
    if (member.listed || witness || !free ||
        SlicesOf(member).RefersTo(member)) {
      ++position;
    } else {
      position = members_.erase(position);
    }
  }
}

void ServiceCoordinator::PublishRoutes() {
  const bool keys_changed = keys_.TakeTableChanged();
  const bool routing_changed = routing_.TakeTableChanged();
  if (!keys_changed && !routing_changed) {
    return;
  }
  const bool same_term = routes_.term == term_;
  state::RouteTable table;
  table.service = service_;
  table.term = term_;
  table.version = same_term ? routes_.version + 1 : 1;
  table.keys = keys_.MakeTable();
  table.routing = routing_.MakeTable();
  routes_ = std::move(table);
}

SliceSet& ServiceCoordinator::SlicesOf(const Member& member) {
  return member.spec.keyspace == Keyspace::kKeys ? keys_ : routing_;
}

}  // namespace mustardflow::coordination
