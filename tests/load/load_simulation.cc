// The discrete event simulation for the load tests.

#include "tests/load/load_simulation.h"

#include <algorithm>
#include <utility>

namespace mustardflow::tests {

using coordination::AbortAttempt;
using coordination::ReportAttempt;
using coordination::RequestOutcome;
using coordination::SendAttempt;
using coordination::SendResult;
using state::Duration;
using state::Instant;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kService = "desk";
// The one-way network delay between a host and a server, and between a caller
// and a host.
constexpr Duration kOneWayDelay = milliseconds(1);
// The interval of RequestFlow::Tick().
constexpr Duration kTickInterval = milliseconds(20);
// The retry delay of callers that ignore the requested retry delay.
constexpr Duration kAbusiveRetryDelay = milliseconds(10);
// The maximum number of requests per second to a cold server.
constexpr double kColdRate = 20;

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

double LoadResult::score() const {
  return requests == 0 ? 1 : (in_target + 0.5 * late) / requests;
}

LoadSimulation::LoadSimulation(LoadOptions options)
    : options_(options),
      random_(options.seed),
      now_(std::chrono::seconds(1000)),
      start_(now_) {
  bounds_.retry_ratio = 0.2;
  bounds_.retry_slack = 50;
  for (std::size_t i = 0; i < options_.servers; ++i) {
    Server server;
    server.record.incarnation = {"s" + std::to_string(i), 1};
    server.record.sequence = 1;
    server.record.service = std::string(kService);
    server.record.zone = "near";
    server.record.slots = options_.slots;
    servers_.push_back(std::move(server));
  }
  BuildHosts();
}

void LoadSimulation::BuildHosts() {
  state::ServiceRules rules;
  rules.keyed = options_.keyed;
  rules.cold_rate = kColdRate;
  rules.max_connections = 400;
  const auto config = std::make_shared<state::RoutingConfig>(
      1, std::vector<state::Route>(),
      std::map<std::string, state::ServiceRules>{
          {std::string(kService), rules}},
      state::IngressLimits());
  state::ServiceRanges ranges;
  const auto width = static_cast<std::int32_t>(
      state::kShardKeyCount / static_cast<std::int32_t>(options_.servers));
  for (std::size_t i = 0; i < options_.servers; ++i) {
    state::OwnedRange range;
    range.first = static_cast<std::int32_t>(i) * width;
    range.last = i + 1 == options_.servers ? state::kShardKeyCount - 1
                                           : range.first + width - 1;
    range.holder = servers_[i].record.incarnation;
    range.serving = true;
    ranges.push_back(range);
  }
  hosts_.resize(options_.hosts);
  for (Host& host : hosts_) {
    host.view.config = config;
    host.view.hosts = options_.hosts;
    host.view.table.term = 1;
    host.view.table.revision = 1;
    host.view.table.services[std::string(kService)] = ranges;
    host.pool = std::make_unique<coordination::ServerPool>(
        "near", bounds_, [this] { return RandomFraction(); });
    host.pool->SetConfig(*config);
    host.pool->SetHostCount(options_.hosts);
    host.flow = std::make_unique<coordination::RequestFlow>(
        host.view, *host.pool, bounds_, [this] { return RandomFraction(); });
  }
  UpdatePools();
}

void LoadSimulation::UpdatePools() {
  for (Host& host : hosts_) {
    for (const Server& server : servers_) {
      if (server.up) {
        host.pool->Update(now_, server.record);
      } else {
        host.pool->Remove(now_, server.record.incarnation.id);
      }
    }
  }
}

void LoadSimulation::Schedule(Instant at, std::function<void()> apply) {
  events_.push({at, ++last_event_, std::move(apply)});
}

LoadResult LoadSimulation::Run(const std::vector<ScheduledChange>& changes) {
  last_arrival_ = start_ + options_.length;
  for (const ScheduledChange& change : changes) {
    Schedule(start_ + change.at, [this, &change] { change.apply(this); });
  }
  Schedule(now_, [this] { Arrive(); });
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    const Instant end = last_arrival_ + options_.deadline + milliseconds(500);
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
  std::sort(response_times_.begin(), response_times_.end());
  if (!response_times_.empty()) {
    result_.p99 = response_times_[response_times_.size() * 99 / 100];
  }
  result_.unserved = result_.requests - result_.in_target - result_.late;
  return result_;
}

void LoadSimulation::SetSlow(double share, double factor) {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const bool chosen =
        static_cast<double>(i) < share * static_cast<double>(servers_.size());
    servers_[i].factor = chosen ? factor : 1;
  }
}

void LoadSimulation::SetFailing(double share, double fraction) {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const bool chosen =
        static_cast<double>(i) < share * static_cast<double>(servers_.size());
    servers_[i].failing_fraction = chosen ? fraction : 0;
  }
}

void LoadSimulation::SetShedding(double share, double fraction) {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const bool chosen =
        static_cast<double>(i) < share * static_cast<double>(servers_.size());
    servers_[i].shedding_fraction = chosen ? fraction : 0;
  }
}

void LoadSimulation::SetLosing(double share, double fraction) {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const bool chosen =
        static_cast<double>(i) < share * static_cast<double>(servers_.size());
    servers_[i].losing_fraction = chosen ? fraction : 0;
  }
}

void LoadSimulation::SetDown(double share) {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (static_cast<double>(i) < share * static_cast<double>(servers_.size())) {
      Crash(&servers_[i]);
    }
  }
}

void LoadSimulation::SetUp(Duration warmup) {
  for (Server& server : servers_) {
    if (!server.up) {
      server.up = true;
      ++server.record.incarnation.start_time_ms;
      server.record.warmup_left = warmup;
      server.cold_until = now_ + warmup;
    }
  }
  UpdatePools();
}

void LoadSimulation::Crash(Server* server) {
  if (!server->up) {
    return;
  }
  server->up = false;
  server->running.clear();
  server->waiting.clear();
  const std::size_t index = static_cast<std::size_t>(server - servers_.data());
  for (auto& [id, exchange] : exchanges_) {
    if (exchange.server == index && !exchange.ended) {
      Schedule(now_ + kOneWayDelay,
               [this, id = id] { Respond(id, SendResult::kLost); });
    }
  }
  Schedule(now_ + milliseconds(600), [this] { UpdatePools(); });
}

int LoadSimulation::Load(const Server& server) const {
  return static_cast<int>(server.running.size() + server.waiting.size());
}

void LoadSimulation::Arrive() {
  if (now_ >= last_arrival_) {
    return;
  }
  const double pause =
      std::exponential_distribution<double>(options_.rate)(random_);
  Schedule(now_ + FromSeconds(pause), [this] { Arrive(); });
  Call call;
  call.start = now_;
  call.end = now_ + options_.deadline;
  call.abusive = options_.abusive_retries > 0 && RandomFraction() < 0.5;
  call.attempts_left =
      call.abusive ? options_.abusive_retries : options_.retries;
  if (options_.keyed) {
    const bool hot = RandomFraction() < options_.hot_share;
    call.key = hot ? 7
                   : static_cast<state::ShardKey>(RandomFraction() *
                                                  state::kShardKeyCount);
  }
  calls_.push_back(call);
  ++result_.requests;
  StartAttempt(calls_.size() - 1);
}

void LoadSimulation::StartAttempt(std::size_t index) {
  Call& call = calls_[index];
  call.runs = 0;
  call.host = static_cast<std::size_t>(RandomFraction() *
                                       static_cast<double>(hosts_.size()));
  call.request = ++last_request_;
  call.attempt_start = now_;
  call_index_[call.request] = index;
  const coordination::RequestId id = call.request;
  if (options_.policy == Policy::kNone) {
    StartAttemptWithoutPolicy(index);
    return;
  }
  coordination::RequestTerms terms;
  terms.kind = options_.kind;
  terms.service = std::string(kService);
  terms.key = call.key;
  terms.target_latency = options_.target;
  terms.max_attempts = 2;
  terms.received = now_;
  terms.end = call.end;
  const std::size_t host = call.host;
  if (options_.disconnect_after > Duration(0)) {
    Schedule(now_ + options_.disconnect_after, [this, id, host, index] {
      if (call_index_.contains(id)) {
        calls_[index].done = true;
        calls_[index].attempts_left = 0;
        calls_[index].left_at = now_;
        Perform(host, hosts_[host].flow->HandleCallerDisconnect(now_, id));
      }
    });
  }
  Perform(host, hosts_[host].flow->Start(now_, id, std::move(terms)));
}

void LoadSimulation::StartAttemptWithoutPolicy(std::size_t index) {
  Call& call = calls_[index];
  const auto count = static_cast<double>(servers_.size());
  SendAttempt send;
  send.request = call.request;
  send.attempt = ++last_exchange_;
  const auto server =
      call.key
          ? std::min<std::size_t>(servers_.size() - 1,
                                  static_cast<std::size_t>(*call.key) /
                                      (state::kShardKeyCount / servers_.size()))
          : static_cast<std::size_t>(RandomFraction() * count);
  send.server = servers_[server].record;
  Send(call.host, send);
  const coordination::RequestId id = call.request;
  Schedule(call.end, [this, id] {
    const auto found = call_index_.find(id);
    if (found == call_index_.end()) {
      return;
    }
    const std::size_t call_index = found->second;
    for (auto& [exchange, entry] : exchanges_) {
      if (entry.request == id && !entry.ended) {
        CancelExchange(exchange);
      }
    }
    EndAttempt(call_index, RequestOutcome::kTimedOut, Duration(0));
  });
}

void LoadSimulation::Perform(std::size_t host,
                             const coordination::FlowActions& actions) {
  struct Visitor {
    LoadSimulation* simulation;
    std::size_t host;

    void operator()(const SendAttempt& send) const {
      simulation->Send(host, send);
    }
    void operator()(const AbortAttempt& abort) const {
      for (auto& [id, exchange] : simulation->exchanges_) {
        if (exchange.host == host && exchange.attempt == abort.attempt) {
          simulation->CancelExchange(id);
          return;
        }
      }
    }
    void operator()(const coordination::FinishRequest& conclusion) const {
      simulation->FinishRequest(host, conclusion);
    }
    void operator()(const ReportAttempt&) const {}
  };
  for (const coordination::FlowAction& action : actions) {
    std::visit(Visitor{this, host}, action);
  }
}

void LoadSimulation::Send(std::size_t host, const SendAttempt& send) {
  Exchange exchange;
  exchange.host = host;
  exchange.request = send.request;
  exchange.attempt = send.attempt;
  exchange.call = call_index_.at(send.request);
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].record.incarnation.id == send.server.incarnation.id) {
      exchange.server = i;
    }
  }
  const std::uint64_t id = ++last_exchange_;
  exchanges_[id] = exchange;
  Schedule(now_ + kOneWayDelay, [this, id] { ArriveAtServer(id); });
}

void LoadSimulation::ArriveAtServer(std::uint64_t id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end() || found->second.ended) {
    return;
  }
  Exchange& exchange = found->second;
  Server& server = servers_[exchange.server];
  if (!server.up) {
    Respond(id, SendResult::kNotConnected);
    return;
  }
  hosts_[exchange.host].flow->HandleConnected(exchange.request,
                                              exchange.attempt);
  if (now_ < server.cold_until) {
    server.cold_arrivals.push_back(now_);
    std::erase_if(server.cold_arrivals, [this](Instant at) {
      return now_ - at > std::chrono::seconds(1);
    });
    result_.max_cold_requests =
        std::max(result_.max_cold_requests,
                 static_cast<int>(server.cold_arrivals.size()));
  }
  const bool sheds = server.shedding_fraction > 0 &&
                     RandomFraction() < server.shedding_fraction;
  if (!sheds && static_cast<int>(server.running.size()) < options_.slots) {
    StartExecution(id);
  } else if (!sheds &&
             static_cast<int>(server.waiting.size()) < options_.queue) {
    server.waiting.push_back(id);
  } else {
    Respond(id, SendResult::kRefused);
  }
}

void LoadSimulation::StartExecution(std::uint64_t id) {
  Exchange& exchange = exchanges_.at(id);
  Server& server = servers_[exchange.server];
  const std::uint64_t execution = ++last_execution_;
  server.running[id] = execution;
  exchange.started = true;
  ++result_.runs;
  Call& call = calls_[exchange.call];
  if (call.request == exchange.request) {
    ++call.runs;
    result_.run_twice += call.runs == 2 ? 1 : 0;
  }
  const bool full = static_cast<int>(server.running.size()) >= options_.slots;
  const bool cold = now_ < server.cold_until;
  const double seconds = options_.mean_execution_seconds *
                         (0.5 + RandomFraction()) * server.factor *
                         (full ? options_.full_factor : 1) * (cold ? 2 : 1);
  Schedule(now_ + FromSeconds(seconds),
           [this, id, execution] { EndExecution(id, execution); });
}

void LoadSimulation::EndExecution(std::uint64_t id, std::uint64_t execution) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return;
  }
  const std::size_t index = found->second.server;
  Server& server = servers_[index];
  const auto running = server.running.find(id);
  if (running == server.running.end() || running->second != execution) {
    return;
  }
  server.running.erase(running);
  RecordWorkEnd(calls_[found->second.call]);
  const bool fails = RandomFraction() < server.failing_fraction;
  const bool loses = RandomFraction() < server.losing_fraction;
  Respond(id, loses   ? SendResult::kLost
              : fails ? SendResult::kFailed
                      : SendResult::kAnswered);
  StartQueued(index);
}

void LoadSimulation::RecordWorkEnd(const Call& call) {
  if (call.left_at) {
    result_.max_work_after_disconnect = std::max<Duration>(
        result_.max_work_after_disconnect, now_ - *call.left_at);
  }
}

void LoadSimulation::StartQueued(std::size_t index) {
  Server& server = servers_[index];
  while (!server.waiting.empty() &&
         static_cast<int>(server.running.size()) < options_.slots) {
    const std::uint64_t next = server.waiting.front();
    server.waiting.pop_front();
    StartExecution(next);
  }
}

void LoadSimulation::CancelExchange(std::uint64_t id) {
  Exchange& exchange = exchanges_.at(id);
  if (exchange.ended) {
    // The response is already in transit.
    return;
  }
  exchange.ended = true;
  result_.wasted_runs += exchange.started ? 1 : 0;
  Schedule(now_ + kOneWayDelay, [this, id] {
    const std::size_t index = exchanges_.at(id).server;
    Server& server = servers_[index];
    if (server.running.erase(id) > 0) {
      RecordWorkEnd(calls_[exchanges_.at(id).call]);
    }
    server.waiting.remove(id);
    exchanges_.erase(id);
    StartQueued(index);
  });
}

void LoadSimulation::Respond(std::uint64_t id, SendResult result) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end() || found->second.ended) {
    return;
  }
  found->second.ended = true;
  const Exchange exchange = found->second;
  const Server& server = servers_[exchange.server];
  const int load = Load(server);
  result_.wasted_runs +=
      exchange.started && result != SendResult::kAnswered ? 1 : 0;
  Schedule(now_ + kOneWayDelay, [this, id, exchange, result, load] {
    exchanges_.erase(id);
    if (options_.policy == Policy::kNone) {
      const bool answered = result == SendResult::kAnswered;
      if (call_index_.contains(exchange.request)) {
        EndAttempt(exchange.call,
                   answered                         ? RequestOutcome::kAnswered
                   : result == SendResult::kRefused ? RequestOutcome::kRefused
                                                    : RequestOutcome::kUnknown,
                   Duration(0));
      }
      return;
    }
    Host& host = hosts_[exchange.host];
    const Server& at = servers_[exchange.server];
    if (result != SendResult::kLost && result != SendResult::kNotConnected) {
      host.pool->RecordLoad(now_, at.record.incarnation, load, 1);
    }
    Perform(exchange.host, host.flow->HandleResult(now_, exchange.request,
                                                   exchange.attempt, result));
  });
}

void LoadSimulation::FinishRequest(
    std::size_t /*host*/,
    const coordination::FinishRequest& conclusion) {
  const auto found = call_index_.find(conclusion.request);
  if (found != call_index_.end()) {
    EndAttempt(found->second, conclusion.outcome, conclusion.retry_after);
  }
}

void LoadSimulation::EndAttempt(std::size_t index,
                                RequestOutcome outcome,
                                Duration retry_after) {
  Call& call = calls_[index];
  call_index_.erase(call.request);
  if (call.done) {
    return;
  }
  if (outcome == RequestOutcome::kAnswered) {
    call.done = true;
    const Duration took = now_ - call.start;
    response_times_.push_back(took);
    ++(took <= options_.target ? result_.in_target : result_.late);
    return;
  }
  const bool refused = outcome == RequestOutcome::kRefused;
  if (refused) {
    ++result_.refusals;
    result_.false_refusals += call.runs > 0 ? 1 : 0;
    result_.max_refusal_time =
        std::max<Duration>(result_.max_refusal_time, now_ - call.attempt_start);
  }
  const bool may_retry = refused || state::MayRetry(options_.kind);
  const Duration pause = call.abusive ? kAbusiveRetryDelay
                         : refused
                             ? std::max<Duration>(retry_after, kOneWayDelay)
                             : kOneWayDelay;
  if (!may_retry || call.attempts_left == 0 || now_ >= call.end) {
    call.done = true;
    return;
  }
  --call.attempts_left;
  // Callers wait for the requested retry delay, but no longer than a third of
  // the time left until their deadline.
  Schedule(now_ + std::min<Duration>(pause, (call.end - now_) / 3),
           [this, index] { StartAttempt(index); });
}

}  // namespace mustardflow::tests
