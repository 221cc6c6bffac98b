// The simulation's events and its oracle.

#include "tests/keys/keyspace_simulation.h"

#include <algorithm>
#include <utility>

namespace mustardflow::tests {

using coordination::KeyOrder;
using coordination::KeyspaceCoordinator;
using coordination::OrderKind;
using coordination::OrderOutcome;
using state::Duration;
using state::Instant;

namespace {

constexpr Duration kStep = std::chrono::milliseconds(10);
// The factor by which a lease is prolonged by the slowest server clock that the
// platform's documentation allows.
constexpr double kSlowestClock = 1.02;
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(200);
constexpr Duration kReportInterval = std::chrono::milliseconds(400);
constexpr Duration kReleaseTimeout = std::chrono::milliseconds(2600);
constexpr Duration kRenewInterval = std::chrono::seconds(1);
// Until a leader reads the list again, it does not know of a new incarnation.
constexpr Duration kListInterval = std::chrono::milliseconds(350);

}  // namespace

KeyspaceSimulation::KeyspaceSimulation(std::uint64_t seed)
    : random_(seed), now_(std::chrono::seconds(100)) {
  TakeOver(true);
}

state::ShardKey KeyspaceSimulation::KeyAt(int index) {
  return static_cast<state::ShardKey>(index * state::kShardKeyCount /
                                      kWatchedKeys);
}

std::string KeyspaceSimulation::NameOf(int server) {
  return "server-" + std::to_string(server);
}

Duration KeyspaceSimulation::RandomDelay(int min_ms, int max_ms) {
  return std::chrono::milliseconds(
      std::uniform_int_distribution<int>(min_ms, max_ms)(random_));
}

bool KeyspaceSimulation::Chance(int percent) {
  return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
}

void KeyspaceSimulation::Schedule(Instant when, std::function<void()> event) {
  events_.emplace(when, std::move(event));
}

void KeyspaceSimulation::Advance(Duration time) {
  const Instant end = now_ + time;
  while (now_ < end && violation_.empty()) {
    Step();
  }
}

void KeyspaceSimulation::Step() {
  now_ += kStep;
  while (!events_.empty() && events_.begin()->first <= now_) {
    auto event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  for (std::size_t i = 0; i < leaders_.size(); ++i) {
    RunLeader(i);
  }
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (now_ >= hosts_[i].next_report) {
      SendReport(i);
    }
  }
  BeginWork();
  CheckOracle();
}

void KeyspaceSimulation::BeginWork() {
  const auto pick = [this](int count) {
    return static_cast<std::size_t>(
        std::uniform_int_distribution<int>(0, count - 1)(random_));
  };
  Server& server = servers_[pick(kServers)];
  const std::size_t key = pick(kWatchedKeys);
  if (server.up && server.lease_end[key] > now_) {
    server.work_end[key] =
        std::max<Instant>(server.work_end[key], now_ + RandomDelay(10, 900));
  }
}

Instant KeyspaceSimulation::WorkEnd(const KeyOrder& order) const {
  const Server& server =
      servers_[static_cast<std::size_t>(order.server.id.back() - '0')];
  Instant end = now_;
  for (int i = 0; i < kWatchedKeys; ++i) {
    if (KeyAt(i) >= order.first && KeyAt(i) <= order.last) {
      end = std::max(end, server.work_end[static_cast<std::size_t>(i)]);
    }
  }
  return end;
}

void KeyspaceSimulation::CheckWork(int key, const Server& receiver) {
  const auto key_index = static_cast<std::size_t>(key);
  for (const Server& server : servers_) {
    if (&server != &receiver && server.up &&
        server.work_end[key_index] > now_ &&
        server.full_lease_end[key_index] > now_) {
      violation_ = "key " + std::to_string(KeyAt(key)) +
                   " is granted while its last holder works on it";
    }
  }
}

void KeyspaceSimulation::RunLeader(std::size_t index) {
  Leader& leader = leaders_[index];
  if (leader.stopped) {
    return;
  }
  if (now_ >= leader.next_heartbeat) {
    SendHeartbeat(index);
  }
  if (now_ >= leader.next_renewal) {
    RenewTerm(index);
  }
  UpdateServerList(&leader);
  leader.coordinator->HandlePredecessorEnd(
      leader.proof.PredecessorEnd(now_, kHosts));
  if (leader.proof.MayGrant(now_, kHosts)) {
    for (const KeyOrder& order : leader.coordinator->Tick(now_)) {
      SendOrder(index, order);
    }
  }
  if (leader.coordinator->record_urgent() && !leader.writing) {
    WriteRecord(index);
  }
}

void KeyspaceSimulation::WriteRecord(std::size_t index) {
  Leader& leader = leaders_[index];
  leader.writing = true;
  const std::uint64_t change = leader.coordinator->recorded_change();
  state::ServiceRanges ranges = leader.coordinator->RecordedRanges();
  // The store refuses the writes of a succeeded leader.
  Schedule(std::max(now_, leader.stalled_until) + RandomDelay(2, 20),
           [this, index, change, sent = now_, ranges = std::move(ranges)] {
             const bool done = store_up_ && index + 1 == leaders_.size();
             if (done) {
               stored_ = ranges;
             }
             Receive(index, [this, index, change, sent, done] {
               Leader& writer = leaders_[index];
               writer.writing = false;
               if (done) {
                 writer.coordinator->HandleRecordConfirmed(change);
                 writer.proof.RecordStoreConfirmation(sent);
                 writer.coordinator->HandleProof(sent);
                 writer.coordinator->HandleDelivery(now_, sent);
               }
             });
           });
}

void KeyspaceSimulation::RenewTerm(std::size_t index) {
  Leader& leader = leaders_[index];
  leader.next_renewal = now_ + kRenewInterval;
  Schedule(std::max(now_, leader.stalled_until) + RandomDelay(2, 20),
           [this, index, sent = now_] {
             if (!store_up_ || index + 1 != leaders_.size()) {
               return;
             }
             Receive(index, [this, index, sent] {
               Leader& writer = leaders_[index];
               writer.proof.RecordStoreConfirmation(sent);
               writer.coordinator->HandleProof(sent);
               writer.coordinator->HandleDelivery(now_, sent);
             });
           });
}

bool KeyspaceSimulation::Leads(std::size_t host) const {
  for (std::size_t i = host; i < leaders_.size(); i += kHosts) {
    if (!leaders_[i].stopped) {
      return true;
    }
  }
  return false;
}

void KeyspaceSimulation::SendHeartbeat(std::size_t index) {
  Leader& leader = leaders_[index];
  leader.next_heartbeat = now_ + kHeartbeatInterval;
  const std::int64_t number = leader.proof.RecordSentHeartbeat(now_);
  for (std::size_t i = 0; i < kHosts; ++i) {
    if (i == index % kHosts || !leader.heard || Chance(message_loss_)) {
      continue;
    }
    Schedule(std::max(now_, leader.stalled_until) + RandomDelay(1, 80),
             [this, index, i, number] {
               Host& host = hosts_[i];
               if (Leads(i) || index < host.leader) {
                 return;
               }
               host.heartbeat = index > host.leader
                                    ? number
                                    : std::max(host.heartbeat, number);
               host.leader = index;
             });
  }
}

void KeyspaceSimulation::SendReport(std::size_t index) {
  Host& host = hosts_[index];
  host.next_report = now_ + kReportInterval;
  if (Leads(index) || Chance(message_loss_)) {
    return;
  }
  Schedule(now_ + RandomDelay(1, 80),
           [this, index, leader = host.leader, number = host.heartbeat] {
             Receive(leader, [this, index, leader, number] {
               Leader& receiver = leaders_[leader];
               if (const auto written = receiver.proof.RecordReport(
                       std::to_string(index), number)) {
                 receiver.coordinator->HandleDelivery(now_, *written);
               }
             });
           });
}

void KeyspaceSimulation::Receive(std::size_t leader,
                                 std::function<void()> message) {
  if (leaders_[leader].stalled_until > now_ && Chance(50)) {
    Schedule(leaders_[leader].stalled_until,
             [this, leader, message = std::move(message)] {
               Receive(leader, message);
             });
  } else if (!leaders_[leader].stopped) {
    message();
  }
}

void KeyspaceSimulation::UpdateServerList(Leader* leader) {
  if (now_ < leader->next_list) {
    return;
  }
  leader->next_list = now_ + kListInterval;
  std::vector<coordination::KeyServer> servers;
  for (int i = 0; i < kServers; ++i) {
    const Server& server = servers_[static_cast<std::size_t>(i)];
    if (server.listed) {
      servers.push_back({{NameOf(i), server.start_time_ms},
                         server.capacity,
                         !server.draining});
    }
  }
  leader->coordinator->SetServers(now_, std::move(servers));
}

void KeyspaceSimulation::SendOrder(std::size_t index, const KeyOrder& order) {
  const int target = order.server.id.back() - '0';
  const Instant sent = std::max(now_, leaders_[index].stalled_until);
  // A server answers a release when its requests on the keys have ended.
  const bool waits_for_work = order.kind == OrderKind::kRelease;
  const auto timeout_at =
      now_ + (waits_for_work ? kReleaseTimeout : coordination::kOrderTimeout);
  const auto answer = [this, index, order, target](Instant when,
                                                   OrderOutcome outcome) {
    Schedule(when, [this, index, order, target, outcome] {
      Leader& leader = leaders_[index];
      if (outcome == OrderOutcome::kNotSent ||
          outcome == OrderOutcome::kUnknown) {
        leader.connected_epoch[static_cast<std::size_t>(target)] = 0;
      }
      if (!leader.stopped) {
        leader.coordinator->HandleOrderOutcome(now_, order, outcome, "");
        if (leader.coordinator->superseded()) {
          leader.stopped = true;
          if (index + 1 == leaders_.size()) {
            violation_ = "the newest leader is refused";
          }
        }
      }
    });
  };
  const Server& server = servers_[static_cast<std::size_t>(target)];
  // An order names only the server's id, so it also reaches a later
  // incarnation.
  const bool disconnected =
      leaders_[index].disconnected[static_cast<std::size_t>(target)] ||
      !server.up;
  const std::int64_t start_time_ms = server.start_time_ms;
  std::int64_t& connected_epoch =
      leaders_[index].connected_epoch[static_cast<std::size_t>(target)];
  if (!disconnected && connected_epoch != 0 &&
      connected_epoch != server.epoch) {
    answer(sent + RandomDelay(1, 200), OrderOutcome::kNotSent);
    return;
  }
  if (!disconnected && connected_epoch == 0 &&
      !leaders_[index].coordinator->MayConnect(order)) {
    answer(sent + RandomDelay(1, 200), OrderOutcome::kWithheld);
    return;
  }
  connected_epoch = disconnected ? connected_epoch : server.epoch;
  if (disconnected || Chance(faults_.refused)) {
    answer(sent + RandomDelay(1, 200), OrderOutcome::kNotSent);
    return;
  }
  if (Chance(faults_.lost)) {
    answer(timeout_at, OrderOutcome::kUnknown);
    return;
  }
  const Instant arrives = sent + RandomDelay(1, 200);
  if (order.kind == OrderKind::kGrant && Chance(faults_.late)) {
    answer(timeout_at, OrderOutcome::kUnknown);
    Schedule(arrives + RandomDelay(2000, 12000),
             [this, order, arrives, start_time_ms] {
               Apply(order, arrives, start_time_ms);
             });
    return;
  }
  const bool lose_answer = Chance(faults_.answer_lost);
  const Duration answer_delay = RandomDelay(1, 90);
  // The leader resets the connection then, and does not read a later answer.
  const bool timed_out = arrives > timeout_at;
  if (timed_out) {
    answer(timeout_at, OrderOutcome::kUnknown);
  }
  Schedule(arrives, [this, order, arrives, start_time_ms, lose_answer, answer,
                     answer_delay, timeout_at, timed_out, waits_for_work] {
    const bool accepted = Apply(order, arrives, start_time_ms);
    if (timed_out) {
      return;
    }
    const Instant answered =
        (waits_for_work ? WorkEnd(order) : now_) + answer_delay;
    const Server& reached =
        servers_[static_cast<std::size_t>(order.server.id.back() - '0')];
    if (lose_answer || answered > timeout_at || !reached.up ||
        reached.start_time_ms != start_time_ms) {
      answer(std::max(timeout_at, now_), OrderOutcome::kUnknown);
    } else {
      answer(answered,
             accepted ? OrderOutcome::kAccepted : OrderOutcome::kRefused);
    }
  });
}

bool KeyspaceSimulation::Apply(const KeyOrder& order,
                               Instant arrived,
                               std::int64_t start_time_ms) {
  Server& server =
      servers_[static_cast<std::size_t>(order.server.id.back() - '0')];
  if (!server.up || server.start_time_ms != start_time_ms) {
    return false;
  }
  const state::ServerIncarnation receiver{order.server.id, start_time_ms};
  const auto affected = [&](int index) {
    const std::int32_t key = KeyAt(index);
    return key >= order.first && key <= order.last;
  };
  if (order.kind == OrderKind::kRelease) {
    for (int i = 0; i < kWatchedKeys; ++i) {
      const auto key_index = static_cast<std::size_t>(i);
      if (affected(i)) {
        // The platform's documentation does not say that a release raises the
        // fence that the server has seen.
        server.lease_end[key_index] = Instant();
      }
    }
    return true;
  }
  for (int i = 0; i < kWatchedKeys; ++i) {
    if (affected(i) &&
        server.fence_seen[static_cast<std::size_t>(i)] > order.fence) {
      return false;
    }
  }
  const Instant end =
      arrived + Duration(static_cast<Duration::rep>(
                    static_cast<double>(coordination::kKeyLease.count()) *
                    kSlowestClock));
  for (int i = 0; i < kWatchedKeys; ++i) {
    if (!affected(i)) {
      continue;
    }
    const auto key_index = static_cast<std::size_t>(i);
    server.fence_seen[key_index] = order.fence;
    server.lease_end[key_index] = std::max(server.lease_end[key_index], end);
    server.full_lease_end[key_index] =
        std::max(server.full_lease_end[key_index], end);
    if (end <= now_) {
      continue;
    }
    CheckWork(i, server);
    // A leader that does not know of its successor cannot know that it needs a
    // higher fence for the same server.
    const bool cannot_know =
        highest_holder_[key_index].id == receiver.id &&
        order.fence >> 20 < static_cast<std::int64_t>(leaders_.size());
    if (!cannot_know && highest_holder_[key_index] != receiver &&
        order.fence <= highest_fence_[key_index]) {
      violation_ = "fence " + std::to_string(order.fence) + " at " +
                   order.server.id + " is not above that of " +
                   highest_holder_[key_index].id;
    }
    if (order.fence >= highest_fence_[key_index]) {
      highest_fence_[key_index] = order.fence;
      highest_holder_[key_index] = receiver;
    }
  }
  return true;
}

void KeyspaceSimulation::CheckOracle() {
  for (int i = 0; i < kWatchedKeys; ++i) {
    int holders = 0;
    for (const Server& server : servers_) {
      if (server.up && server.lease_end[static_cast<std::size_t>(i)] > now_) {
        ++holders;
      }
    }
    if (holders > 1 && violation_.empty()) {
      violation_ = "key " + std::to_string(KeyAt(i)) + " has " +
                   std::to_string(holders) + " holders";
    }
  }
}

int KeyspaceSimulation::HolderOf(state::ShardKey key) const {
  int nearest = 0;
  for (int i = 0; i < kWatchedKeys; ++i) {
    if (KeyAt(i) <= key) {
      nearest = i;
    }
  }
  for (int i = 0; i < kServers; ++i) {
    const Server& server = servers_[static_cast<std::size_t>(i)];
    if (server.up &&
        server.lease_end[static_cast<std::size_t>(nearest)] > now_) {
      return i;
    }
  }
  return -1;
}

int KeyspaceSimulation::held() const {
  int count = 0;
  for (int i = 0; i < kWatchedKeys; ++i) {
    count += HolderOf(KeyAt(i)) >= 0 ? 1 : 0;
  }
  return count;
}

void KeyspaceSimulation::Kill(int server) {
  Server& killed = servers_[static_cast<std::size_t>(server)];
  ++killed.epoch;
  killed.up = false;
  killed.lease_end = {};
  killed.full_lease_end = {};
  killed.work_end = {};
  killed.fence_seen = {};
}

void KeyspaceSimulation::Restart(int server) {
  Kill(server);
  Server& started = servers_[static_cast<std::size_t>(server)];
  started.up = true;
  ++started.start_time_ms;
}

void KeyspaceSimulation::SetListed(int server, bool listed) {
  servers_[static_cast<std::size_t>(server)].listed = listed;
}

void KeyspaceSimulation::SetDraining(int server, bool draining) {
  servers_[static_cast<std::size_t>(server)].draining = draining;
}

void KeyspaceSimulation::DisconnectNewestLeader(int server, bool disconnected) {
  leaders_.back().disconnected[static_cast<std::size_t>(server)] = disconnected;
}

void KeyspaceSimulation::StallNewestLeader(Duration time) {
  Instant& stalled_until = leaders_.back().stalled_until;
  stalled_until = std::max<Instant>(stalled_until, now_ + time);
}

void KeyspaceSimulation::SetCapacity(int server, double capacity) {
  servers_[static_cast<std::size_t>(server)].capacity = capacity;
}

void KeyspaceSimulation::StallFormerLeaders(Duration time) {
  const Instant end =
      now_ + std::min<Duration>(time, coordination::kMaxTurnTime);
  for (std::size_t i = 0; i + 1 < leaders_.size(); ++i) {
    leaders_[i].stalled_until = std::max(leaders_[i].stalled_until, end);
  }
}

void KeyspaceSimulation::TakeOver(bool stop_former) {
  if (!leaders_.empty()) {
    Advance(leaders_.back().stalled_until - coordination::kMaxTurnTime - now_);
  }
  const std::size_t index = leaders_.size();
  for (std::size_t i = 0; i < index; ++i) {
    leaders_[i].stopped =
        leaders_[i].stopped || stop_former || i % kHosts == index % kHosts;
  }
  Leader leader;
  leader.term = static_cast<std::int64_t>(index) + 1;
  leader.next_renewal = now_ + kRenewInterval;
  leader.proof.Begin(now_, now_, index > 0);
  leader.coordinator = std::make_unique<KeyspaceCoordinator>(
      now_, leader.term, stored_, leader.proof.PredecessorEnd(now_, kHosts));
  leaders_.push_back(std::move(leader));
}

void KeyspaceSimulation::AddLoad(state::ShardKey key, double requests) {
  for (int i = 0; i < 50; ++i) {
    AddKeyLoad(static_cast<state::ShardKey>(
                   std::min<int>(key + i * 7, state::kShardKeyCount - 1)),
               requests / 50);
  }
}

void KeyspaceSimulation::AddKeyLoad(state::ShardKey key, double requests) {
  leaders_.back().coordinator->load().Add(key, requests);
}

}  // namespace mustardflow::tests
