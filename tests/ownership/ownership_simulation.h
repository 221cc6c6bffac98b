// A world of fakes around the ownership core: hosts, backend servers, clocks,
// a network and a configuration log, driven one step at a time.

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
#include "state/grant_book.h"

namespace mustardflow::tests {

enum class StepKind {
  kRun,
  kAdvance,
  kDeliver,
  kDrop,
  // One of the latest orders arrives once more, late.
  kReplay,
  kCampaign,
  kPauseHost,
  kFreezeServer,
  kRestartServer,
  kCutLink,
  // Splits hosts and members into two sides that do not reach each other.
  kPartition,
  kToggleInService,
  kReadConfiguration,
  kPublishServers,
  kShareRoutes,
  kBeginWork,
  kEndWork,
  kHeal,
  kCount,
};

// One step of a sequence. What `a` and `b` mean depends on the kind; every
// value is valid for every kind, so that sequences shrink freely.
struct Step {
  StepKind kind = StepKind::kRun;
  std::uint32_t a = 0;
  std::uint32_t b = 0;
};

std::ostream& operator<<(std::ostream& stream, const Step& step);

class OwnershipSimulation {
 public:
  static constexpr std::size_t kHosts = 3;
  // Backend servers come first among the members, entry hosts after them.
  static constexpr std::size_t kServers = 7;
  static constexpr std::size_t kRouters = 2;
  static constexpr std::size_t kMembers = kServers + kRouters;
  static constexpr std::size_t kInitialServers = 5;

  OwnershipSimulation();

  // Applies one step; returns the first broken promise, if any.
  std::optional<std::string> Apply(const Step& step);

  // Ends all faults and lets time pass; returns the first broken promise.
  // Every key must have an owner by the end.
  std::optional<std::string> Recover(state::Duration limit);

  // Writes each step and the coordinators' states to `trace`.
  void TraceTo(std::ostream* trace) { trace_ = trace; }

 private:
  struct Host {
    std::unique_ptr<coordination::ServiceCoordinator> coordinator;
    bool paused = false;
    int rate_permille = 0;
    state::Duration offset{0};
    std::size_t known_documents = 1;
    std::size_t known_established = 0;
    state::Duration leaderless_since{0};
  };

  struct Owner {
    std::unique_ptr<state::GrantBook> book;
    bool frozen = false;
    bool in_service = true;
    int rate_permille = 0;
    state::Duration offset{0};
    state::BootId boot = 0;
    // Keys of the work that runs.
    std::vector<state::KeyHash> work;
    // Keys of the work that runs under a lease that has lasted since it began.
    // Work that outlives its lease is the server's to fence.
    std::set<state::KeyHash> covered_work;
  };

  struct Message {
    std::size_t host;
    std::size_t owner;
    std::optional<state::Order> order;
    std::optional<state::OrderAck> ack;
  };

  state::Instant HostNow(const Host& host) const;
  state::ServerInstant OwnerNow(const Owner& owner) const;
  std::string OwnerName(std::size_t index) const;
  std::size_t OwnerIndex(const std::string& name) const;
  state::WallMilliseconds Wall() const;

  void Send(std::size_t host, std::vector<coordination::OutgoingOrder> orders);
  void Deliver(const Message& message);
  void DeliverAll();
  void TickHosts();
  void Elect();
  bool MayCampaign(const Host& host) const;
  void TraceHosts() const;
  void Advance(state::Duration duration);
  std::optional<std::string> Run(state::Duration duration);
  void RestartOwner(std::size_t index);
  void EndWork(Owner& owner);
  void Configure(std::size_t host);
  void PublishServers(std::uint32_t mask);
  void ShareRoutes();
  void Heal();
  std::optional<std::string> Check();
  std::optional<std::string> CheckKey(coordination::Keyspace keyspace,
                                      state::KeyHash key);
  bool AllOwned(coordination::Keyspace keyspace) const;

  state::Duration now_{std::chrono::seconds(100)};
  std::vector<Host> hosts_;
  std::vector<Owner> owners_;
  std::deque<Message> network_;
  // The latest orders, for kReplay.
  std::deque<Message> latest_orders_;
  std::set<std::pair<std::size_t, std::size_t>> cuts_;
  // The configuration log: the server sets of all documents, and how many of
  // them are known to have been established as witnesses.
  std::vector<std::set<std::string>> documents_;
  state::Duration published_{0};
  std::size_t established_ = 0;
  state::BootId next_boot_ = 1;
  std::vector<state::KeyHash> keys_;
  std::map<std::pair<coordination::Keyspace, state::KeyHash>, state::Fence>
      highest_fence_;
  std::ostream* trace_ = nullptr;
};

}  // namespace mustardflow::tests

#endif  // MUSTARDFLOW_TESTS_OWNERSHIP_OWNERSHIP_SIMULATION_H_
