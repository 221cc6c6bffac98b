// Periodic work, messages between hosts, operator pages and the stop of a host.

#include "transport/entry_host.h"

#include <signal.h>

#include <algorithm>
#include <functional>
#include <string_view>
#include <utility>

#include "platform/server_protocol.h"
#include "protocol/crash_codec.h"
#include "protocol/object_reader.h"
#include "transport/clocks.h"

namespace mustardflow::transport {

using state::Duration;
using state::Instant;

namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(20);
// A tick that is this late is logged: the thread was busy or not running.
constexpr Duration kLateTick = std::chrono::milliseconds(150);
// Interval of the work that is not needed at each tick.
constexpr Duration kSlowTickInterval = std::chrono::milliseconds(250);
constexpr Duration kReportInterval = std::chrono::milliseconds(400);
// Minimum time between reports that are early because of a surge.
constexpr Duration kMinReportGap = std::chrono::milliseconds(100);
// Interval of reading the table from the store while this host has lost contact
// with the leader.
constexpr Duration kTableReadInterval = std::chrono::milliseconds(1000);
// The host count in use is the maximum over this time.
constexpr Duration kHostCountWindow = std::chrono::seconds(20);
constexpr Duration kRegisterRetryDelay = std::chrono::milliseconds(250);
// In a new era of the store, all hosts register again, spread over this time.
constexpr Duration kRegisterAgainSpread = std::chrono::seconds(2);
// When the whole system starts for the first time, a host reads the registered
// hosts this long after its own start; all others have registered by then.
constexpr Duration kFirstRegistrationTime = std::chrono::milliseconds(450);
// How often a host logs the number of its requests to servers with a limit.
constexpr Duration kLimitLogInterval = std::chrono::seconds(4);
// The number of hosts that are asked which leader they follow.
constexpr std::size_t kQueriedHosts = 24;

std::mt19937_64 MakeRandomGenerator() {
  std::random_device device;
  std::seed_seq seed{device(), device(), device(), device()};
  return std::mt19937_64(seed);
}

// Returns a value that is uniformly distributed in [0, 1).
double RandomFraction(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

std::string MakeClaim(std::mt19937_64& random, const std::string& host) {
  return host + "-" + std::to_string(random());
}

// The address at which this host, as the gate of a server, accepts requests
// that other hosts forward. The platform leaves the port after the peer port
// free.
state::Address ForwardAddress(const state::HostProfile& profile) {
  return {profile.ip, static_cast<std::uint16_t>(profile.peer_port + 1)};
}

ListenerLimits SmallListenerLimits(
    const admission::ConnectionLimits& connections) {
  ListenerLimits limits;
  limits.max_connections = connections.probes;
  return limits;
}

// All hosts may fetch from this host, so connections must not stay open long.
ListenerLimits PeerListenerLimits(
    const admission::ConnectionLimits& connections) {
  ListenerLimits limits;
  limits.max_connections = connections.peer_pages;
  limits.read_timeout = std::chrono::seconds(3);
  return limits;
}

}  // namespace

EntryHost::EntryHost(asio::io_context& context,
                     state::HostProfile profile,
                     ReloadSettings reload,
                     EventLog& log)
    : context_(context),
      profile_(std::move(profile)),
      reload_(std::move(reload)),
      log_(log),
      random_(MakeRandomGenerator()),
      claim_(MakeClaim(random_, profile_.name)),
      peers_(profile_.name, state::LeaderCapacity(profile_)),
      link_(context,
            profile_,
            peers_,
            log,
            [this](const state::Address& from, protocol::HostMessage message) {
              HandleMessage(from, message);
            }),
      follower_(view_.table),
      pool_(profile_.zone,
            profile_.bounds,
            [this] { return RandomFraction(random_); }),
      store_(context.get_executor(), profile_.store, log),
      watch_(context.get_executor(),
             store_,
             pool_,
             log,
             {[this](std::shared_ptr<const state::RoutingConfig> config) {
                view_.config = config;
                view_.config_since = Now();
                pool_.SetConfig(*config);
                leader_.SetConfig(std::move(config));
              },
              [this](const std::set<std::string>& zones) {
                pool_.SetEvacuated(zones);
              },
              [this] { leader_.AnnounceProgress(); }}),
      leader_(context.get_executor(),
              profile_,
              claim_,
              RandomFraction(random_),
              store_,
              pool_,
              log,
              {[this](protocol::LeaderHeartbeat heartbeat) {
                 HandleFractions(Now(), heartbeat);
                 HandleCrashingRequests(Now(), heartbeat);
                 link_.Broadcast(Now(), std::move(heartbeat));
               },
               [this] { QueryHosts(); },
               [this](const state::OwnershipTable& table,
                      const std::vector<state::TableUpdate>& updates) {
                 follower_.HandlePublished(table, updates);
                 HandleTableChange();
               },
               [this](state::OwnershipTable table) {
                 if (follower_.HandleTable(std::move(table))) {
                   HandleTableChange();
                 }
               },
               [this] { return watch_.Progress(Now()); },
               [this](protocol::HeartbeatUpdate* update) {
                 watch_.TakeEntryUpdates(update);
               },
               [this] { return relay_.crash_watch().List(Now()); },
               [this] { return view_.hosts; },
               [this] { return peers_.HasMuchStronger(Now()); }}),
      sync_(
          context.get_executor(),
          profile_.link_mbps,
          view_.table,
          follower_,
          watch_,
          log,
          [this] { return RandomFraction(random_); },
          [this] { HandleTableChange(); }),
      relay_(
          context,
          profile_,
          view_,
          pool_,
          [this] { return RandomFraction(random_); },
          log,
          metrics_),
      pages_(profile_, view_, pool_, leader_),
      callers_(context, profile_.callers, view_, relay_, log),
      forwarded_(context,
                 ForwardAddress(profile_),
                 view_,
                 relay_,
                 log,
                 RequestSource::kHost),
      readiness_(context.get_executor(),
                 profile_.readiness,
                 SmallListenerLimits(relay_.connection_limits()),
                 [this](HttpRequest request) {
                   return AnswerReadiness(std::move(request));
                 }),
      peer_pages_(context.get_executor(),
                  {profile_.ip, profile_.peer_port},
                  PeerListenerLimits(relay_.connection_limits()),
                  [this](HttpRequest request) {
                    return AnswerPeer(std::move(request));
                  }),
      host_count_(kHostCountWindow),
      tick_timer_(context),
      signals_(context) {}

void EntryHost::Start() {
  log_.Write(LogPart::kHost, "started",
             {{"zone", profile_.zone},
              {"claim", claim_},
              {"retry_slack", profile_.bounds.retry_slack},
              {"cold_factor", profile_.bounds.cold_factor}});
  relay_.SetOwnGate(ForwardAddress(profile_));
  watch_.Start();
  readiness_.Start();
  if (profile_.operators.port != 0) {
    operators_.emplace(context_.get_executor(), profile_.operators,
                       SmallListenerLimits(relay_.connection_limits()),
                       [this](HttpRequest request) {
                         return AnswerOperators(std::move(request));
                       });
    operators_->Start();
  }
  peer_pages_.Start();
  link_.Start();
  asio::co_spawn(context_.get_executor(), Register(), asio::detached);
  signals_.add(SIGTERM);
  signals_.add(SIGHUP);
  AwaitSignal();
  ScheduleTick();
}

awaitable<void> EntryHost::Register() {
  const std::string topic(platform::kHostTopic);
  const Instant started = Now();
  bool written = false;
  std::int64_t written_era = 0;
  bool read = false;
  // A host that restarts must not follow an older term than before the restart.
  // Otherwise its reports would count as proof for a leader that has already
  // been replaced.
  bool knows_term = false;
  while (!written || !read || !knows_term) {
    // The registration is written before the others are read. If two hosts
    // start together, at least one of them then sees the other and queries it.
    if (!written) {
      written = co_await WriteRegistration();
      written_era = store_.era();
    }
    if (!knows_term) {
      knows_term = co_await ReadLedger();
    }
    const Duration wait = started + kFirstRegistrationTime - Now();
    if (profile_.bootstrap && wait > Duration(0)) {
      asio::steady_timer timer(context_, wait);
      co_await timer.async_wait(kNoThrow);
    }
    const auto page = co_await store_.ReadNewest(topic);
    if (page && knows_term) {
      read = written;
      RecordRegisteredHosts(*page);
      if (!registered_) {
        registered_ = true;
        leader_.Join(Now());
      }
      QueryHosts();
    }
    if (!written || !read || !knows_term) {
      asio::steady_timer timer(context_, kRegisterRetryDelay);
      co_await timer.async_wait(kNoThrow);
    }
  }
  registered_era_ = written_era;
}

awaitable<bool> EntryHost::WriteRegistration() {
  const std::string address =
      protocol::FormatAddress({profile_.ip, profile_.peer_port});
  const std::vector<platform::KeyedRecord> records(
      1, platform::KeyedRecord{
             profile_.name,
             protocol::EncodeHostRecord(
                 {address, profile_.zone, state::LeaderCapacity(profile_)}),
             0});
  // A retry under the same number has an effect only if the store lacks the
  // record.
  const platform::ProducerToken token{claim_, 1, 1};
  const auto outcome = co_await store_.Append(std::string(platform::kHostTopic),
                                              records, token, std::nullopt);
  co_return outcome == platform::AppendOutcome::kDone;
}

awaitable<void> EntryHost::RegisterAgain() {
  const std::int64_t era = store_.era();
  asio::steady_timer timer(context_);
  timer.expires_after(std::chrono::duration_cast<Duration>(
      kRegisterAgainSpread * RandomFraction(random_)));
  co_await timer.async_wait(kNoThrow);
  while (registered_era_ == era && !co_await WriteRegistration()) {
    timer.expires_after(kRegisterRetryDelay);
    co_await timer.async_wait(kNoThrow);
  }
}

void EntryHost::RecordRegisteredHosts(const TopicPage& page) {
  for (const platform::KeyedRecord& record : page.records) {
    const auto host =
        record.value ? protocol::DecodeHostRecord(*record.value) : std::nullopt;
    const auto address =
        host ? protocol::ParseAddress(host->address) : std::nullopt;
    if (address) {
      peers_.RecordRegistered(record.key,
                              {*address, host->zone, host->strength, Now()});
    }
  }
  leader_.SetRank(peers_.Rank(), peers_.KnowsMuchStronger());
}

protocol::LeaderQuery EntryHost::OwnQuery() const {
  return {profile_.name, claim_, profile_.zone,
          state::LeaderCapacity(profile_)};
}

void EntryHost::QueryHosts() {
  leader_.SetRank(peers_.Rank(), peers_.KnowsMuchStronger());
  for (const state::Address& address : peers_.Sample(
           kQueriedHosts, [this] { return RandomFraction(random_); })) {
    link_.Send(address, OwnQuery());
  }
}

void EntryHost::ScheduleTick() {
  tick_timer_.expires_after(kTickInterval);
  tick_timer_.async_wait([this](const beast::error_code& error) {
    if (!error) {
      LogLateTick(std::chrono::steady_clock::now() - tick_timer_.expiry());
      HandleTick();
      ScheduleTick();
    }
  });
}

void EntryHost::LogLateTick(std::chrono::steady_clock::duration lateness) {
  if (lateness < kLateTick) {
    return;
  }
  log_.Write(LogPart::kHost, "late-tick",
             {{"late_ms",
               std::chrono::duration_cast<std::chrono::milliseconds>(lateness)
                   .count()},
              {"leading", leader_.leading()}});
}

void EntryHost::HandleTick() {
  // Heartbeats that wait in the socket come before the decisions that depend on
  // their age, also if this host was suspended or short of processor time.
  link_.Drain();
  const Instant now = Now();
  if (registered_) {
    leader_.Tick(now);
  }
  watch_.Tick(now, leader_.leading());
  if (registered_era_ && *registered_era_ < store_.era()) {
    registered_era_ = store_.era();
    asio::co_spawn(context_.get_executor(), RegisterAgain(), asio::detached);
  }
  view_.config_confirmed_at = watch_.ConfigConfirmedAt();
  view_.servers_confirmed_at = watch_.ServersConfirmedAt();
  relay_.Tick(now);
  const bool announced = reported_announcements_ != pool_.announcements();
  const bool urgent = (relay_.organisation_limits().surging() ||
                       relay_.crash_watch().has_news()) &&
                      now - last_report_ >= kMinReportGap;
  if (now >= next_report_ || announced || urgent) {
    reported_announcements_ = pool_.announcements();
    next_report_ = now + kReportInterval;
    SendReport(now);
  }
  if (leader_.lost_contact(now)) {
    if (view_.config && now >= next_table_read_ && !reading_table_) {
      next_table_read_ = now + kTableReadInterval;
      reading_table_ = true;
      asio::co_spawn(context_.get_executor(), FetchRecordedTable(),
                     asio::detached);
    }
  } else if (!leader_.leading()) {
    sync_.Tick(now);
  }
  if (now >= next_slow_tick_) {
    next_slow_tick_ = now + kSlowTickInterval;
    callers_.Tick(now);
    forwarded_.Tick(now);
    RecordHostCount(now, peers_.CountHosts(now));
    peers_.Prune(now, leader_.leading(), view_.hosts);
    pool_.Prune(now);
    LogLimitUse(now);
    log_.Flush(now);
  }
  if (stopping_since_) {
    TickStop(now);
  }
}

void EntryHost::LogLimitUse(Instant now) {
  if (now < next_limit_log_) {
    return;
  }
  next_limit_log_ = now + kLimitLogInterval;
  for (const auto& [id, server] : pool_.servers()) {
    const state::ServerIncarnation incarnation = server.record.incarnation;
    const int sends = pool_.TakeSendCount(incarnation);
    const auto limit = server.announced.RateLimit(now);
    if (limit && !server.gone) {
      log_.Write(LogPart::kServers, "limit-use",
                 {{"server", id},
                  {"limit", *limit},
                  {"sends", static_cast<std::int64_t>(sends)},
                  {"period_ms", kLimitLogInterval.count() / 1000},
                  {"hosts", static_cast<std::int64_t>(view_.hosts)}});
    }
  }
}

void EntryHost::SendReport(Instant now) {
  protocol::HostReport report;
  report.host = profile_.name;
  report.term = leader_.term();
  report.era = store_.era();
  report.heartbeat_number =
      last_heartbeat_.first == report.term ? last_heartbeat_.second : 0;
  report.load = relay_.TakeLoad();
  report.zone = profile_.zone;
  report.strength = state::LeaderCapacity(profile_);
  report.forward_address = protocol::FormatAddress(ForwardAddress(profile_));
  report.stopping = stopping_since_.has_value();
  for (const auto& [id, server] : pool_.servers()) {
    // Servers without a new measurement are left out: an earlier report had
    // their latency.
    if (server.latency > 0 && server.latency_at >= last_report_ &&
        report.load.contains(server.record.service)) {
      report.relative_latency[id] = pool_.RelativeLatency(now, server);
    }
  }
  for (const auto& [service, load] : report.load) {
    if (const auto seconds = pool_.ExecutionSeconds(service)) {
      report.execution_seconds[service] = *seconds;
    }
  }
  report.announcements = announcement_reporter_.Report(now, pool_);
  report.organisations = relay_.organisation_limits().TakeCounts(now);
  last_report_ = now;
  const bool leading = leader_.leading();
  if (!leading &&
      (!registered_ || !leader_address_ || leader_.lost_contact(now))) {
    return;
  }
  report.crashes = relay_.crash_watch().MakeReport(now, report.term);
  if (leading) {
    leader_.HandleReport(now, report);
  } else {
    link_.Send(*leader_address_, report);
  }
}

void EntryHost::HandleMessage(const state::Address& from,
                              const protocol::HostMessage& message) {
  struct Visitor {
    EntryHost* host;
    const state::Address& from;

    void operator()(const protocol::LeaderHeartbeat& heartbeat) const {
      host->HandleHeartbeat(from, heartbeat);
    }
    void operator()(const protocol::LeaderQuery& query) const {
      host->HandleQuery(from, query);
    }
    void operator()(const protocol::LeaderQueryReply& reply) const {
      host->HandleQueryReply(from, reply);
    }
    void operator()(const protocol::HostReport& report) const {
      const Instant now = Now();
      host->store_.HandleEra(report.era);
      host->peers_.RecordHeard(now, report.host, from);
      host->peers_.RecordProperties(report.host, report.zone, report.strength);
      host->leader_.HandleReport(now, report);
    }
  };
  std::visit(Visitor{this, from}, message);
}

void EntryHost::HandleQuery(const state::Address& from,
                            const protocol::LeaderQuery& query) {
  const Instant now = Now();
  peers_.RecordHeard(now, query.host, from);
  peers_.RecordProperties(query.host, query.zone, query.strength);
  leader_.SetRank(peers_.Rank(), peers_.KnowsMuchStronger());
  protocol::LeaderQueryReply reply = leader_.QueryReply(now);
  if (reply.heard) {
    reply.leader = leader_.leading()
                       ? state::Address{profile_.ip, profile_.peer_port}
                       : leader_address_;
  }
  link_.Send(from, reply);
}

void EntryHost::HandleQueryReply(const state::Address& from,
                                 const protocol::LeaderQueryReply& reply) {
  const Instant now = Now();
  store_.HandleEra(reply.era);
  peers_.RecordHeard(now, reply.host, from);
  leader_.HandleQueryReply(now, reply);
  // The leader may not know this host yet.
  if (reply.leader && *reply.leader != from && !leader_.leading() &&
      leader_.TimeSinceLeaderHeard(now) == Duration::max()) {
    link_.Send(*reply.leader, OwnQuery());
  }
}

void EntryHost::HandleHeartbeat(const state::Address& from,
                                const protocol::LeaderHeartbeat& heartbeat) {
  const Instant now = Now();
  store_.HandleEra(std::max(heartbeat.era, heartbeat.progress.era));
  peers_.RecordHeard(now, heartbeat.host, heartbeat.address);
  leader_.HandleHeartbeat(now, heartbeat);
  if (heartbeat.term < leader_.term() || leader_.leading()) {
    return;
  }
  // Datagrams may overtake one another.
  const std::pair heartbeat_id(heartbeat.term, heartbeat.number);
  if (heartbeat_id >= last_heartbeat_) {
    last_heartbeat_ = heartbeat_id;
    HandleCrashingRequests(now, heartbeat);
  }
  leader_address_ = heartbeat.address;
  sync_.HandleHeartbeat(from, heartbeat.address);
  if (!heartbeat.stepping_down) {
    watch_.HandleProgress(now, heartbeat);
  }
  RecordHostCount(now, heartbeat.hosts);
  HandleFractions(now, heartbeat);
  if (heartbeat.update && heartbeat.update->changes_table() &&
      follower_.HandleUpdate({heartbeat.term, heartbeat.update->base_revision,
                              heartbeat.revision, heartbeat.update->changes,
                              heartbeat.update->gates,
                              heartbeat.update->limits})) {
    HandleTableChange();
  }
  // Revision 0 precedes the first table of a term.
  if (heartbeat.revision > 0) {
    follower_.HandleAnnouncement(now, heartbeat.term, heartbeat.revision);
  }
}

void EntryHost::HandleFractions(Instant now,
                                const protocol::LeaderHeartbeat& heartbeat) {
  admission::OrganisationLimits& limits = relay_.organisation_limits();
  if (heartbeat.organisations) {
    limits.SetFractions(now, *heartbeat.organisations);
  } else {
    limits.HandleLeader(now);
  }
}

void EntryHost::HandleCrashingRequests(
    Instant now,
    const protocol::LeaderHeartbeat& heartbeat) {
  coordination::CrashWatch& watch = relay_.crash_watch();
  watch.HandleList(now, heartbeat.crashing_requests);
  for (const coordination::CrashingRequest& change : watch.TakeChanges()) {
    log_.Write(LogPart::kRequest,
               change.refused ? "refuses-request" : "refuses-request-no-more",
               {{"fingerprint", protocol::FormatFingerprint(change.request)},
                {"crashes", static_cast<std::int64_t>(change.crashes)},
                {"trials", static_cast<std::int64_t>(change.trials)},
                {"next_trial_ms", change.retry_after.count() / 1000},
                {"leader", heartbeat.host},
                {"term", heartbeat.term}});
  }
}

awaitable<void> EntryHost::FetchRecordedTable() {
  co_await ReadLedger();
  reading_table_ = false;
}

awaitable<bool> EntryHost::ReadLedger() {
  const auto page =
      co_await store_.ReadNewest(std::string(platform::kOwnershipTopic));
  if (!page) {
    co_return false;
  }
  for (const platform::KeyedRecord& record : page->records) {
    if (!record.value) {
      continue;
    }
    std::string host;
    if (const auto head = protocol::DecodeLedgerHead(*record.value, &host)) {
      leader_.HandleTerm(head->term, head->era);
    } else if (auto table = protocol::DecodeTable(*record.value)) {
      state::MarkServingRanges(&*table);
      if (follower_.HandleTable(std::move(*table))) {
        HandleTableChange();
      }
    }
  }
  co_return true;
}

void EntryHost::HandleTableChange() {
  std::map<std::string, bool> gated;
  for (const auto& [server, gate] : view_.table.gates) {
    gated[server] = gate == ForwardAddress(profile_);
  }
  const Instant now = Now();
  pool_.SetGated(now, gated);
  pool_.SetPublishedLimits(now, view_.table.limits);
  relay_.HandleTableChange(now);
}

void EntryHost::RecordHostCount(Instant now, std::size_t hosts) {
  host_count_.Record(now, std::max<std::size_t>(1, hosts));
  view_.hosts = host_count_.value();
  pool_.SetHostCount(view_.hosts);
}

bool EntryHost::Ready() const {
  return !stopping_since_ && view_.config && watch_.servers_known();
}

awaitable<HttpReply> EntryHost::AnswerReadiness(HttpRequest request) {
  HttpReply reply;
  reply.status = request.path != platform::kReadyPath ? 404
                 : Ready()                            ? 200
                                                      : 503;
  co_return reply;
}

awaitable<HttpReply> EntryHost::AnswerOperators(HttpRequest request) {
  const Instant now = Now();
  if (request.path == "/metrics") {
    co_return MetricsPage(now);
  }
  if (request.path == "/v1/platform/status") {
    co_return pages_.Status(now);
  }
  if (request.path == "/v1/platform/owner") {
    co_return pages_.Owner(now, request);
  }
  HttpReply reply;
  reply.status = 404;
  co_return reply;
}

HttpReply EntryHost::MetricsPage(Instant now) {
  std::size_t blocked = 0;
  std::size_t unconfirmed = 0;
  std::size_t cold = 0;
  std::size_t limited = 0;
  std::size_t leaving = 0;
  std::size_t paused = 0;
  for (const auto& [id, server] : pool_.servers()) {
    blocked += !server.gone && now < server.blocked_until ? 1 : 0;
    unconfirmed += !server.gone && server.unconfirmed ? 1 : 0;
    cold += !server.gone && pool_.IsCold(now, server) ? 1 : 0;
    limited += !server.gone && server.announced.RateLimit(now) ? 1 : 0;
    leaving += !server.gone && server.announced.leaving_since() ? 1 : 0;
    paused += !server.gone && now < server.announced.paused_until() ? 1 : 0;
  }
  const auto seconds = [](Duration duration) {
    return std::chrono::duration<double>(duration).count();
  };
  relay_.SetMetrics(now);
  metrics_.Set("mustardflow_servers_blocked", static_cast<double>(blocked));
  metrics_.Set("mustardflow_servers_doubtful",
               static_cast<double>(unconfirmed));
  metrics_.Set("mustardflow_servers_cold", static_cast<double>(cold));
  metrics_.Set("mustardflow_servers_limited", static_cast<double>(limited));
  metrics_.Set("mustardflow_servers_leaving", static_cast<double>(leaving));
  metrics_.Set("mustardflow_servers_paused", static_cast<double>(paused));
  metrics_.Set("mustardflow_store_silence_seconds",
               seconds(watch_.StoreSilence(now)));
  metrics_.Set("mustardflow_store_calls_total",
               static_cast<double>(store_.calls()));
  metrics_.Set("mustardflow_leading", leader_.leading() ? 1 : 0);
  metrics_.Set("mustardflow_leader_silence_seconds",
               seconds(leader_.TimeSinceLeaderHeard(now)));
  metrics_.Set("mustardflow_entries_unreadable_total",
               static_cast<double>(watch_.unreadable_entries()));
  metrics_.Set("mustardflow_log_lines_suppressed_total",
               static_cast<double>(log_.suppressed()));
  HttpReply reply;
  reply.status = 200;
  reply.content_type = "text/plain; version=0.0.4";
  reply.body = metrics_.Page();
  return reply;
}

awaitable<HttpReply> EntryHost::AnswerPeer(HttpRequest request) {
  co_return sync_.Answer(request);
}

void EntryHost::AwaitSignal() {
  signals_.async_wait([this](const beast::error_code& error, int signal) {
    if (error) {
      return;
    }
    if (signal == SIGTERM) {
      BeginStop();
    } else {
      Reload();
    }
    AwaitSignal();
  });
}

void EntryHost::Reload() {
  const auto profile = reload_();
  if (profile) {
    profile_.bounds = profile->bounds;
    pool_.SetBounds(profile_.bounds);
    relay_.HandleBoundsChange();
  }
  log_.Write(LogPart::kHost, "reloaded",
             {{"usable", profile.has_value()},
              {"retry_slack", profile_.bounds.retry_slack},
              {"cold_factor", profile_.bounds.cold_factor}});
}

void EntryHost::BeginStop() {
  if (stopping_since_) {
    return;
  }
  stopping_since_ = Now();
  log_.Write(LogPart::kHost, "stopping",
             {{"requests", static_cast<std::int64_t>(relay_.active())}});
  leader_.StepDown();
  relay_.BeginStop(*stopping_since_);
  callers_.Drain();
  forwarded_.Drain();
}

void EntryHost::TickStop(Instant now) {
  const coordination::StopSchedule schedule(profile_.bounds.stop_grace);
  const Duration since = now - *stopping_since_;
  if (since < schedule.ReadingEnd()) {
    return;
  }
  callers_.StopReading();
  forwarded_.StopReading();
  if (since > schedule.RequestsEnd() && relay_.active() > 0) {
    log_.Write(LogPart::kHost, "requests-ended",
               {{"requests", static_cast<std::int64_t>(relay_.active())}});
    relay_.EndAll();
  }
  if (since > schedule.Exit() ||
      (relay_.active() == 0 && callers_.connections() == 0 &&
       forwarded_.connections() == 0)) {
    log_.Write(
        LogPart::kHost, "stopped",
        {{"connections", static_cast<std::int64_t>(callers_.connections())}});
    log_.Flush(now);
    context_.stop();
  }
}

}  // namespace mustardflow::transport
