// The proofs of a leader and its successor, which must never both permit
// grants.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>
#include <string>
#include <vector>

#include "coordination/lead_proof.h"
#include "coordination/leader_election.h"

namespace mustardflow::tests {

namespace {

using coordination::LeadershipProof;
using state::Duration;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

// A simulation of two leaders and of hosts that follow the highest term that
// they have heard of. The order of events takes the place of a store: once the
// second leader's claim is confirmed, no write of the first leader is.
class SuccessionSimulation {
 public:
  explicit SuccessionSimulation(std::size_t hosts) : hosts_(hosts) {
    first_.Begin(now_, now_, false);
  }

  // The second leader's claim is confirmed.
  void Claim() {
    if (!claimed_) {
      claimed_ = true;
      second_.Begin(now_, now_, true);
    }
  }

  // The store confirms a write of the first leader, unless the second leader's
  // claim has been confirmed.
  void ConfirmFirst() {
    if (!claimed_) {
      first_.RecordStoreConfirmation(now_);
    }
  }

  // Sends a heartbeat of a leader. Each host receives it later, in any order,
  // or never.
  void SendHeartbeat(bool second) {
    if (second && !claimed_) {
      return;
    }
    const std::int64_t number =
        (second ? second_ : first_).RecordSentHeartbeat(now_);
    for (std::size_t host = 2; host < hosts_.size(); ++host) {
      heartbeats_.push_back({host, second ? 2 : 1, number});
    }
  }

  // Delivers one of the heartbeats in transit; `pick` selects it.
  void DeliverHeartbeat(int pick) {
    if (heartbeats_.empty()) {
      return;
    }
    const auto index = static_cast<std::size_t>(pick) % heartbeats_.size();
    const Message heartbeat = heartbeats_[index];
    heartbeats_.erase(heartbeats_.begin() + static_cast<std::ptrdiff_t>(index));
    Host& host = hosts_[heartbeat.host];
    if (heartbeat.term > host.term) {
      host.term = heartbeat.term;
      host.heartbeat = 0;
    }
    if (heartbeat.term == host.term) {
      host.heartbeat = std::max(host.heartbeat, heartbeat.number);
    }
  }

  // The host that `pick` selects sends a report to the leader that it follows.
  void SendReport(int pick) {
    const auto index = 2 + static_cast<std::size_t>(pick) % (hosts_.size() - 2);
    reports_.push_back({index, hosts_[index].term, hosts_[index].heartbeat});
  }

  // Delivers one of the reports in transit; `pick` selects it.
  void DeliverReport(int pick) {
    if (reports_.empty()) {
      return;
    }
    const auto index = static_cast<std::size_t>(pick) % reports_.size();
    const Message report = reports_[index];
    reports_.erase(reports_.begin() + static_cast<std::ptrdiff_t>(index));
    if (report.term > 0) {
      (report.term == 2 ? second_ : first_)
          .RecordReport(std::to_string(report.host), report.number);
    }
  }

  // Sends a heartbeat that the hosts in the bit set `pick` receive and report
  // at once.
  void HeartbeatRound(bool second, int pick) {
    if (second && !claimed_) {
      return;
    }
    const int term = second ? 2 : 1;
    LeadershipProof& leader = second ? second_ : first_;
    const std::int64_t number = leader.RecordSentHeartbeat(now_);
    for (std::size_t index = 2; index < hosts_.size(); ++index) {
      Host& host = hosts_[index];
      if (((pick >> index) & 1) != 0 && term >= host.term) {
        host.term = term;
        host.heartbeat = number;
        leader.RecordReport(std::to_string(index), number);
      }
    }
  }

  // Restarts a host. It reads the term in the store before it sends a report.
  void Restart(int pick) {
    const auto index = 2 + static_cast<std::size_t>(pick) % (hosts_.size() - 2);
    hosts_[index] = Host{claimed_ ? 2 : 1, 0};
  }

  void AdvanceTime(milliseconds time) {
    now_ += time;
    Check();
  }

  // What the first leader writes leaves its host up to kMaxTurnTime later. So
  // it must not grant any more that long before its end as computed by the
  // second leader.
  void Check() {
    if (!claimed_) {
      return;
    }
    const Instant end = second_.PredecessorEnd(now_, hosts_.size());
    if (now_ > end - coordination::kMaxTurnTime) {
      RC_ASSERT(!first_.MayGrant(now_, hosts_.size()));
    }
  }

 private:
  struct Host {
    int term = 1;
    std::int64_t heartbeat = 0;
  };
  struct Message {
    std::size_t host = 0;
    int term = 0;
    std::int64_t number = 0;
  };

  Instant now_{seconds(100)};
  // The first two hosts are the leaders.
  std::vector<Host> hosts_;
  LeadershipProof first_;
  LeadershipProof second_;
  bool claimed_ = false;
  std::vector<Message> heartbeats_;
  std::vector<Message> reports_;
};

}  // namespace

TEST_CASE("no predecessor grants after the end that its successor computes",
          "[O1]") {
  CHECK(rc::check([] {
    SuccessionSimulation simulation(*rc::gen::inRange<std::size_t>(3, 9));
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 19), rc::gen::inRange(0, 1000)));
    for (const auto& [step, pick] : steps) {
      switch (step) {
        case 0:
          simulation.SendHeartbeat(false);
          break;
        case 1:
          simulation.SendHeartbeat(true);
          break;
        case 2:
        case 3:
        case 4:
          simulation.DeliverHeartbeat(pick);
          break;
        case 5:
        case 6:
          simulation.SendReport(pick);
          break;
        case 7:
        case 8:
          simulation.DeliverReport(pick);
          break;
        case 9:
          if (pick % 4 == 0) {
            simulation.Claim();
          } else {
            simulation.ConfirmFirst();
          }
          break;
        case 10:
          if (pick % 8 == 0) {
            simulation.Restart(pick);
          }
          break;
        case 11:
        case 12:
          simulation.HeartbeatRound(false, pick);
          break;
        case 13:
        case 14:
          simulation.HeartbeatRound(true, pick);
          break;
        default:
          simulation.AdvanceTime(milliseconds(pick % 700));
          break;
      }
      simulation.Check();
    }
    simulation.AdvanceTime(milliseconds(0));
  }));
}

// Guards against a long unavailability of keys: after the leader was
// disconnected, keys of lost servers had no owner for 12 s, since the successor
// waited for the whole leadership lease.
TEST_CASE(
    "a successor that two thirds of the hosts follow waits 1.5 s and a turn",
    "[O2]") {
  const Instant now{seconds(100)};
  LeadershipProof proof;
  const Instant longest =
      now + coordination::kLeadershipLease + coordination::kMaxTurnTime;
  proof.Begin(now, now, true);
  CHECK(proof.PredecessorEnd(now, 6) == longest);
  const std::int64_t heartbeat = proof.RecordSentHeartbeat(now);
  proof.RecordReport("a", heartbeat);
  proof.RecordReport("b", heartbeat);
  CHECK(proof.PredecessorEnd(now, 6) == longest);
  proof.RecordReport("c", heartbeat);
  CHECK(proof.PredecessorEnd(now, 6) <=
        now + milliseconds(1500) + coordination::kMaxTurnTime);
}

TEST_CASE("a predecessor that reports to its successor has ended", "[O2]") {
  const Instant now{seconds(100)};
  LeadershipProof proof;
  proof.Begin(now, now, true);
  proof.HandlePredecessorFollows(now + milliseconds(200));
  CHECK(proof.PredecessorEnd(now + milliseconds(200), 6) ==
        now + milliseconds(200));
}

TEST_CASE("a leader without the store may grant while most hosts follow it",
          "[O2]") {
  Instant now{seconds(100)};
  LeadershipProof proof;
  proof.Begin(now, now, false);
  now += seconds(4);
  CHECK_FALSE(proof.MayGrant(now, 5));
  const std::int64_t heartbeat = proof.RecordSentHeartbeat(now);
  proof.RecordReport("a", heartbeat);
  CHECK_FALSE(proof.MayGrant(now, 5));
  proof.RecordReport("b", heartbeat);
  CHECK(proof.MayGrant(now, 5));
  CHECK_FALSE(proof.MayGrant(now + seconds(2), 5));
  now += seconds(7);
  const std::int64_t late = proof.RecordSentHeartbeat(now);
  proof.RecordReport("a", late);
  proof.RecordReport("b", late);
  CHECK_FALSE(proof.MayGrant(now, 5));
}

// Guards against two leaders in two eras of the store that both take its
// confirmations for a proof.
TEST_CASE("a confirmation of an earlier era proves nothing", "[O3]") {
  const Instant start(seconds(100));
  constexpr std::size_t kHosts = 4;
  LeadershipProof proof;
  proof.Begin(start, start, false);
  proof.RecordStoreConfirmation(start);
  REQUIRE(proof.MayGrant(start, kHosts));
  proof.HandleNewEra();
  CHECK_FALSE(proof.MayGrant(start, kHosts));
  // Most hosts follow.
  const std::int64_t number = proof.RecordSentHeartbeat(start);
  proof.RecordReport("b", number);
  proof.RecordReport("c", number);
  CHECK(proof.MayGrant(start + milliseconds(200), kHosts));
  // The next term has a proof of its own.
  proof.Begin(start + seconds(3), start + seconds(3), true);
  CHECK(proof.MayGrant(start + seconds(3), kHosts));
}

}  // namespace mustardflow::tests
