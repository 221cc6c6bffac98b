// Plays servers, the store, heartbeats and reports in steps of 20 ms.

#include "tests/requests/crash_simulation.h"

#include <algorithm>
#include <stdexcept>
#include <utility>
#include <variant>

namespace mustardflow::tests {

using coordination::RequestOutcome;
using coordination::SendResult;
using state::Duration;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr Duration kStep = milliseconds(20);
constexpr Duration kWork = milliseconds(100);
// Three check-in intervals of 870 ms, and the time until all hosts know of it.
constexpr Duration kExpiry = milliseconds(2610 + 350);
constexpr Duration kBackAfter = seconds(3);
constexpr Duration kDeadline = seconds(1);
constexpr Duration kReportInterval = milliseconds(400);
constexpr Duration kHeartbeatInterval = milliseconds(200);
const state::Address kGateAddress{"10.0.1.1", 7201};

}  // namespace

CrashSimulation::CrashSimulation(std::size_t hosts, std::size_t servers)
    : hosts_(hosts) {
  state::ServiceRules rules;
  const auto config = std::make_shared<state::RoutingConfig>(
      1, std::vector<state::Route>(),
      std::map<std::string, state::ServiceRules>{{"desk", rules}},
      state::IngressLimits());
  const auto random = [this] {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  };
  for (Host& host : hosts_) {
    host.view.hosts = hosts;
    host.pool =
        std::make_unique<coordination::ServerPool>("near", bounds_, random);
    host.pool->SetConfig(*config);
    host.view.config = config;
    host.flow = std::make_unique<coordination::RequestFlow>(
        host.view, *host.pool, bounds_, random);
  }
  for (std::size_t i = 0; i < servers; ++i) {
    Server& server = servers_.emplace_back();
    server.record.address = {"10.0.0.1", static_cast<std::uint16_t>(80 + i)};
    server.record.incarnation = {"s" + std::to_string(next_server_++), 1};
    server.record.service = "desk";
    server.record.zone = "near";
    server.record.slots = 60;
    UpdateEntry(server.record);
  }
}

void CrashSimulation::UseKeys() {
  keyed_ = true;
  const auto up = Up();
  state::OwnedRange range;
  range.last = state::kShardKeyCount - 1;
  range.serving = !up.empty();
  if (range.serving) {
    range.holder = servers_[up.front()].record.incarnation;
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    state::OwnershipTable& table = hosts_[i].view.table;
    table.services["desk"] = {range};
    table.gates.clear();
    if (gate_) {
      table.gates[range.holder.id] = kGateAddress;
    }
    ++table.revision;
    Perform(i, hosts_[i].flow->HandleTableChange(now_));
  }
}

void CrashSimulation::UseGate() {
  gate_ = hosts_.size() / 2;
  hosts_[*gate_].flow->SetOwnGate(kGateAddress);
  UseKeys();
}

std::size_t CrashSimulation::Ask(Fingerprint request, state::RequestKind kind) {
  const std::size_t host = random_() % hosts_.size();
  coordination::RequestTerms terms;
  terms.kind = kind;
  terms.service = "desk";
  if (keyed_) {
    terms.key = 5;
  }
  terms.fingerprint = request;
  terms.target_latency = milliseconds(400);
  terms.max_attempts = max_attempts_;
  terms.received = now_;
  terms.end = now_ + kDeadline;
  const std::size_t number = endings_.size();
  endings_.push_back({request, {}, now_, {}});
  const coordination::RequestId id = ++next_request_;
  hosts_[host].endings[id] = number;
  hosts_[host].terms[id] = terms;
  Perform(host, hosts_[host].flow->Start(now_, id, terms));
  return number;
}

void CrashSimulation::Perform(std::size_t host,
                              const coordination::FlowActions& actions) {
  for (const coordination::FlowAction& action : actions) {
    if (const auto* send = std::get_if<coordination::SendAttempt>(&action)) {
      send->gate ? Forward(host, *send) : Deliver(host, *send);
    } else if (const auto* abort =
                   std::get_if<coordination::AbortAttempt>(&action)) {
      for (Server& server : servers_) {
        server.work.erase({host, abort->attempt});
      }
    } else if (const auto* end =
                   std::get_if<coordination::FinishRequest>(&action)) {
      const auto forwarded = hosts_[host].forwarded.find(end->request);
      if (forwarded != hosts_[host].forwarded.end()) {
        ReturnFromGate(forwarded->second, *end);
        continue;
      }
      Ending& ending = endings_[hosts_[host].endings.at(end->request)];
      ending.end = *end;
      ending.at = now_;
    }
  }
}

void CrashSimulation::Forward(std::size_t host,
                              const coordination::SendAttempt& send) {
  const coordination::RequestId id = ++next_request_;
  Host& gate = hosts_[*gate_];
  coordination::RequestTerms terms = hosts_[host].terms.at(send.request);
  terms.forwarded = true;
  terms.trial = send.trial;
  gate.forwarded[id] = {host, send.request, send.attempt};
  gate.endings[id] = hosts_[host].endings.at(send.request);
  hosts_[host].flow->HandleConnected(send.request, send.attempt);
  results_.push_back([this, id, terms] {
    Perform(*gate_, hosts_[*gate_].flow->Start(now_, id, terms));
  });
}

void CrashSimulation::ReturnFromGate(const Forwarded& forwarded,
                                     const coordination::FinishRequest& end) {
  const SendResult result =
      end.outcome == RequestOutcome::kAnswered   ? SendResult::kAnswered
      : end.outcome == RequestOutcome::kRefused  ? SendResult::kGateRefused
      : end.outcome == RequestOutcome::kTimedOut ? SendResult::kGateTimedOut
                                                 : SendResult::kGateUnknown;
  results_.push_back([this, forwarded, result, after = end.retry_after] {
    Perform(forwarded.host,
            hosts_[forwarded.host].flow->HandleResult(
                now_, forwarded.request, forwarded.attempt, result, after));
  });
}

CrashSimulation::Server* CrashSimulation::FindServer(const std::string& id) {
  const auto found = std::find_if(servers_.begin(), servers_.end(),
                                  [&id](const Server& server) {
                                    return server.record.incarnation.id == id;
                                  });
  return found == servers_.end() ? nullptr : &*found;
}

void CrashSimulation::Deliver(std::size_t host,
                              const coordination::SendAttempt& send) {
  const std::size_t number = hosts_[host].endings.at(send.request);
  const Fingerprint fingerprint = endings_[number].request;
  Server* server = FindServer(send.server.incarnation.id);
  const Server::Work work{send.request, fingerprint, now_ + kWork};
  if (server == nullptr || !server->up) {
    results_.push_back([=, this, attempt = send.attempt] {
      Finish(host, attempt, work, SendResult::kNotConnected);
    });
    return;
  }
  hosts_[host].flow->HandleConnected(send.request, send.attempt);
  reached_.try_emplace(number, now_);
  server->work[{host, send.attempt}] = work;
  if (poison_.contains(fingerprint)) {
    crashes_[fingerprint].push_back(now_);
    Crash(static_cast<std::size_t>(server - servers_.data()));
  }
}

void CrashSimulation::Finish(std::size_t host,
                             coordination::AttemptId attempt,
                             const Server::Work& work,
                             SendResult result) {
  Perform(host, hosts_[host].flow->HandleResult(now_, work.request, attempt,
                                                result, {}));
}

void CrashSimulation::Crash(std::size_t number) {
  Server& server = servers_[number];
  server.up = false;
  server.entry_ends_at = now_ + kExpiry;
  server.back_at = now_ + kBackAfter;
  for (const auto& [key, work] : server.work) {
    results_.push_back([this, key = key, work = work] {
      Finish(key.first, key.second, work, SendResult::kLost);
    });
  }
  server.work.clear();
}

std::size_t CrashSimulation::ServerOf(Fingerprint request) const {
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    for (const auto& [key, work] : servers_[i].work) {
      if (work.fingerprint == request) {
        return i;
      }
    }
  }
  throw std::runtime_error("no server has the request");
}

void CrashSimulation::ResetConnections() {
  for (Server& server : servers_) {
    for (const auto& [key, work] : server.work) {
      results_.push_back([this, key = key, work = work] {
        Finish(key.first, key.second, work, SendResult::kLost);
      });
    }
    server.work.clear();
  }
}

void CrashSimulation::Drain(std::size_t server) {
  servers_[server].record.draining = true;
  UpdateEntry(servers_[server].record);
}

void CrashSimulation::RemoveEntry(std::size_t server) {
  for (Host& host : hosts_) {
    host.pool->Remove(now_, servers_[server].record.incarnation.id);
  }
}

void CrashSimulation::UpdateEntry(const state::ServerRecord& record) {
  for (Host& host : hosts_) {
    host.pool->Update(now_, record);
  }
}

void CrashSimulation::ChangeLeader() {
  ++term_;
  tracker_ = coordination::CrashTracker();
  tracker_.Begin(now_, hosts_.back().flow->crash_watch().List(now_));
}

void CrashSimulation::StepServers() {
  bool moved = false;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    Server& server = servers_[i];
    if (server.entry_ends_at && now_ >= *server.entry_ends_at) {
      server.entry_ends_at.reset();
      RemoveEntry(i);
      moved = true;
    }
    if (server.back_at && now_ >= *server.back_at) {
      server.back_at.reset();
      server.up = true;
      server.record.draining = false;
      server.record.incarnation.id = "s" + std::to_string(next_server_++);
      UpdateEntry(server.record);
      moved = true;
    }
    const auto work = server.work;
    for (const auto& [key, item] : work) {
      if (now_ >= item.done_at) {
        server.work.erase(key);
        Finish(key.first, key.second, item, SendResult::kAnswered);
      }
    }
  }
  if (keyed_ && moved) {
    UseKeys();
  }
}

void CrashSimulation::StepHosts() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    Host& host = hosts_[i];
    host.view.servers_confirmed_at = now_;
    Perform(i, host.flow->Tick(now_));
    coordination::CrashWatch& watch = host.flow->crash_watch();
    if (watch.has_news() || now_ >= host.next_report) {
      host.next_report = now_ + kReportInterval;
      const coordination::CrashReport report = watch.MakeReport(now_, term_);
      if (!reports_lost_) {
        heartbeat_due_ = tracker_.Record(now_, report) || heartbeat_due_;
      }
    }
  }
}

void CrashSimulation::StepLeader() {
  if (!heartbeat_due_ && now_ < next_heartbeat_) {
    return;
  }
  heartbeat_due_ = false;
  next_heartbeat_ = now_ + kHeartbeatInterval;
  list_ = tracker_.Update(now_);
  for (Host& host : hosts_) {
    host.flow->crash_watch().HandleList(now_, list_);
  }
}

void CrashSimulation::Run(Duration time, const std::function<void()>& step) {
  const Instant end = now_ + time;
  while (now_ < end) {
    now_ += kStep;
    step();
    while (!results_.empty()) {
      for (const auto& result : std::exchange(results_, {})) {
        result();
      }
    }
    StepServers();
    StepHosts();
    StepLeader();
  }
}

std::vector<std::size_t> CrashSimulation::Up() const {
  std::vector<std::size_t> up;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].up && !servers_[i].record.draining) {
      up.push_back(i);
    }
  }
  return up;
}

std::size_t CrashSimulation::ReachedAfter(Fingerprint request,
                                          Instant time) const {
  return static_cast<std::size_t>(
      std::count_if(reached_.begin(), reached_.end(), [&](const auto& entry) {
        return endings_[entry.first].request == request && entry.second > time;
      }));
}

std::size_t CrashSimulation::Count(Fingerprint request,
                                   Instant time,
                                   RequestOutcome outcome) const {
  return static_cast<std::size_t>(
      std::count_if(endings_.begin(), endings_.end(), [&](const Ending& end) {
        return end.request == request && end.sent > time &&
               end.at != Instant() && end.end.outcome == outcome;
      }));
}

std::size_t CrashSimulation::RefusedCount() const {
  std::size_t refused = 0;
  for (const Host& host : hosts_) {
    refused = std::max(refused, host.flow->crash_watch().refused_count());
  }
  return refused;
}

}  // namespace mustardflow::tests
