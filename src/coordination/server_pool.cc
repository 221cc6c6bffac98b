// Latency estimates, limits and selection of backend servers.

#include "coordination/server_pool.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>
#include <variant>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;
using state::ServerIncarnation;
using state::ServerRecord;

namespace {

// The expected response time in seconds before the first response.
constexpr double kInitialLatencySeconds = 0.1;
// The weights of one response in the moving averages of the server and of the
// service.
constexpr double kServerLatencyWeight = 0.15;
constexpr double kServiceLatencyWeight = 0.02;
// The weight of the response to a probe in both averages, which have turned out
// to be too high to be of use.
constexpr double kProbeLatencyWeight = 0.25;
// The time constant, in seconds, with which a server's average decays to its
// service's average, so that a server that was slow is tried again.
constexpr double kLatencyDecaySeconds = 10.0;
// A service's average becomes unknown, with this time constant in seconds,
// while no response arrives for longer than the gap, also in seconds. A
// deployment must recover from a fault within 15 s.
constexpr double kServiceLatencyDecaySeconds = 5.0;
constexpr double kMaxUsualGapSeconds = 2.0;
// All hosts together send one probe in this time to a server that is expected
// to be too late.
constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
// The weight of one response in a server's failure rate, and the time constant,
// in seconds, with which the rate decays.
constexpr double kFailureWeight = 0.25;
constexpr double kFailureDecaySeconds = 3.0;
// The time constants, in seconds, with which a load report loses its weight:
// for the number of requests of other hosts, and for the slowness of the
// server's machine.
constexpr double kReportDecaySeconds = 0.5;
// A refusal below this fraction of the highest load at which the server answers
// does not show that the server is full.
constexpr double kRandomRefusalLoadFraction = 0.9;
constexpr double kSlownessDecaySeconds = 0.25;
// How many servers are compared for one request. A larger sample would make all
// hosts select the same server.
constexpr int kServersCompared = 6;
// The cost, in seconds, that is added to the estimate for a server in another
// zone. It covers the longer round trip and makes hosts prefer their own zone.
// The second value is for large bodies.
constexpr double kOtherZoneCostSeconds = 0.015;
constexpr double kOtherZoneLargeCostSeconds = 0.08;
// The fraction by which the estimate for a server rises when all its slots are
// taken, which spreads requests before slots run short.
constexpr double kLoadPenalty = 0.15;
// A request in progress for more than this multiple of the average response
// time indicates that the server is stalled.
constexpr double kStallFactor = 3.0;
// The maximum number of requests at a server for each slot. Beyond it, some
// servers silently drop requests that they cannot queue.
constexpr double kMaxRequestsPerSlot = 2.5;
// After a failed connection, the server gets no requests for the initial block
// time. Each further failure doubles that time, up to the maximum.
constexpr Duration kInitialBlockTime = std::chrono::milliseconds(150);
constexpr Duration kMaxBlockTime = std::chrono::milliseconds(1200);
// A server whose connections fail may have restarted, and is treated as cold
// for this time.
constexpr Duration kSuspectedColdTime = std::chrono::milliseconds(1500);
constexpr Duration kSecond = std::chrono::seconds(1);
// A server that is gone is remembered for this time, so that late news of it do
// not bring it back.
constexpr Duration kGoneRetention = std::chrono::seconds(60);
// A new gate uses its share of a cold server's rate only after this time, in
// which the former gate learns that it is replaced.
constexpr Duration kGateHandoverTime = std::chrono::seconds(1);
// The first limit of a server applies after this time, in which requests that
// are on their way arrive and keys begin to move.
constexpr Duration kNewLimitDelay = std::chrono::milliseconds(400);
// A refusal or a lost connection multiplies the server's window by the decrease
// factor. The increase is added once for each window of successful responses.
// The window does not shrink below the minimum. While the server answers some
// requests, it does not shrink below this host's part of the server's slots
// either, which the server can run in any case.
constexpr double kWindowDecreaseFactor = 0.7;
constexpr double kWindowIncrease = 0.25;
constexpr double kMinWindow = 0.1;
// Above this failure rate, a server does not count as answering some requests.
constexpr double kMaxPartialFailureRate = 0.85;
// A host limits the number of servers of a service that it uses, so that each
// of them gets a request about once in this interval, in seconds. The number is
// not reduced below the minimum. Idle connections are closed after some
// seconds, and opening a connection costs the server time.
constexpr double kServerUseIntervalSeconds = 3.0;
constexpr std::size_t kMinPreferredServers = 8;
// The interval where latencies are estimated by kind. Load reports lose their
// weight within half a second, so rarer requests would find servers full. With
// 3 s in tests/load, 0.54 of the most urgent kind were in target in its burst;
// with 0.3 s, 0.71.
constexpr double kKindUseIntervalSeconds = 0.5;
// The time constant, in seconds, of the average request rate.
constexpr double kRateDecaySeconds = 2.0;
// 2^53: scales a random number in [0, 1) to an integer seed.
constexpr double kSeedSpan = 9007199254740992.0;
// The fraction of a server's connection limit and of its cold rate that all
// hosts together use. The rest is a margin for hosts that are not counted yet.
constexpr double kUsedShareFraction = 0.85;
// The gate's fraction of a limit. It is only half, because two hosts may
// briefly both consider themselves the gate.
constexpr double kGateShareFraction = 0.5;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, 1000.0)));
}

}  // namespace

std::string_view ReasonName(NoServerReason reason) {
  switch (reason) {
    case NoServerReason::kNoServer:
      return "no-server";
    case NoServerReason::kBlocked:
      return "busy-blocked";
    case NoServerReason::kPaused:
      return "busy-paused";
    case NoServerReason::kConnections:
      return "busy-connections";
    case NoServerReason::kCold:
      return "busy-cold";
    case NoServerReason::kRateLimit:
      return "busy-rate-limit";
    case NoServerReason::kWindow:
      return "busy-window";
    case NoServerReason::kFull:
      return "busy-full";
    case NoServerReason::kLate:
      return "busy-late";
    case NoServerReason::kLateWindow:
      break;
  }
  return "busy-late-window";
}

ServerPool::ServerPool(std::string zone,
                       state::ServiceBounds bounds,
                       std::function<double()> random)
    : zone_(std::move(zone)),
      bounds_(bounds),
      random_(std::move(random)),
      choice_seed_(static_cast<std::uint64_t>(random_() * kSeedSpan)) {}

void ServerPool::SetConfig(const state::RoutingConfig& config) {
  rules_ = config.services();
  ++change_;
}

void ServerPool::SetEvacuated(std::set<std::string> zones) {
  evacuated_ = std::move(zones);
  ++change_;
}

void ServerPool::Update(Instant now, const ServerRecord& record) {
  ServerState& server = servers_[record.incarnation.id];
  const bool fresh = server.record.incarnation.id.empty();
  const bool other_incarnation =
      !fresh && record.incarnation.start_time_ms !=
                    server.record.incarnation.start_time_ms;
  if (!fresh &&
      (record.incarnation.start_time_ms <
           server.record.incarnation.start_time_ms ||
       (!other_incarnation && record.sequence < server.record.sequence))) {
    return;
  }
  if (fresh || other_incarnation) {
    server = ServerState();
    server.rate_share = admission::RateShare(PhaseOf(record.incarnation.id));
  }
  if (fresh || other_incarnation || server.gone || server.unconfirmed ||
      server.record.draining != record.draining ||
      (record.warmup_left.count() > 0) != (now < server.cold_until)) {
    ++change_;
  }
  const bool was_draining =
      !fresh && !other_incarnation && server.record.draining;
  server.record = record;
  server.record.draining = record.draining || was_draining;
  server.gone = false;
  server.unconfirmed = false;
  server.cold_until = now + record.warmup_left;
  if (fresh || other_incarnation) {
    ApplyPublishedLimit(now, &server);
  }
}

void ServerPool::SetUnconfirmed(const std::string& id) {
  const auto found = servers_.find(id);
  if (found != servers_.end() && !found->second.unconfirmed) {
    found->second.unconfirmed = true;
    ++change_;
  }
}

void ServerPool::Remove(Instant now, const std::string& id) {
  const auto found = servers_.find(id);
  if (found != servers_.end() && !found->second.gone) {
    found->second.gone = true;
    found->second.gone_since = now;
    ++change_;
  }
}

void ServerPool::Prune(Instant now) {
  std::erase_if(servers_, [now](const auto& entry) {
    const ServerState& server = entry.second;
    return server.gone && server.in_flight.empty() &&
           now - server.gone_since > kGoneRetention;
  });
  if (kind_latency_) {
    kind_latency_->Prune(now);
  }
}

void ServerPool::SetGated(Instant now,
                          const std::map<std::string, bool>& gated) {
  std::map<std::string, GateState> next;
  for (const auto& [server, own] : gated) {
    const auto before = gated_.find(server);
    const bool kept = before != gated_.end() && before->second.own == own;
    next[server] = {own, kept ? before->second.own_since : now};
  }
  gated_ = std::move(next);
}

void ServerPool::SetPublishedLimits(Instant now, state::ServerLimits limits) {
  published_limits_ = std::move(limits);
  for (auto& [id, server] : servers_) {
    ApplyPublishedLimit(now, &server);
  }
}

void ServerPool::ApplyPublishedLimit(Instant now, ServerState* server) const {
  const ServerIncarnation& incarnation = server->record.incarnation;
  const auto found = published_limits_.find(incarnation.id);
  if (found != published_limits_.end() &&
      found->second.start_time_ms == incarnation.start_time_ms) {
    server->announced.SetPublishedLimit(now, found->second.rate);
  } else {
    server->announced.ClearPublishedLimit();
  }
}

bool ServerPool::IsOutOfService(const ServerState& server) const {
  return server.gone || server.record.draining ||
         server.announced.leaving_since() ||
         evacuated_.contains(server.record.zone);
}

bool ServerPool::IsOwnerOutOfService(Instant now,
                                     const ServerState& server) const {
  const auto leaving_since = server.announced.leaving_since();
  return server.gone || server.record.draining ||
         (leaving_since && now - *leaving_since >= kLeavingOwnerTime) ||
         evacuated_.contains(server.record.zone);
}

ServerPool::ServerState* ServerPool::Find(
    const ServerIncarnation& incarnation) {
  const auto found = servers_.find(incarnation.id);
  return found != servers_.end() &&
                 found->second.record.incarnation == incarnation
             ? &found->second
             : nullptr;
}

const ServerPool::ServerState* ServerPool::Find(
    const ServerIncarnation& incarnation) const {
  const auto found = servers_.find(incarnation.id);
  return found != servers_.end() &&
                 found->second.record.incarnation == incarnation
             ? &found->second
             : nullptr;
}

bool ServerPool::HasFreeSlots(const ServerIncarnation& incarnation) const {
  const ServerState* server = Find(incarnation);
  return server != nullptr && server->reported_load < server->record.slots;
}

std::size_t ServerPool::TotalSlots(const std::string& service) const {
  std::size_t slots = 0;
  for (const auto& [id, server] : servers_) {
    if (server.record.service == service && !IsOutOfService(server)) {
      slots += static_cast<std::size_t>(server.record.slots);
    }
  }
  return slots;
}

std::optional<bool> ServerPool::IsGate(const std::string& server) const {
  const auto gate = gated_.find(server);
  return gate == gated_.end() ? std::nullopt : std::optional(gate->second.own);
}

double ServerPool::ShareOf(double bound, std::optional<bool> is_gate) const {
  if (!is_gate) {
    return bound * kUsedShareFraction / static_cast<double>(hosts_);
  }
  return *is_gate ? bound * kGateShareFraction
                  : bound * (kUsedShareFraction - kGateShareFraction) /
                        static_cast<double>(hosts_);
}

double ServerPool::PhaseOf(const std::string& server) const {
  // The top 53 bits of the mixed hash, as a fraction in [0, 1).
  return static_cast<double>(HostRank(server) >> 11) / kSeedSpan;
}

std::optional<admission::RateAllowance> ServerPool::RateAllowanceFor(
    Instant now,
    const ServerState& server) const {
  const auto limit = server.announced.RateLimit(now);
  const auto first_limited_at = server.announced.first_limited_at();
  if (!limit ||
      (first_limited_at && now - *first_limited_at < kNewLimitDelay)) {
    return std::nullopt;
  }
  const auto gate = gated_.find(server.record.incarnation.id);
  using admission::SenderRole;
  SenderRole role = SenderRole::kEqual;
  if (gate != gated_.end()) {
    role = !gate->second.own ? SenderRole::kOther
           : now - gate->second.own_since < kGateHandoverTime
               ? SenderRole::kNewGate
               : SenderRole::kGate;
  }
  return admission::DivideRate(*limit, role, hosts_);
}

std::size_t ServerPool::ColdShare(Instant now,
                                  const state::ServerRecord& server) const {
  const auto rules = rules_.find(server.service);
  const double rate = rules == rules_.end() ? 0 : rules->second.cold_rate;
  const double bound = rate * bounds_.cold_factor + bounds_.cold_slack;
  const auto gate = gated_.find(server.incarnation.id);
  if (gate == gated_.end()) {
    return static_cast<std::size_t>(ShareOf(bound, std::nullopt));
  }
  // The former gate may not know yet that it is replaced.
  const bool is_gate =
      gate->second.own && now - gate->second.own_since >= kGateHandoverTime;
  return static_cast<std::size_t>(ShareOf(bound, is_gate));
}

std::size_t ServerPool::ConnectionShare(
    const state::ServerRecord& server) const {
  const auto rules = rules_.find(server.service);
  const double bound =
      rules == rules_.end() ? 100 : rules->second.max_connections;
  return std::max<std::size_t>(1, static_cast<std::size_t>(ShareOf(
                                      bound, IsGate(server.incarnation.id))));
}

std::optional<NoServerReason> ServerPool::FindLimit(
    Instant now,
    const ServerState& server) const {
  if (now < server.blocked_until) {
    return NoServerReason::kBlocked;
  }
  if (now < server.announced.paused_until()) {
    return NoServerReason::kPaused;
  }
  if (server.in_flight.size() >= ConnectionShare(server.record)) {
    return NoServerReason::kConnections;
  }
  if (IsCold(now, server)) {
    const auto in_window =
        std::count_if(server.recent_sends.begin(), server.recent_sends.end(),
                      [now](Instant sent) { return now - sent <= kSecond; });
    if (static_cast<std::size_t>(in_window) >= ColdShare(now, server.record)) {
      return NoServerReason::kCold;
    }
  }
  const auto allowance = RateAllowanceFor(now, server);
  if (allowance && !server.rate_share.MaySend(now, *allowance)) {
    return NoServerReason::kRateLimit;
  }
  if (!WithinWindow(now, server)) {
    return NoServerReason::kWindow;
  }
  if (EstimatedLoad(now, server) >= kMaxRequestsPerSlot * server.record.slots) {
    return NoServerReason::kFull;
  }
  return std::nullopt;
}

double ServerPool::MinWindow(Instant now, const ServerState& server) const {
  const bool is_gate = IsGate(server.record.incarnation.id).value_or(false);
  const double hosts = is_gate ? 1 : static_cast<double>(hosts_);
  return FailureRate(now, server) < kMaxPartialFailureRate
             ? std::max(kMinWindow, server.record.slots / hosts)
             : kMinWindow;
}

double ServerPool::FailureRate(Instant now, const ServerState& server) const {
  const double age = Seconds(now - server.failures_at);
  return server.failures * std::exp(-age / kFailureDecaySeconds);
}

bool ServerPool::WithinWindow(Instant now, const ServerState& server) const {
  if (server.window <= 0) {
    return true;
  }
  if (server.window >= 1 || server.recent_sends.empty()) {
    return static_cast<double>(server.in_flight.size()) <
           std::max(1.0, server.window);
  }
  const double min_interval = Latency(now, server) * (1 / server.window - 1);
  return server.in_flight.empty() &&
         Seconds(now - server.recent_sends.back()) >= min_interval;
}

std::size_t ServerPool::PreferredCount(Instant now,
                                       const std::string& service) const {
  const auto found = rates_.find(service);
  if (found == rates_.end()) {
    return kMinPreferredServers;
  }
  const double decayed_rate =
      found->second.per_second *
      std::exp(-Seconds(now - found->second.at) / kRateDecaySeconds);
  const double interval =
      kind_latency_ ? kKindUseIntervalSeconds : kServerUseIntervalSeconds;
  return std::max(kMinPreferredServers,
                  static_cast<std::size_t>(decayed_rate * interval));
}

double ServerPool::EstimatedLoad(Instant now, const ServerState& server) const {
  const double others =
      std::max(0.0, server.reported_load -
                        static_cast<double>(server.in_flight_at_report));
  const double age = Seconds(now - server.reported_at);
  return static_cast<double>(server.in_flight.size()) +
         others * std::exp(-age / kReportDecaySeconds);
}

// A server that refuses requests while slots are free, or at a load at which it
// runs others, is partly faulty, not overloaded. Fewer requests would not help
// it.
bool ServerPool::IsRandomRefusal(Instant now,
                                 const ServerState& server,
                                 double load) const {
  if (server.reported_at == now) {
    return server.reported_load < server.record.slots ||
           server.reported_load <
               kRandomRefusalLoadFraction * server.answered_report.ValueAt(now);
  }
  // Without a report, only a host that sends all requests knows the load.
  const bool sends_all =
      hosts_ == 1 || IsGate(server.record.incarnation.id).value_or(false);
  return sends_all &&
         load < kRandomRefusalLoadFraction * server.answered_load.ValueAt(now);
}

bool ServerPool::RefusedAtRandom(const ServerIncarnation& incarnation) const {
  const ServerState* server = Find(incarnation);
  return server != nullptr && server->refused_at_random;
}

double ServerPool::Freshness(Instant now, const ServiceAverage& average) {
  const double age = Seconds(now - average.answered_at) - kMaxUsualGapSeconds;
  return std::exp(-std::max(0.0, age) / kServiceLatencyDecaySeconds);
}

double ServerPool::ServiceLatency(Instant now,
                                  const std::string& service) const {
  const auto found = service_latency_.find(service);
  if (found == service_latency_.end()) {
    return kInitialLatencySeconds;
  }
  const double seconds = found->second.seconds;
  return std::min(seconds,
                  kInitialLatencySeconds + (seconds - kInitialLatencySeconds) *
                                               Freshness(now, found->second));
}

double ServerPool::Latency(Instant now, const ServerState& server) const {
  const double service_latency = ServiceLatency(now, server.record.service);
  if (server.latency <= 0) {
    return IsCold(now, server) ? 2 * service_latency : service_latency;
  }
  const double age = Seconds(now - server.latency_at);
  return service_latency + (server.latency - service_latency) *
                               std::exp(-age / kLatencyDecaySeconds);
}

double ServerPool::RelativeLatency(Instant now,
                                   const ServerState& server) const {
  return service_latency_.contains(server.record.service)
             ? Latency(now, server) / ServiceLatency(now, server.record.service)
             : 1;
}

std::optional<double> ServerPool::ExecutionSeconds(
    const std::string& service) const {
  const auto found = service_latency_.find(service);
  return found == service_latency_.end() ? std::nullopt
                                         : std::optional(found->second.seconds);
}

double ServerPool::WaitFactor(Instant now, const ServerState& server) const {
  const double slots = server.record.slots;
  return 1 + std::max(0.0, EstimatedLoad(now, server) + 1 - slots) / slots;
}

double ServerPool::Slowness(Instant now, const ServerState& server) {
  const double report_age = Seconds(now - server.reported_at);
  return 1 +
         (server.slowness - 1) * std::exp(-report_age / kSlownessDecaySeconds);
}

ServerOccupancy ServerPool::OccupancyOf(Instant now,
                                        const ServerState& server) const {
  double own_work = 0;
  for (const auto& [sent, request] : server.in_flight) {
    own_work += request.kind.work;
  }
  return {server.record.service,
          server.record.incarnation.id,
          server.record.slots,
          EstimatedLoad(now, server),
          static_cast<double>(server.in_flight.size()),
          own_work,
          Slowness(now, server)};
}

void ServerPool::RecordKindEnd(Instant now,
                               ServerState* server,
                               const SentRequest& request,
                               Instant sent,
                               ServerResult result) {
  if (!kind_latency_) {
    return;
  }
  const std::string& id = server->record.incarnation.id;
  if (result == ServerResult::kAnswered) {
    kind_latency_->RecordAnswer(
        now, server->record.service, id, request.kind, sent,
        server->reported_at == now ? server->slowness : 1);
  }
  // At a server that only this host sends to, the freed slot goes to the oldest
  // request that waits there.
  if (hosts_ == 1 || IsGate(id).value_or(false)) {
    const auto next = std::find_if(
        server->in_flight.begin(), server->in_flight.end(),
        [](const auto& entry) { return !entry.second.kind.started; });
    if (next != server->in_flight.end()) {
      next->second.kind.started = now;
    }
  }
}

double ServerPool::StallSeconds(Instant now, const ServerState& server) const {
  if (server.in_flight.empty()) {
    return 0;
  }
  const auto& [oldest, request] = *server.in_flight.begin();
  const double usual = kind_latency_
                           ? request.kind.wait + request.kind.work
                           : Latency(now, server) * request.wait_factor;
  return std::max(0.0, Seconds(now - oldest) - kStallFactor * usual);
}

std::optional<admission::ServerOutlook> ServerPool::OutlookOf(
    Instant now,
    const ServerState& server,
    const std::string& route) const {
  if (!kind_latency_) {
    return std::nullopt;
  }
  const bool exact =
      hosts_ == 1 || IsGate(server.record.incarnation.id).value_or(false);
  admission::ServerOutlook outlook =
      kind_latency_->Outlook(now, OccupancyOf(now, server), route, exact);
  const Duration stall = FromSeconds(StallSeconds(now, server));
  outlook.wait += stall;
  outlook.wait_behind += stall;
  return outlook;
}

Duration ServerPool::KindWork(Instant now,
                              const std::string& service,
                              const std::string& route) const {
  return FromSeconds(kind_latency_->WorkSeconds(now, service, route));
}

double ServerPool::Estimate(Instant now,
                            const ServerState& server,
                            const std::string& route) const {
  if (const auto outlook = OutlookOf(now, server, route)) {
    return Seconds(outlook->wait + outlook->own);
  }
  double estimate =
      Latency(now, server) * Slowness(now, server) * WaitFactor(now, server);
  // Spreads requests before slots run short.
  estimate *=
      1 + kLoadPenalty * EstimatedLoad(now, server) / server.record.slots;
  return estimate + StallSeconds(now, server);
}

bool ServerPool::MayProbe(Instant now, const ServerState& server) const {
  if (!server.in_flight.empty() ||
      EstimatedLoad(now, server) >= server.record.slots) {
    return false;
  }
  const bool is_gate = IsGate(server.record.incarnation.id).value_or(false);
  const auto senders = static_cast<Duration::rep>(is_gate ? 1 : hosts_);
  return server.recent_sends.empty() ||
         now - server.recent_sends.back() >= kProbeInterval * senders;
}

double ServerPool::Cost(Instant now,
                        const ServerState& server,
                        double estimate) const {
  if (kind_latency_) {
    // Spreads requests before slots run short.
    estimate *=
        1 + kLoadPenalty * EstimatedLoad(now, server) / server.record.slots;
  }
  return estimate / std::max(0.05, 1 - FailureRate(now, server));
}

std::variant<ServerChoice, NoServerReason> ServerPool::Check(
    Instant now,
    const ServerIncarnation& incarnation,
    Duration max_expected,
    const std::string& route) const {
  const ServerState* server = Find(incarnation);
  if (server == nullptr || IsOwnerOutOfService(now, *server)) {
    return NoServerReason::kNoServer;
  }
  if (const auto limit = FindLimit(now, *server)) {
    return *limit;
  }
  const Duration expected = FromSeconds(Estimate(now, *server, route));
  const bool late = expected > max_expected;
  if (late && !MayProbe(now, *server)) {
    return NoServerReason::kLate;
  }
  return ServerChoice{server->record, expected, late,
                      OutlookOf(now, *server, route)};
}

std::uint64_t ServerPool::HostRank(const std::string& server) const {
  const std::uint64_t hash = std::hash<std::string>()(server) ^ choice_seed_;
  // Mixes the bits; the multiplier is that of SplitMix64.
  return (hash ^ (hash >> 29)) * 0xbf58476d1ce4e5b9ULL;
}

void ServerPool::KeepUnlimited(Instant now,
                               std::vector<const ServerState*>* candidates) {
  const auto is_limited = [now](const ServerState* server) {
    return server->announced.RateLimit(now).has_value();
  };
  if (!std::all_of(candidates->begin(), candidates->end(), is_limited)) {
    std::erase_if(*candidates, is_limited);
  }
}

// Keeps the servers that rank first for this host; servers of its own zone rank
// before others. Rendezvous hashing determines the rank, so hosts prefer
// different servers, and the selection changes little when servers come and go.
void ServerPool::KeepPreferred(
    Instant now,
    const std::string& service,
    std::vector<const ServerState*>* candidates) const {
  const std::size_t count = PreferredCount(now, service);
  if (candidates->size() <= count) {
    return;
  }
  const auto rank = [this](const ServerState* server) {
    return std::pair(server->record.zone != zone_,
                     HostRank(server->record.incarnation.id));
  };
  std::nth_element(candidates->begin(),
                   candidates->begin() + static_cast<std::ptrdiff_t>(count),
                   candidates->end(),
                   [&rank](const ServerState* left, const ServerState* right) {
                     return rank(left) < rank(right);
                   });
  candidates->resize(count);
}

std::variant<ServerChoice, NoServerReason> ServerPool::Choose(
    Instant now,
    const ChoiceRequest& request) const {
  std::vector<const ServerState*> candidates;
  std::size_t listed = 0;
  std::size_t unconfirmed = 0;
  NoServerReason reason = NoServerReason::kFull;
  for (const auto& [id, server] : servers_) {
    if (server.record.service != request.service || IsOutOfService(server)) {
      continue;
    }
    ++(server.unconfirmed ? unconfirmed : listed);
    if (request.tried != nullptr && request.tried->contains(id)) {
      continue;
    }
    if (const auto limit = FindLimit(now, server)) {
      reason = *limit;
    } else {
      candidates.push_back(&server);
    }
  }
  if (listed + unconfirmed == 0) {
    return NoServerReason::kNoServer;
  }
  if (listed >= unconfirmed) {
    std::erase_if(candidates, [](const ServerState* server) {
      return server->unconfirmed;
    });
  }
  if (request.tried != nullptr && !request.tried->empty()) {
    KeepUnlimited(now, &candidates);
  }
  KeepPreferred(now, request.service, &candidates);
  const ServerState* best = nullptr;
  double best_cost = 0;
  double best_estimate = 0;
  const ServerState* probed = nullptr;
  double probed_estimate = 0;
  for (int i = 0; i < kServersCompared && !candidates.empty(); ++i) {
    const auto index = static_cast<std::size_t>(
        random_() * static_cast<double>(candidates.size()));
    const ServerState* server = candidates[index];
    candidates[index] = candidates.back();
    candidates.pop_back();
    const double estimate = Estimate(now, *server, request.route);
    const double zone_cost = server->record.zone == zone_ ? 0
                             : request.large ? kOtherZoneLargeCostSeconds
                                             : kOtherZoneCostSeconds;
    const double cost = Cost(now, *server, estimate) + zone_cost;
    if (best == nullptr || cost < best_cost) {
      best = server;
      best_cost = cost;
      best_estimate = estimate;
    }
    if (FromSeconds(estimate) > request.max_expected &&
        MayProbe(now, *server)) {
      probed = server;
      probed_estimate = estimate;
    }
  }
  if (best == nullptr) {
    return reason;
  }
  if (FromSeconds(best_estimate) > request.max_expected) {
    if (probed == nullptr) {
      return NoServerReason::kLate;
    }
    return ServerChoice{probed->record, FromSeconds(probed_estimate), true,
                        OutlookOf(now, *probed, request.route)};
  }
  return ServerChoice{best->record, FromSeconds(best_estimate), false,
                      OutlookOf(now, *best, request.route)};
}

void ServerPool::RecordSent(Instant now,
                            const ServerIncarnation& incarnation,
                            const std::string& route,
                            bool probe) {
  ServerState* server = Find(incarnation);
  if (server == nullptr) {
    return;
  }
  const double load = EstimatedLoad(now, *server);
  SentRequest sent{WaitFactor(now, *server), load, probe, {}};
  if (kind_latency_) {
    sent.kind = kind_latency_->Expect(now, OccupancyOf(now, *server), route);
  }
  server->in_flight.emplace(now, std::move(sent));
  if (const auto allowance = RateAllowanceFor(now, *server)) {
    server->rate_share.RecordSent(now, *allowance);
  }
  server->recent_sends.push_back(now);
  ++server->sends;
  Rate& rate = rates_[server->record.service];
  rate.per_second =
      rate.per_second * std::exp(-Seconds(now - rate.at) / kRateDecaySeconds) +
      1 / kRateDecaySeconds;
  rate.at = now;
  while (now - server->recent_sends.front() > kSecond) {
    server->recent_sends.pop_front();
  }
}

void ServerPool::RecordEnd(Instant now,
                           const ServerIncarnation& incarnation,
                           Instant sent,
                           ServerResult result) {
  ServerState* server = Find(incarnation);
  if (server == nullptr) {
    return;
  }
  SentRequest request;
  const auto entry = server->in_flight.find(sent);
  if (entry != server->in_flight.end()) {
    request = entry->second;
    server->in_flight.erase(entry);
    RecordKindEnd(now, server, request, sent, result);
  }
  const bool answered = result == ServerResult::kAnswered;
  const double reported_slowness =
      server->reported_at == now ? server->slowness : 1;
  const double took = Seconds(now - sent) /
                      (request.wait_factor * std::max(1.0, reported_slowness));
  if (answered ||
      (result == ServerResult::kCancelled && took > Latency(now, *server))) {
    ServiceAverage& average =
        service_latency_
            .try_emplace(server->record.service, ServiceAverage{took, now})
            .first->second;
    const bool probed = answered && request.probe;
    const double weight = probed ? kProbeLatencyWeight : kServiceLatencyWeight;
    // What the average has lost by its age goes to the new response. A request
    // without a response only tells that one would have taken longer.
    const double kept = (1 - weight) * (answered ? Freshness(now, average) : 1);
    average.seconds = took + kept * (average.seconds - took);
    if (answered) {
      average.answered_at = now;
    }
    const double before = Latency(now, *server);
    server->latency =
        before +
        (probed ? kProbeLatencyWeight : kServerLatencyWeight) * (took - before);
    server->latency_at = now;
  }
  const double failures = FailureRate(now, *server);
  const bool failed = result == ServerResult::kFailed ||
                      result == ServerResult::kRefused ||
                      result == ServerResult::kBroken;
  if (answered || failed) {
    server->failures =
        failures + kFailureWeight * ((failed ? 1 : 0) - failures);
    server->failures_at = now;
  }
  if (answered) {
    server->answered_load.Record(now, request.load);
    if (server->reported_at == now) {
      server->answered_report.Record(now, server->reported_load);
    }
  }
  if (result == ServerResult::kRefused) {
    server->refused_at_random = IsRandomRefusal(now, *server, request.load);
  }
  const bool overloaded =
      result == ServerResult::kBroken ||
      (result == ServerResult::kRefused && !server->refused_at_random);
  const auto in_flight_count =
      static_cast<double>(server->in_flight.size()) + 1;
  if (overloaded) {
    const double window = server->window > 0
                              ? std::min(server->window, in_flight_count)
                              : in_flight_count;
    server->window =
        std::max(MinWindow(now, *server), window * kWindowDecreaseFactor);
  } else if (answered && server->window > 0) {
    server->window += kWindowIncrease / std::max(1.0, in_flight_count);
    if (server->window > kMaxRequestsPerSlot * server->record.slots) {
      server->window = 0;
    }
  }
  if (answered) {
    server->failed_connections = 0;
  } else if (result == ServerResult::kUnreachable) {
    const Duration block = std::min(
        kInitialBlockTime * (1 << std::min(server->failed_connections, 5)),
        kMaxBlockTime);
    ++server->failed_connections;
    server->blocked_until = std::max(server->blocked_until, now + block);
    server->cold_until = std::max(server->cold_until, now + kSuspectedColdTime);
  }
}

void ServerPool::RecordLoad(Instant now,
                            const ServerIncarnation& incarnation,
                            int load,
                            double slowness) {
  ServerState* server = Find(incarnation);
  if (server == nullptr) {
    return;
  }
  server->reported_load = load;
  server->in_flight_at_report = server->in_flight.size();
  server->reported_at = now;
  server->slowness = slowness;
}

bool ServerPool::RecordAnnouncement(Instant now,
                                    const ServerIncarnation& incarnation,
                                    Instant sent,
                                    const ServerAnnouncement& announcement) {
  ServerState* server = Find(incarnation);
  if (server == nullptr) {
    return false;
  }
  if (server->announced.Record(now, sent, announcement)) {
    server->announcement_pending = true;
  }
  if (!server->announcement_pending || now < server->next_announcement) {
    return false;
  }
  server->announcement_pending = false;
  server->next_announcement = now + kAnnouncementInterval;
  ++announcements_;
  return true;
}

Duration ServerPool::PauseLeft(Instant now, const std::string& id) const {
  const auto found = servers_.find(id);
  return found == servers_.end()
             ? Duration(0)
             : std::max(Duration(0),
                        found->second.announced.paused_until() - now);
}

int ServerPool::TakeSendCount(const ServerIncarnation& incarnation) {
  ServerState* server = Find(incarnation);
  return server == nullptr ? 0 : std::exchange(server->sends, 0);
}

}  // namespace mustardflow::coordination
