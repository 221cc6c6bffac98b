// A simulation of hosts, backend servers, clocks, the network and the
// configuration log around the ServiceCoordinator and GrantRegistry classes.
// Tests drive it one step at a time.

#ifndef MUSTARDFLOW_TESTS_OWNERSHIP_OWNERSHIP_SIMULATION_H_
#define MUSTARDFLOW_TESTS_OWNERSHIP_OWNERSHIP_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/service_coordinator.h"
#include "state/grant_registry.h"

namespace mustardflow::tests {

// What a step does. `a` and `b` are the numbers of the step; where they select
// a host, member, message or key, they count modulo the number of these.
enum class StepKind {
  // Runs everything for 1 + a % 100 tick periods.
  kRun,
  // Advances the clocks by 1 + a % 400 ms at once, then ticks the hosts.
  kAdvance,
  // Delivers message `a` of the network, out of order.
  kDeliver,
  // Loses message `a` of the network.
  kDrop,
  // Delivers order `a` of the latest orders once more, possibly late.
  kReplay,
  // Host `a` campaigns, if it may.
  kCampaign,
  // Pauses host `a`, or lets it continue.
  kPauseHost,
  // Freezes member `a`, or lets it continue.
  kFreezeServer,
  // Restarts member `a`: it forgets its grants and terms.
  kRestartServer,
  // Cuts the link between host `b` and member `a`, or restores it.
  kCutLink,
  // Replaces all cuts: the bits of `a` and `b` put each host and each member on
  // one of two sides that cannot reach each other.
  kPartition,
  // Takes member `a` out of service, or back.
  kToggleInService,
  // Host `a` reads the newest configuration.
  kReadConfiguration,
  // Publishes a document that lists the servers whose bits are set in `a`,
  // unless these are too few.
  kPublishServers,
  // Running hosts exchange their route tables.
  kShareRoutes,
  // Member `a` begins work on key `b`, if it accepts the key.
  kBeginWork,
  // Member `a` ends its latest work.
  kEndWork,
  // Ends all pauses, freezes and cuts.
  kHeal,
  // The number of kinds.
  kCount,
};

// One step of a sequence. StepKind says what `a` and `b` mean. Every value is
// valid for every kind, so that any shrunk sequence can run.
struct Step {
  StepKind kind = StepKind::kRun;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
};

std::ostream& operator<<(std::ostream& stream, const Step& step);

// Runs coordinators and members, and checks the invariants of key ownership
// after each step: a key has at most one owner, and the fence of a key never
// decreases.
class OwnershipSimulation {
 public:
  static constexpr std::size_t kHosts = 3;
  // Members are numbered: backend servers first, then the entry hosts that own
  // routing duties.
  static constexpr std::size_t kServers = 7;
  static constexpr std::size_t kEntryHosts = 2;
  static constexpr std::size_t kMembers = kServers + kEntryHosts;
  // The number of servers that the first document lists.
  static constexpr std::size_t kInitialServers = 5;

  OwnershipSimulation();

  // Applies one step. Returns a description of the first invariant that does
  // not hold, if any.
  std::optional<std::string> Apply(const Step& step);

  // Ends all faults and all work and runs for `limit`. Returns a description of
  // the first invariant that does not hold. Every key must have an owner by the
  // end.
  std::optional<std::string> Recover(state::Duration limit);

  // Writes each step and the states of the coordinators to `trace`.
  void TraceTo(std::ostream* trace) { trace_ = trace; }

 private:
  // A host with its coordinator of the service.
  struct Host {
    std::unique_ptr<coordination::ServiceCoordinator> coordinator;
    bool paused = false;
    // How much faster the host's clock runs than now_, in thousandths.
    int clock_rate_permille = 0;
    // Added to the reading of the host's clock.
    state::Duration clock_offset{0};
    // How many documents of the log the host has read.
    std::size_t known_documents = 1;
    // The value of established_ when the host last read the log.
    std::size_t known_established = 0;
    // When a coordinator was last established or the host last campaigned.
    state::Duration leaderless_since{0};
  };

  // A member: a backend server, or an entry host that owns routing duties.
  struct Member {
    std::unique_ptr<state::GrantRegistry> registry;
    bool frozen = false;
    bool in_service = true;
    // How much faster the member's clock runs than now_, in thousandths.
    int clock_rate_permille = 0;
    // Subtracted from the reading of the member's clock, so that the clock
    // starts at 0 with each incarnation.
    state::Duration clock_offset{0};
    state::BootId boot = 0;
    // The key of each piece of work that runs.
    std::vector<state::KeyHash> work;
    // The keys of running work whose lease has not expired since the work
    // began. Only this work must exclude another owner; after a lease has
    // expired, the server itself must fence the work that still runs.
    std::set<state::KeyHash> covered_work;
  };

  // An order from a host to a member, or the acknowledgement on its way back.
  struct Message {
    std::size_t host;
    std::size_t member;
    std::optional<state::Order> order;
    std::optional<state::OrderAck> ack;
  };

  state::Instant HostNow(const Host& host) const;
  state::ServerInstant ServerNow(const Member& member) const;
  std::string MemberName(std::size_t index) const;
  std::size_t MemberIndex(const std::string& name) const;
  state::WallMilliseconds WallNow() const;

  void Send(std::size_t host, std::vector<coordination::OutgoingOrder> orders);
  void Deliver(const Message& message);
  void DeliverAll();
  void TickHosts();
  void Elect();
  bool MayCampaign(const Host& host) const;
  void TraceHosts() const;
  void Advance(state::Duration duration);
  std::optional<std::string> Run(state::Duration duration);
  void RestartMember(std::size_t index);
  void EndWork(Member& member);
  void Configure(std::size_t host);
  void PublishServers(std::uint32_t mask);
  void ShareRoutes();
  void Heal();
  std::optional<std::string> Check();
  std::optional<std::string> CheckKey(coordination::Keyspace keyspace,
                                      state::KeyHash key);
  bool AllOwned(coordination::Keyspace keyspace) const;

  // The reference time of the simulation, from which each clock is derived.
  state::Duration now_{std::chrono::seconds(100)};
  std::vector<Host> hosts_;
  std::vector<Member> members_;
  std::deque<Message> network_;
  // The latest orders, delivered or not; kReplay chooses one of them.
  std::deque<Message> latest_orders_;
  // Pairs of a host and a member that do not reach each other.
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;
  // The configuration log: the servers that each document lists.
  std::vector<std::set<std::string>> documents_;
  // When the newest document was published.
  state::Duration last_publication_{0};
  // The index of the newest document under which a coordinator has been
  // established. Its servers remain witnesses until a newer one takes its
  // place.
  std::size_t established_ = 0;
  state::BootId next_boot_ = 1;
  // The keys whose owners are checked.
  std::vector<state::KeyHash> keys_;
  // The highest fence under which a member has accepted work for each key.
  std::map<std::pair<coordination::Keyspace, state::KeyHash>, state::Fence>
      highest_fence_;
  std::ostream* trace_ = nullptr;
};

}  // namespace mustardflow::tests

#endif  // MUSTARDFLOW_TESTS_OWNERSHIP_OWNERSHIP_SIMULATION_H_
