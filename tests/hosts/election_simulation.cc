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
  copies_.emplace_back(Instant(), ledger_);
  for (int i = 0; i < hosts; ++i) {
    Host& host = hosts_[static_cast<std::size_t>(i)];
    host.name = "host-" + std::to_string(i);
    host.peers =
        std::make_unique<coordination::PeerDirectory>(host.name, StrengthOf(i));
    host.start = now_ + microseconds(random_() % 300000);
    Schedule(host.start - now_,
             [this, i, bootstrap] { StartProcess(i, bootstrap); });
  }
}

void ElectionSimulation::StartProcess(int index, bool bootstrap) {
  Host& started = hosts_[static_cast<std::size_t>(index)];
  started.alive = true;
  const std::string claim =
      started.name +
      (started.life > 0 ? "-" + std::to_string(started.life) : "");
  started.election = std::make_unique<coordination::LeaderElection>(
      now_, claim, static_cast<double>(random_() % 1000) / 1000, bootstrap);
  Schedule(StoreDelay(), [this, index] { registered_hosts_.push_back(index); });
  Deliver(index, bootstrap ? kRegistrationTime : StoreDelay(),
          [this, index] { Register(index); });
  Tick(index);
}

void ElectionSimulation::RestartAll() {
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    Host& host = hosts_[i];
    host.alive = false;
    host.registered = false;
    host.era = 0;
    ++host.life;
    Schedule(microseconds(random_() % 300000),
             [this, i] { StartProcess(static_cast<int>(i), false); });
  }
}

void ElectionSimulation::LoseRecords(Duration age) {
  ledger_ = coordination::LedgerHead();
  while (!copies_.empty() && copies_.back().first > now_ - age) {
    copies_.pop_back();
  }
  if (!copies_.empty()) {
    ledger_ = copies_.back().second;
  }
  ++era_;
}

void ElectionSimulation::Deliver(int index, Duration delay, Event event) {
  const int life = hosts_[static_cast<std::size_t>(index)].life;
  Schedule(delay, [this, index, life, event = std::move(event)] {
    const Host& host = hosts_[static_cast<std::size_t>(index)];
    if (host.alive && host.life == life) {
      event();
    }
  });
}

Duration ElectionSimulation::AnswerDelay() {
  return era_ > 0 ? MessageDelay() : Duration(0);
}

void ElectionSimulation::HandleEra(int index, std::int64_t era) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  host.era = std::max(host.era, era);
  host.election->HandleEra(now_, host.era);
}

void ElectionSimulation::RecordWonTerm(int index, std::int64_t term) {
  repeated_term_ = repeated_term_ || !won_terms_.insert(term).second;
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const Host& host = hosts_[i];
    const bool knows_higher = host.alive && host.election &&
                              static_cast<int>(i) != index &&
                              host.election->term() > term;
    repeated_term_ = repeated_term_ || (era_ > 0 && knows_higher);
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
    Deliver(index, milliseconds(250), [this, index] { Register(index); });
    return;
  }
  HandleEra(index, era_);
  for (const int other : registered_hosts_) {
    host.peers->RecordRegistered(
        hosts_[static_cast<std::size_t>(other)].name,
        {AddressOf(other), "z", StrengthOf(other), now_});
  }
  host.registered = true;
  host.election->HandleTerm(ledger_.term, ledger_.era);
  host.election->SetRank(host.peers->Rank(), host.peers->KnowsMuchStronger());
  host.election->Join(now_);
}

void ElectionSimulation::Tick(int index) {
  Host& host = hosts_[static_cast<std::size_t>(index)];
  if (!host.alive) {
    return;
  }
  Deliver(index, kTickInterval, [this, index] { Tick(index); });
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
      s->Deliver(index, s->StoreDelay(), [s, host = index] {
        std::optional<coordination::LedgerHead> head;
        if (s->store_up_) {
          head = s->ledger_;
          head->store_era = s->era_;
        }
        const auto deliver = [s, host, head] {
          s->HandleEra(host, head ? head->store_era : 0);
          s->hosts_[static_cast<std::size_t>(host)].election->HandleLedger(
              s->now_, head);
        };
        if (const Duration delay = s->AnswerDelay(); delay > Duration(0)) {
          s->Deliver(host, delay, deliver);
        } else {
          deliver();
        }
      });
    }
    void operator()(const coordination::ClaimTerm& claim) const {
      ++simulation->claims_;
      simulation->Append(index, claim.term, claim.era, claim.ledger_end);
    }
    void operator()(const coordination::RenewTerm&) const {
      const auto& election =
          *simulation->hosts_[static_cast<std::size_t>(index)].election;
      simulation->Append(index, election.term(), election.term_era(),
                         std::nullopt);
    }
    void operator()(const coordination::BeginLeading& begin) const {
      ++simulation->terms_;
      simulation->RecordWonTerm(index, begin.term);
      simulation->leader_since_ =
          simulation->now_ - Instant(std::chrono::seconds(1000));
    }
    void operator()(const coordination::StopLeading&) const {}
  };
  std::visit(Visitor{this, index}, action);
}

void ElectionSimulation::Append(int index,
                                std::int64_t term,
                                std::int64_t era,
                                std::optional<std::int64_t> at) {
  const Instant sent = now_;
  const int life = hosts_[static_cast<std::size_t>(index)].life;
  Schedule(StoreDelay(), [this, index, term, era, at, sent, life] {
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
      ledger_.era = era;
      ledger_.claim = host.name + (life > 0 ? "-" + std::to_string(life) : "");
      ++ledger_.end;
      copies_.emplace_back(now_, ledger_);
    }
    const std::int64_t answer_era = store_up_ ? era_ : 0;
    const auto deliver = [this, index, sent, outcome, answer_era] {
      HandleEra(index, answer_era);
      // As StoreClient does with an answer of an earlier era.
      Host& answered = hosts_[static_cast<std::size_t>(index)];
      answered.election->HandleWrite(
          now_, sent,
          answer_era < answered.era ? WriteOutcome::kUnknown : outcome);
    };
    if (!host.alive || host.life != life) {
      return;
    }
    if (const Duration delay = AnswerDelay(); delay > Duration(0)) {
      Deliver(index, delay, deliver);
    } else {
      deliver();
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
    Deliver(index, MessageDelay() + MessageDelay(), [this, index, other] {
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
          now_, asked.election->term(), age, asked.election->term_era());
    });
  }
}

void ElectionSimulation::SendHeartbeats(int index) {
  const std::int64_t term =
      hosts_[static_cast<std::size_t>(index)].election->term();
  const std::int64_t era =
      hosts_[static_cast<std::size_t>(index)].election->term_era();
  const std::int64_t store_era = hosts_[static_cast<std::size_t>(index)].era;
  const bool stepping_down =
      hosts_[static_cast<std::size_t>(index)].election->stepping_down(now_);
  for (std::size_t other = 0; other < hosts_.size(); ++other) {
    // Through a relay.
    Schedule(MessageDelay() + MessageDelay(),
             [this, other, term, era, store_era, stepping_down] {
               Host& host = hosts_[other];
               if (host.alive && host.election) {
                 HandleEra(static_cast<int>(other), store_era);
                 host.election->HandleHeartbeat(now_, term, stepping_down, era);
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
