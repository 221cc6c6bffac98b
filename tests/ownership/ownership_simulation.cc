// Runs the steps of the simulation and checks the invariants of key ownership.

#include "ownership_simulation.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <sstream>
#include <string_view>

namespace mustardflow::tests {

using coordination::CoordinatorPhase;
using coordination::Keyspace;
using coordination::MemberSpec;
using coordination::OutgoingOrder;
using coordination::OwnershipTiming;
using coordination::ServiceCoordinator;
using state::Duration;
using state::GrantRegistry;
using state::KeyHash;
using std::chrono::milliseconds;

namespace {

constexpr std::array<std::string_view,
                     static_cast<std::size_t>(StepKind::kCount)>
    kStepNames = {"Run",
                  "Advance",
                  "Deliver",
                  "Drop",
                  "Replay",
                  "Campaign",
                  "PauseHost",
                  "FreezeServer",
                  "RestartServer",
                  "CutLink",
                  "Partition",
                  "ToggleInService",
                  "ReadConfiguration",
                  "PublishServers",
                  "ShareRoutes",
                  "BeginWork",
                  "EndWork",
                  "Heal"};

// The time between two ticks of the hosts.
constexpr Duration kTickPeriod = milliseconds(20);
// A host campaigns after this time without an established coordinator.
constexpr Duration kElectionTimeout = milliseconds(300);
// A host that has not read the newest document may campaign only for this long
// after its publication; see MayCampaign().
constexpr Duration kMaxReadDelay = milliseconds(1000);
// The number of keys whose owners are checked.
constexpr std::size_t kProbeKeys = 8;
// The initial slices of each keyspace.
constexpr std::size_t kSlices = 16;
// The oldest messages above this number are lost.
constexpr std::size_t kMaxMessages = 200;
// The number of orders that a step can deliver again.
constexpr std::size_t kMaxLatestOrders = 60;
// The minimum number of servers that a document lists.
constexpr std::size_t kMinServers = 3;

// The default timing constants, with few slices.
const OwnershipTiming& Timing() {
  static const OwnershipTiming timing = [] {
    OwnershipTiming few_slices;
    few_slices.initial_slices = kSlices;
    few_slices.initial_routing_slices = kSlices;
    return few_slices;
  }();
  return timing;
}

}  // namespace

std::ostream& operator<<(std::ostream& stream, const Step& step) {
  return stream << kStepNames[static_cast<std::size_t>(step.kind)] << '('
                << step.a << ',' << step.b << ')';
}

OwnershipSimulation::OwnershipSimulation() {
  constexpr std::array<int, kMembers> kMemberClockRatesPermille = {
      0, 4, -4, 2, -2, 4, -4, 3, -3};
  constexpr std::array<int, kHosts> kHostClockRatesPermille = {0, -4, 4};
  std::set<std::string> listed;
  for (std::size_t i = 0; i < kMembers; ++i) {
    Member member;
    member.clock_rate_permille = kMemberClockRatesPermille[i];
    members_.push_back(std::move(member));
    RestartMember(i);
    if (i < kInitialServers) {
      listed.insert(MemberName(i));
    }
  }
  documents_.push_back(listed);
  now_ += std::chrono::seconds(10);
  for (std::size_t i = 0; i < kHosts; ++i) {
    Host host;
    host.clock_rate_permille = kHostClockRatesPermille[i];
    host.clock_offset = std::chrono::seconds(i * 7);
    host.coordinator =
        std::make_unique<ServiceCoordinator>("service", 1000 + i, Timing());
    hosts_.push_back(std::move(host));
    Configure(i);
  }
  for (std::size_t i = 0; i < kProbeKeys; ++i) {
    keys_.push_back(state::HashKey("key" + std::to_string(i)));
  }
  Run(std::chrono::seconds(3));
}

state::Instant OwnershipSimulation::HostNow(const Host& host) const {
  return state::Instant(now_ + now_ * host.clock_rate_permille / 1000 +
                        host.clock_offset);
}

state::ServerInstant OwnershipSimulation::ServerNow(
    const Member& member) const {
  return state::ServerInstant(now_ + now_ * member.clock_rate_permille / 1000 -
                              member.clock_offset);
}

std::string OwnershipSimulation::MemberName(std::size_t index) const {
  return (index < kServers ? "server" : "host") + std::to_string(index);
}

std::size_t OwnershipSimulation::MemberIndex(const std::string& name) const {
  return static_cast<std::size_t>(name.back() - '0');
}

state::WallMilliseconds OwnershipSimulation::WallNow() const {
  return static_cast<state::WallMilliseconds>(now_.count() / 1000);
}

std::optional<std::string> OwnershipSimulation::Apply(const Step& step) {
  if (trace_) {
    *trace_ << now_.count() / 1000 << " ms " << step << '\n';
  }
  Host& host = hosts_[step.a % kHosts];
  const std::size_t member_index = step.a % kMembers;
  Member& member = members_[member_index];
  switch (step.kind) {
    case StepKind::kRun:
      return Run(kTickPeriod * (1 + step.a % 100));
    case StepKind::kAdvance:
      Advance(milliseconds(1 + step.a % 400));
      TickHosts();
      break;
    case StepKind::kDeliver:
    case StepKind::kDrop:
      if (!network_.empty()) {
        const auto position =
            std::next(network_.begin(),
                      static_cast<std::ptrdiff_t>(step.a % network_.size()));
        const Message message = *position;
        network_.erase(position);
        if (step.kind == StepKind::kDeliver) {
          Deliver(message);
        }
      }
      break;
    case StepKind::kReplay:
      if (!latest_orders_.empty()) {
        Deliver(latest_orders_[step.a % latest_orders_.size()]);
      }
      break;
    case StepKind::kCampaign:
      if (MayCampaign(host)) {
        Send(step.a % kHosts,
             host.coordinator->Campaign(HostNow(host), WallNow()));
      }
      break;
    case StepKind::kPauseHost:
      host.paused = !host.paused;
      break;
    case StepKind::kFreezeServer:
      member.frozen = !member.frozen;
      break;
    case StepKind::kRestartServer:
      RestartMember(member_index);
      break;
    case StepKind::kCutLink: {
      const std::pair link(step.b % kHosts, member_index);
      if (!cut_links_.erase(link)) {
        cut_links_.insert(link);
      }
      break;
    }
    case StepKind::kPartition:
      cut_links_.clear();
      for (std::size_t i = 0; i < kHosts; ++i) {
        for (std::size_t j = 0; j < kMembers; ++j) {
          if (((step.a >> i) & 1) != ((step.b >> j) & 1)) {
            cut_links_.insert({i, j});
          }
        }
      }
      break;
    case StepKind::kToggleInService:
      member.in_service = !member.in_service;
      break;
    case StepKind::kReadConfiguration:
      Configure(step.a % kHosts);
      break;
    case StepKind::kPublishServers:
      PublishServers(step.a);
      break;
    case StepKind::kShareRoutes:
      ShareRoutes();
      break;
    case StepKind::kBeginWork: {
      const KeyHash key = keys_[step.b % kProbeKeys];
      if (!member.frozen &&
          member.registry->AcceptingFence(key, ServerNow(member))) {
        member.registry->BeginWork(key);
        member.work.push_back(key);
        member.covered_work.insert(key);
      }
      break;
    }
    case StepKind::kEndWork:
      if (!member.work.empty()) {
        EndWork(member);
      }
      break;
    case StepKind::kHeal:
      Heal();
      break;
    case StepKind::kCount:
      break;
  }
  return Check();
}

std::optional<std::string> OwnershipSimulation::Recover(Duration limit) {
  Heal();
  for (Member& member : members_) {
    member.in_service = true;
    while (!member.work.empty()) {
      EndWork(member);
    }
  }
  for (std::size_t i = 0; i < kHosts; ++i) {
    Configure(i);
  }
  if (trace_) {
    *trace_ << now_.count() / 1000 << " ms Recover\n";
  }
  if (auto violation = Run(limit)) {
    return violation;
  }
  if (!AllOwned(Keyspace::kKeys) || !AllOwned(Keyspace::kRouting)) {
    return "a key has no owner after recovery";
  }
  return std::nullopt;
}

void OwnershipSimulation::Send(std::size_t host,
                               std::vector<OutgoingOrder> orders) {
  for (OutgoingOrder& outgoing : orders) {
    network_.push_back({host, MemberIndex(outgoing.member),
                        std::move(outgoing.order), std::nullopt});
    latest_orders_.push_back(network_.back());
  }
  while (network_.size() > kMaxMessages) {
    network_.pop_front();
  }
  while (latest_orders_.size() > kMaxLatestOrders) {
    latest_orders_.pop_front();
  }
}

void OwnershipSimulation::Deliver(const Message& message) {
  Host& host = hosts_[message.host];
  Member& member = members_[message.member];
  if (cut_links_.contains({message.host, message.member})) {
    return;
  }
  if (message.order) {
    if (member.frozen) {
      network_.push_back(message);
      return;
    }
    network_.push_back(
        {message.host, message.member, std::nullopt,
         member.registry->Apply(*message.order, ServerNow(member))});
    return;
  }
  if (host.paused) {
    network_.push_back(message);
    return;
  }
  Send(message.host,
       host.coordinator->HandleAck(HostNow(host), MemberName(message.member),
                                   *message.ack));
}

void OwnershipSimulation::DeliverAll() {
  // Each pass delivers the messages that the pass before has caused: orders,
  // their acknowledgements, and the orders that follow from these.
  for (int pass = 0; pass < 6; ++pass) {
    std::deque<Message> messages;
    messages.swap(network_);
    for (const Message& message : messages) {
      Deliver(message);
    }
  }
}

void OwnershipSimulation::TickHosts() {
  for (std::size_t i = 0; i < kHosts; ++i) {
    Host& host = hosts_[i];
    if (host.paused) {
      continue;
    }
    Send(i, host.coordinator->Tick(HostNow(host)));
    const bool current =
        host.coordinator->phase() == CoordinatorPhase::kEstablished &&
        host.known_documents == documents_.size();
    if (current) {
      established_ = documents_.size() - 1;
    }
  }
}

// Returns whether the host runs and its configuration is recent enough. A real
// host reads the log in less time than a restarted witness needs to count
// again; otherwise it knows that another host has read further, and does not
// campaign.
bool OwnershipSimulation::MayCampaign(const Host& host) const {
  const bool current = host.known_documents == documents_.size() ||
                       now_ - last_publication_ < kMaxReadDelay;
  return !host.paused && current;
}

// Lets the running host with the lowest number campaign, if no running host is
// established and the election timeout has passed.
void OwnershipSimulation::Elect() {
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (!hosts_[i].paused &&
        hosts_[i].coordinator->phase() == CoordinatorPhase::kEstablished) {
      for (Host& host : hosts_) {
        host.leaderless_since = now_;
      }
      return;
    }
  }
  for (std::size_t i = 0; i < kHosts; ++i) {
    Host& host = hosts_[i];
    if (host.paused) {
      continue;
    }
    if (now_ - host.leaderless_since > kElectionTimeout && MayCampaign(host)) {
      host.leaderless_since = now_;
      Send(i, host.coordinator->Campaign(HostNow(host), WallNow()));
    }
    return;
  }
}

void OwnershipSimulation::TraceHosts() const {
  if (!trace_) {
    return;
  }
  *trace_ << now_.count() / 1000 << " ms";
  for (const Host& host : hosts_) {
    const ServiceCoordinator& coordinator = *host.coordinator;
    *trace_ << "  " << CoordinatorPhaseName(coordinator.phase()) << ' '
            << coordinator.term().number << " owned "
            << coordinator.OwnedShare(Keyspace::kKeys);
  }
  *trace_ << '\n';
}

void OwnershipSimulation::Advance(Duration duration) {
  now_ += duration;
}

std::optional<std::string> OwnershipSimulation::Run(Duration duration) {
  const Duration end = now_ + duration;
  while (now_ < end) {
    Advance(kTickPeriod);
    TickHosts();
    TraceHosts();
    DeliverAll();
    Elect();
    ShareRoutes();
    if (auto violation = Check()) {
      return violation;
    }
  }
  return std::nullopt;
}

void OwnershipSimulation::RestartMember(std::size_t index) {
  Member& member = members_[index];
  member.clock_offset = Duration(0);
  member.clock_offset = ServerNow(member).time_since_epoch();
  member.boot = next_boot_++;
  member.registry =
      std::make_unique<GrantRegistry>(member.boot, ServerNow(member));
  member.frozen = false;
  member.work.clear();
  member.covered_work.clear();
}

void OwnershipSimulation::EndWork(Member& member) {
  const KeyHash key = member.work.back();
  member.work.pop_back();
  member.registry->EndWork(key);
  if (std::count(member.work.begin(), member.work.end(), key) == 0) {
    member.covered_work.erase(key);
  }
}

void OwnershipSimulation::Configure(std::size_t index) {
  Host& host = hosts_[index];
  host.known_documents = documents_.size();
  host.known_established = established_;
  std::vector<MemberSpec> specs;
  for (const std::string& name : documents_.back()) {
    specs.push_back(
        {name, Keyspace::kKeys, 1, members_[MemberIndex(name)].in_service});
  }
  for (std::size_t i = kServers; i < kMembers; ++i) {
    specs.push_back(
        {MemberName(i), Keyspace::kRouting, 1, members_[i].in_service});
  }
  const std::size_t newest = documents_.size() - 1;
  coordination::WitnessGroups groups = {documents_[newest]};
  if (established_ != newest) {
    groups.push_back(documents_[established_]);
  }
  host.coordinator->Configure(specs, newest, groups);
}

void OwnershipSimulation::PublishServers(std::uint32_t mask) {
  std::set<std::string> listed;
  for (std::size_t i = 0; i < kServers; ++i) {
    if (mask & (1U << i)) {
      listed.insert(MemberName(i));
    }
  }
  if (listed.size() >= kMinServers) {
    documents_.push_back(listed);
    last_publication_ = now_;
  }
}

void OwnershipSimulation::ShareRoutes() {
  for (const Host& from : hosts_) {
    for (const Host& to : hosts_) {
      if (&from != &to && !from.paused && !to.paused) {
        to.coordinator->LearnRoutes(from.coordinator->routes());
      }
    }
  }
}

void OwnershipSimulation::Heal() {
  cut_links_.clear();
  for (Host& host : hosts_) {
    host.paused = false;
  }
  for (Member& member : members_) {
    member.frozen = false;
  }
}

std::optional<std::string> OwnershipSimulation::Check() {
  for (Member& member : members_) {
    if (!member.registry->IsLeaseValid(ServerNow(member))) {
      member.covered_work.clear();
    }
  }
  for (const Keyspace keyspace : {Keyspace::kKeys, Keyspace::kRouting}) {
    for (const KeyHash key : keys_) {
      if (auto violation = CheckKey(keyspace, key)) {
        return violation;
      }
    }
  }
  return std::nullopt;
}

std::optional<std::string> OwnershipSimulation::CheckKey(Keyspace keyspace,
                                                         KeyHash key) {
  const bool is_keys = keyspace == Keyspace::kKeys;
  const std::size_t first = is_keys ? 0 : kServers;
  const std::size_t end = is_keys ? kServers : kMembers;
  std::optional<std::size_t> previous;
  for (std::size_t i = first; i < end; ++i) {
    const Member& member = members_[i];
    const auto fence = member.registry->AcceptingFence(key, ServerNow(member));
    const bool working = member.covered_work.contains(key);
    if (!fence && !working) {
      continue;
    }
    std::ostringstream text;
    if (previous) {
      text << MemberName(*previous) << " and " << MemberName(i)
           << " own key hash " << key << " at " << now_.count() / 1000 << " ms";
      return text.str();
    }
    previous = i;
    if (!fence) {
      continue;
    }
    state::Fence& highest = highest_fence_[{keyspace, key}];
    if (*fence < highest) {
      text << "the fence of key hash " << key << " decreased at "
           << now_.count() / 1000 << " ms";
      return text.str();
    }
    highest = *fence;
  }
  return std::nullopt;
}

bool OwnershipSimulation::AllOwned(Keyspace keyspace) const {
  const bool is_keys = keyspace == Keyspace::kKeys;
  const auto middle = std::next(members_.begin(), kServers);
  const auto first = is_keys ? members_.begin() : middle;
  const auto end = is_keys ? middle : members_.end();
  return std::all_of(keys_.begin(), keys_.end(), [&](KeyHash key) {
    return std::any_of(first, end, [&](const Member& member) {
      return member.registry->AcceptingFence(key, ServerNow(member))
          .has_value();
    });
  });
}

}  // namespace mustardflow::tests
