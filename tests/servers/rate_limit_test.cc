// Keeps the limit that a server announces, over all hosts together.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "coordination/server_pool.h"

namespace mustardflow::tests {

namespace {

using coordination::ServerAnnouncement;
using coordination::ServerChoice;
using coordination::ServerPool;
using coordination::ServerResult;
using state::Duration;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

const state::ServerIncarnation kServer{"s1", 1};

// Hosts that send to one server, in simulated time.
class LimitSimulation {
 public:
  LimitSimulation(std::size_t hosts, double limit, std::uint64_t seed)
      : limit_(limit), random_(seed) {
    state::ServiceRules rules;
    rules.keyed = true;
    const state::RoutingConfig config(1, {}, {{"desk", rules}}, {});
    for (std::size_t i = 0; i < hosts; ++i) {
      pools_.push_back(std::make_unique<ServerPool>(
          "near", state::ServiceBounds(), [this] { return Fraction(); }));
      pools_.back()->SetConfig(config);
      pools_.back()->SetHostCount(hosts);
      state::ServerRecord record;
      record.incarnation = kServer;
      record.service = "desk";
      record.slots = 6;
      pools_.back()->Update(now_, record);
    }
    told_.resize(hosts);
  }

  // Makes `host` the gate of the server, or removes the gate. With `fails`, the
  // others send directly all the same.
  void SetGate(std::optional<std::size_t> host, bool fails = false) {
    gate_ = host;
    gate_fails_ = fails;
    for (std::size_t i = 0; i < pools_.size(); ++i) {
      std::map<std::string, bool> gated;
      if (host) {
        gated["s1"] = *host == i;
      }
      pools_[i]->SetGated(now_, gated);
    }
  }

  void SetLimit(double limit) { limit_ = limit; }

  // No requests come for `length`.
  void Rest(Duration length) { now_ += length; }

  // Plays `length` with `rate` requests per second in all. Each host gets a
  // part in proportion to the inverse of its number.
  void Play(Duration length, double rate) {
    double weights = 0;
    for (std::size_t i = 0; i < pools_.size(); ++i) {
      weights += 1.0 / static_cast<double>(i + 1);
    }
    const Instant end = now_ + length;
    for (; now_ < end; now_ += milliseconds(1)) {
      Answer();
      for (std::size_t i = 0; i < pools_.size(); ++i) {
        const double host_rate = rate / (static_cast<double>(i + 1) * weights);
        if (Fraction() < host_rate / 1000) {
          Ask(gate_ && !gate_fails_ ? *gate_ : i);
        }
      }
    }
  }

  // The arrivals from hosts that had been told half a second before, in the
  // busiest four seconds that end after `from`.
  std::size_t BusiestWindow(Instant from) const {
    std::size_t most = 0;
    for (auto last = counted_.begin(); last != counted_.end(); ++last) {
      if (*last >= from) {
        const auto first =
            std::lower_bound(counted_.begin(), last, *last - seconds(4));
        most = std::max(most, static_cast<std::size_t>(last - first) + 1);
      }
    }
    return most;
  }

  std::size_t arrived() const { return arrived_; }
  std::size_t asked() const { return asked_; }
  Instant now() const { return now_; }

 private:
  struct Sent {
    std::size_t host = 0;
    Instant at;
    Instant answered_at;
  };

  double Fraction() {
    return std::uniform_real_distribution<double>(0, 1)(random_);
  }

  void Ask(std::size_t host) {
    ++asked_;
    const auto choice = pools_[host]->Check(now_, kServer, seconds(10));
    if (!std::holds_alternative<ServerChoice>(choice)) {
      return;
    }
    pools_[host]->RecordSent(now_, kServer);
    ++arrived_;
    if (told_[host] && now_ - *told_[host] >= milliseconds(500)) {
      counted_.push_back(now_);
    }
    const auto length = milliseconds(30 + static_cast<int>(Fraction() * 120));
    sent_.push_back({host, now_, now_ + length});
  }

  void Answer() {
    for (auto sent = sent_.begin(); sent != sent_.end();) {
      if (sent->answered_at > now_) {
        ++sent;
        continue;
      }
      ServerPool& pool = *pools_[sent->host];
      ServerAnnouncement announcement;
      announcement.rate_limit = limit_;
      announcement.certain = true;
      pool.RecordAnnouncement(now_, kServer, sent->at, announcement);
      pool.RecordEnd(now_, kServer, sent->at, ServerResult::kAnswered);
      if (!told_[sent->host]) {
        told_[sent->host] = now_;
      }
      sent = sent_.erase(sent);
    }
  }

  double limit_;
  std::mt19937_64 random_;
  Instant now_{seconds(100)};
  std::vector<std::unique_ptr<ServerPool>> pools_;
  std::vector<std::optional<Instant>> told_;
  std::vector<Sent> sent_;
  std::deque<Instant> counted_;
  std::optional<std::size_t> gate_;
  bool gate_fails_ = false;
  std::size_t arrived_ = 0;
  std::size_t asked_ = 0;
};

double Allowed(double limit) {
  return 6 * limit + 5;
}

}  // namespace

// Each host kept the limit for itself, so the server got it from each of them.
TEST_CASE("all hosts together keep the limit of a server", "[LIMIT]") {
  const std::size_t hosts = GENERATE(1, 2, 8, 65, 295);
  const double limit = GENERATE(0.0, 0.3, 1.0, 6.1, 25.0);
  const std::uint64_t seed = GENERATE(1, 2, 3);
  // With 600 a second, each host has requests at all times.
  const double rate = GENERATE(20.0, 75.0, 600.0);
  CAPTURE(hosts, limit, seed, rate);
  LimitSimulation simulation(hosts, limit, seed);
  const Instant begin = simulation.now();
  simulation.Play(seconds(20), rate);
  CHECK(simulation.BusiestWindow(begin + seconds(3)) <= Allowed(limit));
}

// Otherwise a part of the limit would be left unused, and its callers refused.
TEST_CASE("the gate of a limited server uses the whole limit", "[LIMIT]") {
  const std::size_t hosts = GENERATE(8, 65, 295);
  const double limit = GENERATE(1.0, 6.1, 25.0);
  CAPTURE(hosts, limit);
  LimitSimulation simulation(hosts, limit, 1);
  simulation.SetGate(3);
  simulation.Play(seconds(3), 3 * limit);
  const std::size_t before = simulation.arrived();
  simulation.Play(seconds(20), 3 * limit);
  CHECK(static_cast<double>(simulation.arrived() - before) >= 20 * limit);
}

TEST_CASE("a limit is kept while the gate changes and fails", "[LIMIT]") {
  const std::size_t hosts = GENERATE(8, 65, 295);
  const double limit = GENERATE(0.3, 1.0, 6.1, 25.0);
  const std::uint64_t seed = GENERATE(1, 2, 3);
  CAPTURE(hosts, limit, seed);
  LimitSimulation simulation(hosts, limit, seed);
  const Instant begin = simulation.now();
  const double rate = std::max(20.0, 3 * limit);
  simulation.Play(seconds(1), rate);
  simulation.SetGate(0);
  simulation.Play(seconds(5), rate);
  simulation.SetGate(0, true);
  simulation.Play(seconds(1), rate);
  simulation.SetGate(1);
  simulation.Play(seconds(5), rate);
  simulation.SetGate(std::nullopt);
  simulation.Play(seconds(5), rate);
  CHECK(simulation.BusiestWindow(begin + seconds(3)) <= Allowed(limit));
}

// Each change moves the times at which a host with a small share may send.
TEST_CASE("a limit that changes with each answer is kept", "[LIMIT]") {
  const std::size_t hosts = GENERATE(8, 65, 295);
  const double limit = GENERATE(0.3, 1.0, 6.1);
  CAPTURE(hosts, limit);
  LimitSimulation simulation(hosts, limit, 1);
  const Instant begin = simulation.now();
  for (int i = 0; i < 200; ++i) {
    simulation.SetLimit(limit * (0.9 + 0.01 * (i % 10)));
    simulation.Play(milliseconds(100), 100);
  }
  CHECK(simulation.BusiestWindow(begin + seconds(3)) <= Allowed(limit));
}

// After a minute without requests, all hosts forgot the limit at once.
TEST_CASE("a limit is kept after a time without requests", "[LIMIT]") {
  const std::size_t hosts = GENERATE(8, 65, 295);
  const double limit = GENERATE(0.3, 1.0, 6.1);
  const int rest = GENERATE(30, 65, 80);
  CAPTURE(hosts, limit, rest);
  LimitSimulation simulation(hosts, limit, 1);
  simulation.Play(seconds(20), 100);
  simulation.Rest(seconds(rest));
  const Instant begin = simulation.now();
  simulation.Play(seconds(8), 100);
  CHECK(simulation.BusiestWindow(begin) <= Allowed(limit));
}

TEST_CASE("a limit that is not stated any more grows until it ends",
          "[LIMIT]") {
  coordination::AnnouncedState state;
  const Instant now{seconds(10)};
  ServerAnnouncement announcement;
  announcement.rate_limit = 6;
  state.Record(now, now, announcement);
  CHECK(state.RateLimit(now + seconds(60)) == 6);
  CHECK(state.RateLimit(now + seconds(79)) == 6);
  CHECK(state.RateLimit(now + seconds(100)) == Approx(6 * 1.25 * 1.25));
  CHECK_FALSE(state.RateLimit(now + seconds(361)));
  state.Record(now + seconds(90), now + seconds(90), announcement);
  CHECK(state.RateLimit(now + seconds(90)) == 6);
}

// Limits change while requests are under way, so answers overtake one another.
TEST_CASE("an older answer neither raises nor ends a limit", "[LIMIT]") {
  coordination::AnnouncedState state;
  const Instant now{seconds(10)};
  const auto with = [](std::optional<double> limit, bool certain = true) {
    ServerAnnouncement announcement;
    announcement.rate_limit = limit;
    announcement.certain = certain;
    return announcement;
  };
  CHECK(state.Record(now, now - milliseconds(100), with(5)));
  CHECK_FALSE(state.Record(now + milliseconds(10), now - milliseconds(50),
                           with(std::nullopt)));
  CHECK_FALSE(
      state.Record(now + milliseconds(20), now - milliseconds(50), with(9)));
  CHECK_FALSE(state.Record(now + milliseconds(30), now + milliseconds(5),
                           with(std::nullopt, false)));
  CHECK(state.RateLimit(now + milliseconds(40)) == 5);
  CHECK(state.Record(now + milliseconds(50), now, with(4)));
  CHECK(state.Record(now + milliseconds(90), now + milliseconds(60), with(9)));
  CHECK(state.Record(now + milliseconds(120), now + milliseconds(100),
                     with(std::nullopt)));
  CHECK_FALSE(state.RateLimit(now + milliseconds(120)));
}

// A host kept to a limit whose end only other hosts had heard of, and refused
// the callers of the server's keys.
TEST_CASE("the newest of what the host was told and what is published counts",
          "[LIMIT]") {
  coordination::AnnouncedState state;
  const Instant now{seconds(10)};
  ServerAnnouncement announcement;
  announcement.certain = true;
  announcement.rate_limit = 6;
  CHECK(state.Record(now, now, announcement));
  state.SetPublishedLimit(now + seconds(1), std::nullopt);
  CHECK_FALSE(state.RateLimit(now + seconds(1)));
  // What is published again is not news.
  CHECK(state.Record(now + seconds(2), now + seconds(2), announcement));
  state.SetPublishedLimit(now + seconds(3), std::nullopt);
  CHECK(state.RateLimit(now + seconds(3)) == 6);
  state.SetPublishedLimit(now + seconds(4), 4);
  CHECK(state.RateLimit(now + seconds(4)) == 4);
  // Only what answers to this host have stated is reported as such.
  CHECK(state.stated_limit() == 6);
  CHECK(state.limit_stated_at() == now + seconds(2));
  // An answer to an earlier request neither ends nor begins a limit.
  announcement.rate_limit = std::nullopt;
  CHECK_FALSE(state.Record(now + seconds(5), now + seconds(3), announcement));
  CHECK(state.RateLimit(now + seconds(5)) == 4);
  CHECK(state.Record(now + seconds(6), now + seconds(5), announcement));
  announcement.rate_limit = 6;
  CHECK_FALSE(state.Record(now + seconds(7), now + seconds(5), announcement));
  CHECK_FALSE(state.RateLimit(now + seconds(7)));
  // Without the leader's word, the host's own counts.
  state.SetPublishedLimit(now + seconds(8), 3);
  state.ClearPublishedLimit();
  CHECK_FALSE(state.RateLimit(now + seconds(8)));
}

TEST_CASE("a published limit counts for its incarnation of the server",
          "[LIMIT]") {
  ServerPool pool("near", {}, [] { return 0.5; });
  const Instant now{seconds(10)};
  pool.SetPublishedLimits(now, {{"s1", {1, 4.0}}, {"s2", {1, 5.0}}});
  state::ServerRecord record;
  record.incarnation = kServer;
  record.service = "desk";
  record.slots = 6;
  pool.Update(now, record);
  const auto limit = [&](Instant at) {
    return pool.servers().at("s1").announced.RateLimit(at);
  };
  CHECK(limit(now) == 4);
  record.incarnation.start_time_ms = 2;
  pool.Update(now, record);
  CHECK_FALSE(limit(now));
  pool.SetPublishedLimits(now, {{"s1", {2, 7.0}}});
  CHECK(limit(now) == 7);
  pool.SetPublishedLimits(now, {});
  CHECK_FALSE(limit(now));
}

// A restarted server has announced nothing yet.
TEST_CASE("a limit ends with the server's incarnation", "[LIMIT]") {
  ServerPool pool("near", {}, [] { return 0.5; });
  const Instant now{seconds(10)};
  state::ServerRecord record;
  record.incarnation = kServer;
  record.service = "desk";
  record.slots = 6;
  pool.Update(now, record);
  ServerAnnouncement announcement;
  announcement.rate_limit = 2;
  announcement.certain = true;
  CHECK(pool.RecordAnnouncement(now, kServer, now, announcement));
  record.incarnation.start_time_ms = 2;
  pool.Update(now, record);
  CHECK_FALSE(pool.RecordAnnouncement(now, kServer, now, announcement));
  CHECK_FALSE(pool.servers().at("s1").announced.RateLimit(now));
}

}  // namespace mustardflow::tests
