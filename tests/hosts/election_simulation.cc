// The store, the messages and the clock of the simulated hosts.

#include "tests/hosts/election_simulation.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace mustardflow::tests {

namespace {

using coordination::WriteOutcome;
using state::Duration;
using state::Instant;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(20);
constexpr Duration kHeartbeatInterval = milliseconds(200);
constexpr Duration kRegistrationTime = milliseconds(450);
constexpr std::size_t kQueriedHosts = 24;

state::Address AddressOf(int host) {
  return {std::to_string(host), 1};
}

double StrengthOf(int host) {
  return host % 5 == 0 ? 0.5 : 0.1;
}

}  // namespace

ElectionSimulation::ElectionSimulation(int hosts,
                                       bool bootstrap,
                                       std::uint64_t seed)
    : random_(seed), hosts_(static_cast<std::size_t>(hosts)) {
  if (!bootstrap) {
    ledger_.term = 7;
    ledger_.claim = "earlier";
    ledger_.end = 100;
    for (int i = 0; i < hosts; ++i) {
      registered_hosts_.push_back(i);
    }
  }
  for (int i = 0; i < hosts; ++i) {
    Host& host = hosts_[static_cast<std::size_t>(i)];
    host.name = "host-" + std::to_string(i);
    host.peers =
        std::make_unique<coordination::PeerDirectory>(host.name, StrengthOf(i));
    host.start = now_ + microseconds(random_() % 300000);
    Schedule(host.start - now_, [this, i, bootstrap] {
      Host& started = hosts_[static_cast<std::size_t>(i)];
      started.election = std::make_unique<coordination::LeaderElection>(
          now_, started.name, static_cast<double>(random_() % 1000) / 1000,
          bootstrap);
      Schedule(StoreDelay(), [this, i] { registered_hosts_.push_back(i); });
      Schedule(bootstrap ? kRegistrationTime : StoreDelay(),
               [this, i] { Register(i); });
      Tick(i);
    });
  }
}

void ElectionSimulation::Schedule(Duration delay, Event event) {
  events_.emplace(now_ + delay, std::move(event));
}

Duration ElectionSimulation::MessageDelay() {
  return microseconds(2000 + random_() % 10000);
}

Duration ElectionSimulation::StoreDelay() {
  return microseconds(6000 + random_() % 24000);
}

void ElectionSimulation::Advance(Duration time) {
  const Instant end = now_ + time;
  while (!events_.empty() && events_.begin()->first <= end) {
    now_ = events_.begin()->first;
    const Event event = std::move(events_.begin()->second);
    events_.erase(events_.begin());
    event();
  }
  now_ = end;
}

void ElectionSimulation::Register(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  if (!store_up_) {
    Schedule(milliseconds(250), [this, index] { Register(index); });
    return;
  }
  for (const int other : registered_hosts_) {
    host.peers->RecordRegistered(
        hosts_[static_cast<std::size_t>(other)].name,
        {AddressOf(other), "z", StrengthOf(other), now_});
  }
  host.registered = true;
  host.election->HandleTerm(ledger_.term);
  host.election->SetRank(host.peers->Rank(), host.peers->KnowsMuchStronger());
  host.election->Join(now_);
}

void ElectionSimulation::Tick(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  if (!host.alive) {
    return;
  }
  Schedule(kTickInterval, [this, index] { Tick(index); });
  if (!host.registered) {
    return;
  }
  for (const auto& action : host.election->Tick(now_)) {
    Perform(index, action);
  }
  if (host.election->leading() && now_ >= host.next_heartbeat) {
    host.next_heartbeat = now_ + kHeartbeatInterval;
    SendHeartbeats(index);
  }
}

void ElectionSimulation::Perform(int index,
                                 const coordination::ElectionAction& action) {
  struct Visitor {
    ElectionSimulation* simulation;
    int index;

    void operator()(const coordination::QueryHosts&) const {
      simulation->Query(index);
    }
    void operator()(const coordination::ReadLedger&) const {
      ElectionSimulation* const s = simulation;
      s->Schedule(s->StoreDelay(), [s, host = index] {
        s->hosts_[static_cast<std::size_t>(host)].election->HandleLedger(
            s->now_, s->store_up_ ? std::optional(s->ledger_) : std::nullopt);
      });
    }
    void operator()(const coordination::ClaimTerm& claim) const {
      ++simulation->claims_;
      simulation->Append(index, claim.term, claim.ledger_end);
    }
    void operator()(const coordination::RenewTerm&) const {
      simulation->Append(
          index,
          simulation->hosts_[static_cast<std::size_t>(index)].election->term(),
          std::nullopt);
    }
    void operator()(const coordination::BeginLeading&) const {
      ++simulation->terms_;
      simulation->leader_since_ =
          simulation->now_ - Instant(std::chrono::seconds(1000));
    }
    void operator()(const coordination::StopLeading&) const {}
  };
  std::visit(Visitor{this, index}, action);
}

void ElectionSimulation::Append(int index,
                                std::int64_t term,
                                std::optional<std::int64_t> at) {
  const Instant sent = now_;
  Schedule(StoreDelay(), [this, index, term, at, sent] {
    Host& host = hosts_[static_cast<std::size_t>(index)];
    WriteOutcome outcome = WriteOutcome::kDone;
    if (!store_up_) {
      outcome = WriteOutcome::kUnknown;
    } else if (term < ledger_.term) {
      outcome = WriteOutcome::kFenced;
    } else if (at && *at != ledger_.end) {
      outcome = WriteOutcome::kConflict;
    } else {
      ledger_.renewal = term == ledger_.term ? ledger_.renewal + 1 : 0;
      ledger_.term = term;
      ledger_.claim = host.name;
      ++ledger_.end;
    }
    if (host.alive) {
      host.election->HandleWrite(now_, sent, outcome);
    }
  });
}

void ElectionSimulation::Query(int index) {
  const Host& host = hosts_[static_cast<std::size_t>(index)];
  const auto random = [this] {
    return static_cast<double>(random_() >> 11) / 9007199254740992.0;
  };
  for (const state::Address& to : host.peers->Sample(kQueriedHosts, random)) {
    const int other = std::stoi(to.ip);
    Schedule(MessageDelay() + MessageDelay(), [this, index, other] {
      const Host& asked = hosts_[static_cast<std::size_t>(other)];
      if (!asked.alive || !asked.election) {
        return;
      }
      std::optional<Duration> age;
      if (asked.election->leading()) {
        age = Duration(0);
      } else if (const auto heard = asked.election->last_heartbeat()) {
        age = now_ - *heard;
      }
      hosts_[static_cast<std::size_t>(index)].election->HandleQueryReply(
          now_, asked.election->term(), age);
    });
  }
}

void ElectionSimulation::SendHeartbeats(int index) {
  const std::int64_t term =
      hosts_[static_cast<std::size_t>(index)].election->term();
  const bool stepping_down =
      hosts_[static_cast<std::size_t>(index)].election->stepping_down(now_);
  for (std::size_t other = 0; other < hosts_.size(); ++other) {
    // Through a relay.
    Schedule(MessageDelay() + MessageDelay(),
             [this, other, term, stepping_down] {
               Host& host = hosts_[other];
               if (host.alive && host.election) {
                 host.election->HandleHeartbeat(now_, term, stepping_down);
               }
             });
  }
}

void ElectionSimulation::KillLeader() {
  if (const auto index = leader()) {
    hosts_[static_cast<std::size_t>(*index)].alive = false;
  }
}

std::optional<int> ElectionSimulation::leader() const {
  std::optional<int> found;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const Host& host = hosts_[i];
    if (host.alive && host.election && host.election->leading()) {
      if (found) {
        return std::nullopt;
      }
      found = static_cast<int>(i);
    }
  }
  return found;
}

}  // namespace mustardflow::tests
