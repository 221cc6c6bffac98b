// The simulation behind the load tests.

#include "tests/load/load_simulation.h"

#include <algorithm>
#include <utility>

namespace mustardflow::tests {

using coordination::AbortAttempt;
using coordination::Ending;
using coordination::ReportAttempt;
using coordination::SendAttempt;
using coordination::SendResult;
using state::Duration;
using state::Instant;
using std::chrono::milliseconds;

namespace {

constexpr std::string_view kService = "desk";
// One way between a host and a server, and between a caller and a host.
constexpr Duration kWay = milliseconds(1);
constexpr Duration kTick = milliseconds(20);
// How long a refused caller that does not wait as told takes to come back.
constexpr Duration kAbusivePause = milliseconds(10);
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
      began_(now_) {
  bounds_.retry_ratio = 0.2;
  bounds_.retry_slack = 50;
  for (std::size_t i = 0; i < options_.servers; ++i) {
    Server server;
    server.record.life = {"s" + std::to_string(i), 1};
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
    range.holder = servers_[i].record.life;
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
        "near", bounds_, [this] { return Draw(); });
    host.pool->SetConfig(*config);
    host.pool->SetHostCount(options_.hosts);
    host.flow = std::make_unique<coordination::RequestFlow>(
        host.view, *host.pool, bounds_, [this] { return Draw(); });
  }
  GiveRecords();
}

void LoadSimulation::GiveRecords() {
  for (Host& host : hosts_) {
    for (const Server& server : servers_) {
      if (server.up) {
        host.pool->Update(now_, server.record);
      } else {
        host.pool->Remove(server.record.life.id);
      }
    }
  }
}

void LoadSimulation::At(Instant at, std::function<void()> apply) {
  events_.push({at, ++last_event_, std::move(apply)});
}

LoadResult LoadSimulation::Run(const std::vector<ScheduledChange>& changes) {
  last_arrival_ = began_ + options_.length;
  for (const ScheduledChange& change : changes) {
    At(began_ + change.at, [this, &change] { change.apply(this); });
  }
  At(now_, [this] { Arrive(); });
  for (std::size_t host = 0; host < hosts_.size(); ++host) {
    const Instant end = last_arrival_ + options_.deadline + milliseconds(500);
    for (Instant at = now_ + kTick; at < end; at += kTick) {
      At(at + milliseconds(host % 20),
         [this, host] { Perform(host, hosts_[host].flow->Tick(now_)); });
    }
  }
  while (!events_.empty()) {
    const Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.apply();
  }
  std::sort(times_.begin(), times_.end());
  if (!times_.empty()) {
    result_.p99 = times_[times_.size() * 99 / 100];
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

void LoadSimulation::SetFailing(double share, double part) {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const bool chosen =
        static_cast<double>(i) < share * static_cast<double>(servers_.size());
    servers_[i].failing = chosen ? part : 0;
  }
}

void LoadSimulation::SetLosing(double share, double part) {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    const bool chosen =
        static_cast<double>(i) < share * static_cast<double>(servers_.size());
    servers_[i].losing = chosen ? part : 0;
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
      ++server.record.life.born;
      server.record.warmup_left = warmup;
      server.cold_until = now_ + warmup;
    }
  }
  GiveRecords();
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
      At(now_ + kWay, [this, id = id] { Answer(id, SendResult::kLost); });
    }
  }
  At(now_ + milliseconds(600), [this] { GiveRecords(); });
}

int LoadSimulation::LoadOf(const Server& server) const {
  return static_cast<int>(server.running.size() + server.waiting.size());
}

void LoadSimulation::Arrive() {
  if (now_ >= last_arrival_) {
    return;
  }
  const double pause =
      std::exponential_distribution<double>(options_.rate)(random_);
  At(now_ + FromSeconds(pause), [this] { Arrive(); });
  Call call;
  call.began = now_;
  call.end = now_ + options_.deadline;
  call.abusive = options_.abusive_retries > 0 && Draw() < 0.5;
  call.attempts_left =
      call.abusive ? options_.abusive_retries : options_.retries;
  if (options_.keyed) {
    const bool hot = Draw() < options_.hot_share;
    call.key =
        hot ? 7 : static_cast<state::ShardKey>(Draw() * state::kShardKeyCount);
  }
  calls_.push_back(call);
  ++result_.requests;
  Attempt(calls_.size() - 1);
}

void LoadSimulation::Attempt(std::size_t index) {
  Call& call = calls_[index];
  call.runs = 0;
  call.host =
      static_cast<std::size_t>(Draw() * static_cast<double>(hosts_.size()));
  call.request = ++last_request_;
  call.attempt_began = now_;
  call_of_[call.request] = index;
  const coordination::RequestId id = call.request;
  if (options_.policy == Policy::kNone) {
    AttemptWithoutPolicy(index);
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
    At(now_ + options_.disconnect_after, [this, id, host, index] {
      if (call_of_.contains(id)) {
        calls_[index].done = true;
        calls_[index].attempts_left = 0;
        Perform(host, hosts_[host].flow->HandleCallerDisconnect(now_, id));
      }
    });
  }
  Perform(host, hosts_[host].flow->Start(now_, id, std::move(terms)));
}

void LoadSimulation::AttemptWithoutPolicy(std::size_t index) {
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
          : static_cast<std::size_t>(Draw() * count);
  send.server = servers_[server].record;
  Send(call.host, send);
  const coordination::RequestId id = call.request;
  At(call.end, [this, id] {
    const auto found = call_of_.find(id);
    if (found == call_of_.end()) {
      return;
    }
    const std::size_t call_index = found->second;
    for (auto& [exchange, entry] : exchanges_) {
      if (entry.request == id && !entry.ended) {
        Leave(exchange);
      }
    }
    EndAttempt(call_index, Ending::kTimedOut, Duration(0));
  });
}

void LoadSimulation::Perform(std::size_t host,
                             const coordination::FlowActions& actions) {
  struct Visitor {
    LoadSimulation* world;
    std::size_t host;

    void operator()(const SendAttempt& send) const { world->Send(host, send); }
    void operator()(const AbortAttempt& abort) const {
      for (auto& [id, exchange] : world->exchanges_) {
        if (exchange.host == host && exchange.attempt == abort.attempt) {
          world->Leave(id);
          return;
        }
      }
    }
    void operator()(const coordination::FinishRequest& conclusion) const {
      world->FinishRequest(host, conclusion);
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
  exchange.call = call_of_.at(send.request);
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].record.life.id == send.server.life.id) {
      exchange.server = i;
    }
  }
  const std::uint64_t id = ++last_exchange_;
  exchanges_[id] = exchange;
  At(now_ + kWay, [this, id] { Reach(id); });
}

void LoadSimulation::Reach(std::uint64_t id) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end() || found->second.ended) {
    return;
  }
  Exchange& exchange = found->second;
  Server& server = servers_[exchange.server];
  if (!server.up) {
    Answer(id, SendResult::kNotConnected);
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
  if (static_cast<int>(server.running.size()) < options_.slots) {
    Begin(id);
  } else if (static_cast<int>(server.waiting.size()) < options_.queue) {
    server.waiting.push_back(id);
  } else {
    Answer(id, SendResult::kRefused);
  }
}

void LoadSimulation::Begin(std::uint64_t id) {
  Exchange& exchange = exchanges_.at(id);
  Server& server = servers_[exchange.server];
  const std::uint64_t work = ++last_work_;
  server.running[id] = work;
  exchange.begun = true;
  ++result_.runs;
  Call& call = calls_[exchange.call];
  if (call.request == exchange.request) {
    ++call.runs;
    result_.run_twice += call.runs == 2 ? 1 : 0;
  }
  const bool full = static_cast<int>(server.running.size()) >= options_.slots;
  const bool cold = now_ < server.cold_until;
  const double seconds = options_.work * (0.5 + Draw()) * server.factor *
                         (full ? options_.full_factor : 1) * (cold ? 2 : 1);
  At(now_ + FromSeconds(seconds), [this, id, work] { EndWork(id, work); });
}

void LoadSimulation::EndWork(std::uint64_t id, std::uint64_t work) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end()) {
    return;
  }
  const std::size_t index = found->second.server;
  Server& server = servers_[index];
  const auto running = server.running.find(id);
  if (running == server.running.end() || running->second != work) {
    return;
  }
  server.running.erase(running);
  const bool fails = Draw() < server.failing;
  const bool loses = Draw() < server.losing;
  Answer(id, loses   ? SendResult::kLost
             : fails ? SendResult::kFailed
                     : SendResult::kAnswered);
  StartWaiting(index);
}

void LoadSimulation::StartWaiting(std::size_t index) {
  Server& server = servers_[index];
  while (!server.waiting.empty() &&
         static_cast<int>(server.running.size()) < options_.slots) {
    const std::uint64_t next = server.waiting.front();
    server.waiting.pop_front();
    Begin(next);
  }
}

// The host has closed the connection; the server drops the request.
void LoadSimulation::Leave(std::uint64_t id) {
  Exchange& exchange = exchanges_.at(id);
  if (exchange.ended) {
    // Its answer is on the way.
    return;
  }
  exchange.ended = true;
  result_.wasted_runs += exchange.begun ? 1 : 0;
  At(now_ + kWay, [this, id] {
    const std::size_t index = exchanges_.at(id).server;
    Server& server = servers_[index];
    server.running.erase(id);
    server.waiting.remove(id);
    exchanges_.erase(id);
    StartWaiting(index);
  });
}

void LoadSimulation::Answer(std::uint64_t id, SendResult result) {
  const auto found = exchanges_.find(id);
  if (found == exchanges_.end() || found->second.ended) {
    return;
  }
  found->second.ended = true;
  const Exchange exchange = found->second;
  const Server& server = servers_[exchange.server];
  const int load = LoadOf(server);
  result_.wasted_runs +=
      exchange.begun && result != SendResult::kAnswered ? 1 : 0;
  At(now_ + kWay, [this, id, exchange, result, load] {
    exchanges_.erase(id);
    if (options_.policy == Policy::kNone) {
      const bool answered = result == SendResult::kAnswered;
      if (call_of_.contains(exchange.request)) {
        EndAttempt(exchange.call,
                   answered                         ? Ending::kAnswered
                   : result == SendResult::kRefused ? Ending::kRefused
                                                    : Ending::kUnknown,
                   Duration(0));
      }
      return;
    }
    Host& host = hosts_[exchange.host];
    const Server& at = servers_[exchange.server];
    if (result != SendResult::kLost && result != SendResult::kNotConnected) {
      host.pool->RecordLoad(now_, at.record.life, load, 1);
    }
    Perform(exchange.host, host.flow->HandleResult(now_, exchange.request,
                                                   exchange.attempt, result));
  });
}

void LoadSimulation::FinishRequest(
    std::size_t /*host*/,
    const coordination::FinishRequest& conclusion) {
  const auto found = call_of_.find(conclusion.request);
  if (found != call_of_.end()) {
    EndAttempt(found->second, conclusion.ending, conclusion.retry_after);
  }
}

void LoadSimulation::EndAttempt(std::size_t index,
                                Ending ending,
                                Duration retry_after) {
  Call& call = calls_[index];
  call_of_.erase(call.request);
  if (call.done) {
    return;
  }
  if (ending == Ending::kAnswered) {
    call.done = true;
    const Duration took = now_ - call.began;
    times_.push_back(took);
    ++(took <= options_.target ? result_.in_target : result_.late);
    return;
  }
  const bool refused = ending == Ending::kRefused;
  if (refused) {
    ++result_.refusals;
    result_.false_refusals += call.runs > 0 ? 1 : 0;
    result_.max_refusal_time =
        std::max<Duration>(result_.max_refusal_time, now_ - call.attempt_began);
  }
  const bool may_come_back = refused || state::MayRepeat(options_.kind);
  const Duration pause = call.abusive ? kAbusivePause
                         : refused    ? std::max<Duration>(retry_after, kWay)
                                      : kWay;
  if (!may_come_back || call.attempts_left == 0 || now_ >= call.end) {
    call.done = true;
    return;
  }
  --call.attempts_left;
  // Callers wait as told, up to a third of the time that they have left.
  At(now_ + std::min<Duration>(pause, (call.end - now_) / 3),
     [this, index] { Attempt(index); });
}

}  // namespace mustardflow::tests
