// The discrete event simulation of competing kinds.

#include "tests/load/kinds_simulation.h"

#include <algorithm>
#include <utility>

namespace mustardflow::tests {

using coordination::RequestOutcome;
using coordination::SendResult;
using state::Duration;
using state::Instant;
using std::chrono::milliseconds;

namespace {

const std::string kKeyed = "inspect";
const std::string kOpen = "archive";
constexpr int kSlots = 3;
constexpr std::size_t kQueue = 12;
constexpr Duration kOneWayDelay = milliseconds(1);
constexpr Duration kTickInterval = milliseconds(20);
// A fifth of the servers takes three times as long; another fifth each 0.4 s.
constexpr double kSlowShare = 0.2;
constexpr double kSlowFactor = 3;
constexpr Duration kSlowPeriod = milliseconds(400);
// The mean of the relative times, with the periods in which servers are slow.
constexpr double kMeanTime = 1.1 * (1 + kSlowShare * (kSlowFactor - 1));
constexpr double kHotShare = 0.4;

struct KindProfile {
  const char* name;
  double work_seconds;
  Duration target;
  Duration deadline;
  int priority;
  state::RequestKind kind;
  // The shares of the kind in the demand for the work of both services.
  double keyed_share;
  double open_share;
};

const std::array<KindProfile, kKindCount> kKinds = {{
    {"batch-verdict", 0.057, milliseconds(250), milliseconds(1000), 0,
     state::RequestKind::kIdempotent, 0.1, 0.3},
    {"frame-fetch", 0.140, milliseconds(500), milliseconds(1500), 1,
     state::RequestKind::kIdempotent, 0.5, 0},
    {"lot-hold", 0.190, milliseconds(600), milliseconds(2500), 1,
     state::RequestKind::kNonIdempotent, 0.4, 0},
    {"archive-browse", 0.360, milliseconds(2000), milliseconds(4000), 2,
     state::RequestKind::kIdempotent, 0, 0.7},
}};

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

const char* KindName(std::size_t kind) {
  return kKinds[kind].name;
}

KindsSimulation::KindsSimulation(const KindsOptions& options)
    : options_(options),
      random_(options.seed),
      now_(std::chrono::seconds(1000)),
      start_(now_) {
  BuildServers();
  BuildHosts();
  for (int i = 0; i < options_.hot_keys; ++i) {
    hot_keys_.push_back(
        static_cast<state::ShardKey>(RandomFraction() * state::kShardKeyCount));
  }
}

void KindsSimulation::BuildServers() {
  for (std::size_t i = 0; i < options_.keyed_servers + options_.open_servers;
       ++i) {
    const bool keyed = i < options_.keyed_servers;
    Server server;
    server.record.incarnation = {(keyed ? "i" : "a") + std::to_string(i), 1};
    server.record.sequence = 1;
    server.record.service = keyed ? kKeyed : kOpen;
    server.record.zone = "near";
    server.record.slots = kSlots;
    server.relative_time = 0.6 + RandomFraction();
    server_index_[server.record.incarnation.id] = i;
    servers_.push_back(std::move(server));
  }
}

void KindsSimulation::BuildHosts() {
  state::ServiceRules keyed;
  keyed.keyed = true;
  const auto config = std::make_shared<state::RoutingConfig>(
      1, std::vector<state::Route>(),
      std::map<std::string, state::ServiceRules>{{kKeyed, keyed}, {kOpen, {}}},
      state::IngressLimits());
  state::OwnershipTable table;
  table.term = 1;
  table.revision = 1;
  const auto width =
      state::kShardKeyCount / static_cast<std::int32_t>(options_.keyed_servers);
  const auto gate_of = [this](std::size_t server) {
    return state::Address{
        "10.0.0.1", static_cast<std::uint16_t>(server % options_.hosts + 1)};
  };
  for (std::size_t i = 0; i < options_.keyed_servers; ++i) {
    state::OwnedRange range;
    range.first = static_cast<std::int32_t>(i) * width;
    range.last = i + 1 == options_.keyed_servers ? state::kShardKeyCount - 1
                                                 : range.first + width - 1;
    range.holder = servers_[i].record.incarnation;
    range.serving = true;
    table.services[kKeyed].push_back(range);
    table.gates[range.holder.id] = gate_of(i);
  }
  hosts_.resize(options_.hosts);
  for (std::size_t index = 0; index < hosts_.size(); ++index) {
    Host& host = hosts_[index];
    host.view.config = config;
    host.view.hosts = options_.hosts;
    host.view.table = table;
    host.pool = std::make_unique<coordination::ServerPool>(
        "near", bounds_, [this] { return RandomFraction(); });
    host.pool->SetConfig(*config);
    host.pool->SetHostCount(options_.hosts);
    std::map<std::string, bool> gated;
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      host.pool->Update(now_, servers_[i].record);
      if (i < options_.keyed_servers) {
        gated[servers_[i].record.incarnation.id] = i % options_.hosts == index;
      }
    }
    host.pool->SetGated(now_, gated);
    host.flow = std::make_unique<coordination::RequestFlow>(
        host.view, *host.pool, bounds_, [this] { return RandomFraction(); });
    host.flow->SetOwnGate(gate_of(index));
    if (options_.by_priority) {
      host.pool->EstimateByKind();
      host.flow->AdmitByPriority();
    }
  }
}

void KindsSimulation::Schedule(Instant at, std::function<void()> apply) {
  events_.push({at, ++last_event_, std::move(apply)});
}

double KindsSimulation::Rate(std::size_t kind) const {
  const KindProfile& profile = kKinds[kind];
  const double work =
      options_.load * kSlots / kMeanTime *
      (profile.keyed_share * static_cast<double>(options_.keyed_servers) +
       profile.open_share * static_cast<double>(options_.open_servers));
  const bool burst = options_.burst_kind == kind &&
                     now_ - start_ >= std::chrono::seconds(2) &&
                     now_ - start_ < std::chrono::seconds(7);
  return work / profile.work_seconds * (burst ? options_.burst_factor : 1);
}

KindResults KindsSimulation::Run() {
  ChangeSlowServers();
  for (std::size_t kind = 0; kind < kKindCount; ++kind) {
    Schedule(now_, [this, kind] { Arrive(kind); });
  }
  const Instant end = start_ + options_.length + std::chrono::seconds(5);
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    for (Instant at = now_ + kTickInterval; at < end; at += kTickInterval) {
      Schedule(at + milliseconds(host % 20),
               [this, host] { Perform(host, hosts_[host].flow->Tick(now_)); });
    }
  }
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.apply();
  }
  return results_;
}

void KindsSimulation::ChangeSlowServers() {
  for (Server& server : servers_) {
    server.slowness = RandomFraction() < kSlowShare ? kSlowFactor : 1;
  }
  if (now_ - start_ < options_.length) {
    Schedule(now_ + kSlowPeriod, [this] { ChangeSlowServers(); });
  }
}

void KindsSimulation::Arrive(std::size_t kind) {
  if (now_ - start_ >= options_.length) {
    return;
  }
  const KindProfile& profile = kKinds[kind];
  Schedule(now_ + FromSeconds(std::exponential_distribution<double>(Rate(kind))(
                      random_)),
           [this, kind] { Arrive(kind); });
  const double keyed_work =
      profile.keyed_share * static_cast<double>(options_.keyed_servers);
  const double open_work =
      profile.open_share * static_cast<double>(options_.open_servers);
  Call call;
  call.kind = kind;
  call.start = now_;
  call.end = now_ + profile.deadline;
  const bool keyed = RandomFraction() < keyed_work / (keyed_work + open_work);
  call.service = keyed ? kKeyed : kOpen;
  if (keyed) {
    const bool hot = !hot_keys_.empty() && RandomFraction() < kHotShare;
    call.key =
        hot ? hot_keys_[static_cast<std::size_t>(
                  RandomFraction() * static_cast<double>(hot_keys_.size()))]
            : static_cast<state::ShardKey>(RandomFraction() *
                                           state::kShardKeyCount);
  }
  calls_.push_back(std::move(call));
  ++results_[kind].requests;
  StartCall(calls_.size() - 1);
}

coordination::RequestTerms KindsSimulation::TermsOf(const Call& call) const {
  const KindProfile& profile = kKinds[call.kind];
  coordination::RequestTerms terms;
  terms.kind = profile.kind;
  terms.service = call.service;
  terms.key = call.key;
  terms.target_latency = profile.target;
  terms.max_attempts = 2;
  terms.priority = profile.priority;
  terms.route = profile.name;
  terms.received = now_;
  terms.end = call.end;
  return terms;
}

void KindsSimulation::StartCall(std::size_t call) {
  const auto host = static_cast<std::size_t>(
      RandomFraction() * static_cast<double>(hosts_.size()));
  const coordination::RequestId id = ++last_request_;
  requests_[id] = {call, std::nullopt};
  Perform(host, hosts_[host].flow->Start(now_, id, TermsOf(calls_[call])));
}

void KindsSimulation::Perform(std::size_t host,
                              const coordination::FlowActions& actions) {
  for (const coordination::FlowAction& action : actions) {
    if (const auto* send = std::get_if<coordination::SendAttempt>(&action)) {
      Send(host, *send);
    } else if (const auto* abort =
                   std::get_if<coordination::AbortAttempt>(&action)) {
      const auto found = exchange_of_attempt_.find({host, abort->attempt});
      if (found != exchange_of_attempt_.end()) {
        Cancel(found->second);
      }
    } else if (const auto* conclusion =
                   std::get_if<coordination::FinishRequest>(&action)) {
      Finish(*conclusion);
    }
  }
}

void KindsSimulation::Send(std::size_t host,
                           const coordination::SendAttempt& send) {
  Exchange exchange;
  exchange.host = host;
  exchange.request = send.request;
  exchange.attempt = send.attempt;
  exchange.server = server_index_.at(send.server.incarnation.id);
  exchange.call = requests_.at(send.request).call;
  const std::uint64_t id = ++last_exchange_;
  exchanges_[id] = exchange;
  exchange_of_attempt_[{host, send.attempt}] = id;
  if (send.gate) {
    const std::size_t gate = send.gate->port - 1;
    Schedule(now_ + kOneWayDelay, [this, id, gate] { ArriveAtGate(id, gate); });
  } else {
    Schedule(now_ + kOneWayDelay, [this, id] { ArriveAtServer(id); });
  }
}

void KindsSimulation::ArriveAtGate(std::uint64_t id, std::size_t gate) {
  Exchange& exchange = exchanges_.at(id);
  if (exchange.ended) {
    return;
  }
  hosts_[exchange.host].flow->HandleConnected(exchange.request,
                                              exchange.attempt);
  const coordination::RequestId request = ++last_request_;
  exchange.at_gate = {gate, request};
  requests_[request] = {exchange.call, id};
  coordination::RequestTerms terms = TermsOf(calls_[exchange.call]);
  terms.forwarded = true;
  Perform(gate, hosts_[gate].flow->Start(now_, request, std::move(terms)));
}

void KindsSimulation::ArriveAtServer(std::uint64_t id) {
  Exchange& exchange = exchanges_.at(id);
  if (exchange.ended) {
    return;
  }
  hosts_[exchange.host].flow->HandleConnected(exchange.request,
                                              exchange.attempt);
  Server& server = servers_[exchange.server];
  if (server.running.size() < kSlots) {
    Execute(id);
  } else if (server.waiting.size() < kQueue) {
    server.waiting.push_back(id);
  } else {
    Respond(id, SendResult::kRefused);
  }
}

void KindsSimulation::Execute(std::uint64_t id) {
  const Exchange& exchange = exchanges_.at(id);
  Server& server = servers_[exchange.server];
  server.running[id] = true;
  const double seconds = kKinds[calls_[exchange.call].kind].work_seconds *
                         (0.5 + RandomFraction()) * server.relative_time *
                         server.slowness;
  Schedule(now_ + FromSeconds(seconds), [this, id] {
    const auto found = exchanges_.find(id);
    if (found == exchanges_.end()) {
      return;
    }
    Server& at = servers_[found->second.server];
    if (at.running.erase(id) > 0) {
      Respond(id, SendResult::kAnswered);
      StartQueued(&at);
    }
  });
}

void KindsSimulation::StartQueued(Server* server) {
  while (!server->waiting.empty() && server->running.size() < kSlots) {
    const std::uint64_t next = server->waiting.front();
    server->waiting.pop_front();
    Execute(next);
  }
}

void KindsSimulation::Respond(std::uint64_t id, SendResult result) {
  Exchange& exchange = exchanges_.at(id);
  if (exchange.ended) {
    return;
  }
  exchange.ended = true;
  const Server& server = servers_[exchange.server];
  const auto load =
      static_cast<int>(server.running.size() + server.waiting.size());
  const double slowness = server.slowness;
  Schedule(now_ + kOneWayDelay, [this, id, result, load, slowness] {
    const Exchange ended = exchanges_.at(id);
    exchanges_.erase(id);
    exchange_of_attempt_.erase({ended.host, ended.attempt});
    Host& host = hosts_[ended.host];
    host.pool->RecordLoad(now_, servers_[ended.server].record.incarnation, load,
                          slowness);
    Perform(ended.host, host.flow->HandleResult(now_, ended.request,
                                                ended.attempt, result));
  });
}

void KindsSimulation::Cancel(std::uint64_t id) {
  Exchange& exchange = exchanges_.at(id);
  if (exchange.ended) {
    return;
  }
  exchange.ended = true;
  Schedule(now_ + kOneWayDelay, [this, id] {
    const Exchange cancelled = exchanges_.at(id);
    exchanges_.erase(id);
    exchange_of_attempt_.erase({cancelled.host, cancelled.attempt});
    if (cancelled.at_gate) {
      const auto [gate, request] = *cancelled.at_gate;
      Perform(gate, hosts_[gate].flow->HandleCallerDisconnect(now_, request));
      return;
    }
    Server& server = servers_[cancelled.server];
    server.running.erase(id);
    server.waiting.remove(id);
    StartQueued(&server);
  });
}

void KindsSimulation::Finish(const coordination::FinishRequest& conclusion) {
  const HostRequest request = requests_.at(conclusion.request);
  requests_.erase(conclusion.request);
  if (!request.forwarded_by) {
    EndCall(request.call, conclusion.outcome, conclusion.retry_after);
    return;
  }
  const auto found = exchanges_.find(*request.forwarded_by);
  if (found == exchanges_.end() || found->second.ended) {
    return;
  }
  found->second.ended = true;
  const SendResult result = conclusion.outcome == RequestOutcome::kAnswered
                                ? SendResult::kAnswered
                            : conclusion.outcome == RequestOutcome::kRefused
                                ? SendResult::kGateRefused
                            : conclusion.outcome == RequestOutcome::kTimedOut
                                ? SendResult::kGateTimedOut
                                : SendResult::kGateUnknown;
  Schedule(now_ + kOneWayDelay, [this, id = *request.forwarded_by, result,
                                 retry_after = conclusion.retry_after] {
    const Exchange ended = exchanges_.at(id);
    exchanges_.erase(id);
    exchange_of_attempt_.erase({ended.host, ended.attempt});
    Perform(ended.host,
            hosts_[ended.host].flow->HandleResult(
                now_, ended.request, ended.attempt, result, retry_after));
  });
}

void KindsSimulation::EndCall(std::size_t index,
                              RequestOutcome outcome,
                              Duration retry_after) {
  Call& call = calls_[index];
  KindResult& result = results_[call.kind];
  if (outcome == RequestOutcome::kAnswered) {
    const bool in_target = now_ - call.start <= kKinds[call.kind].target;
    ++(in_target ? result.in_target : result.late);
    return;
  }
  if (outcome != RequestOutcome::kRefused) {
    return;
  }
  ++result.refusals;
  result.refused_twice += call.retried ? 1 : 0;
  // A caller retries at most once, and not later than after a third of the time
  // that it has left.
  if (call.retried || retry_after > (call.end - now_) / 3) {
    ++result.refused;
    return;
  }
  call.retried = true;
  Schedule(now_ + retry_after, [this, index] { StartCall(index); });
}

}  // namespace mustardflow::tests
