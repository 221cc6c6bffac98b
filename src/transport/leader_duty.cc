// The leader's writes to the store, orders to servers, and heartbeats to hosts.

#include "transport/leader_duty.h"

#include <algorithm>
#include <utility>
#include <variant>
#include <vector>

#include "platform/server_protocol.h"
#include "protocol/crash_codec.h"
#include "protocol/object_reader.h"
#include "transport/clocks.h"

namespace mustardflow::transport {

using coordination::KeyOrder;
using coordination::OrderKind;
using coordination::OrderOutcome;
using coordination::WriteOutcome;
using platform::AppendOutcome;
using state::Duration;
using state::Instant;

namespace {

constexpr std::string_view kProducerName = "leader";
constexpr std::string_view kHeadKey = "lead";
constexpr std::string_view kTableKey = "table";
// The first sequence number of a term is a hash of the claim below this limit.
// If two hosts claim the same term, the store must not take the second claim
// for a retry of the first.
constexpr std::int64_t kFirstSequenceLimit = 1 << 30;
// Size of the update in one heartbeat. Together with the other fields of the
// heartbeat it fits into one Ethernet frame.
constexpr std::size_t kMaxUpdateBytes = 700;
// If an update takes more datagrams than this, it is not sent. Hosts then fetch
// the whole table, which is hardly larger than such an update, and read server
// entries from the store.
constexpr std::size_t kMaxUpdateParts = 24;
// The first table of a term is published when all keys are granted, or after
// this time. Until then the table of the term before is the better one, since
// servers keep their keys over a change of leader.
constexpr Duration kFirstTableDelay = std::chrono::milliseconds(500);
// A leader looks for a far stronger host after this time, in which all hosts
// have reported.
constexpr Duration kHandOverDelay = std::chrono::seconds(3);
// Minimum time between two publications of the table, for each host that takes
// part: after an update, and after a change for which all hosts fetch the
// table. Changes in between are sent together, so that the leader of many hosts
// does not saturate its link.
constexpr Duration kPublishIntervalPerHost = std::chrono::microseconds(400);
constexpr Duration kTableFetchIntervalPerHost = std::chrono::microseconds(3000);
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(200);
// From the start of a term until the first assignment of gates; all hosts have
// sent a report by then.
constexpr Duration kInitialGateDelay = std::chrono::milliseconds(900);
constexpr Duration kGateAssignmentInterval = std::chrono::milliseconds(300);
// The keys of paused servers stay where they are if these servers have more
// than this fraction of the service's capacity: the others would be overloaded.
constexpr double kMaxPausedFraction = 0.35;
constexpr Duration kServerListInterval = std::chrono::milliseconds(1000);
constexpr Duration kProbeInterval = std::chrono::milliseconds(800);
// Capacity of a cold server as a fraction of that of a warm one.
constexpr double kColdCapacityFactor = 0.5;
// The bounds of a server's relative latency.
constexpr double kMinRelativeLatency = 0.4;
constexpr double kMaxRelativeLatency = 4.0;

std::vector<platform::KeyedRecord> SingleRecord(std::string_view key,
                                                std::string value) {
  return std::vector<platform::KeyedRecord>(
      1, platform::KeyedRecord{std::string(key), std::move(value), 0});
}

// A time as it is logged: -1 if there is none.
std::int64_t MillisecondsOrNone(std::optional<Duration> time) {
  return time ? time->count() / 1000 : -1;
}

WriteOutcome ToWriteOutcome(AppendOutcome outcome) {
  switch (outcome) {
    case AppendOutcome::kDone:
      return WriteOutcome::kDone;
    case AppendOutcome::kFenced:
      return WriteOutcome::kFenced;
    case AppendOutcome::kConflict:
      return WriteOutcome::kConflict;
    case AppendOutcome::kRefused:
      return WriteOutcome::kRefused;
    case AppendOutcome::kUnknown:
      break;
  }
  return WriteOutcome::kUnknown;
}

// Converts parts that all change the table.
std::vector<state::TableUpdate> ToTableUpdates(
    std::int64_t term,
    const std::vector<protocol::HeartbeatUpdate>& parts) {
  std::vector<state::TableUpdate> updates;
  for (const protocol::HeartbeatUpdate& part : parts) {
    updates.push_back({term, part.base_revision, part.base_revision + 1,
                       part.changes, part.gates, part.limits});
  }
  return updates;
}

}  // namespace

LeaderDuty::LeaderDuty(asio::any_io_executor executor,
                       const state::HostProfile& profile,
                       std::string claim,
                       double stagger,
                       StoreClient& store,
                       const coordination::ServerPool& pool,
                       EventLog& log,
                       Hooks hooks)
    : executor_(executor),
      profile_(profile),
      claim_(claim),
      store_(store),
      pool_(pool),
      log_(log),
      hooks_(std::move(hooks)),
      order_client_(executor),
      election_(Now(), std::move(claim), stagger, profile.bootstrap),
      outcomes_tick_(executor_, [this] { TickAfterOutcomes(); }),
      organisations_(profile.bounds) {}

void LeaderDuty::SetConfig(std::shared_ptr<const state::RoutingConfig> config) {
  config_ = std::move(config);
}

void LeaderDuty::HandleHeartbeat(Instant now,
                                 const protocol::LeaderHeartbeat& heartbeat) {
  election_.HandleHeartbeat(now, heartbeat.term, heartbeat.stepping_down,
                            heartbeat.era);
}

void LeaderDuty::HandleQueryReply(Instant now,
                                  const protocol::LeaderQueryReply& reply) {
  election_.HandleQueryReply(now, reply.term, reply.heard, reply.era);
}

void LeaderDuty::HandleReport(Instant now, const protocol::HostReport& report) {
  if (!leading() || report.term != election_.term()) {
    return;
  }
  if (report.host != profile_.name) {
    if (const auto written =
            proof_.RecordReport(report.host, report.heartbeat_number)) {
      HandleDelivery(now, *written);
    }
    RecordGateHost(now, report);
    if (report.host == ledger_host_ && ledger_settled_) {
      proof_.HandlePredecessorFollows(now);
    }
  }
  const std::uint64_t change = announcements_.change();
  announcements_.Record(now, report.host, report.announcements);
  if (announcements_.change() != change) {
    next_server_list_ = now;
    next_gate_assignment_ = std::min(next_gate_assignment_, now);
  }
  organisations_.Record(now, report.host, report.organisations);
  if (crash_tracker_.Record(now, report.crashes)) {
    AnnounceProgress();
  }
  for (const auto& [service, load] : report.load) {
    const auto found = keyspaces_.find(service);
    if (found == keyspaces_.end() || load.samples.empty()) {
      continue;
    }
    const double weight = static_cast<double>(load.requests) /
                          static_cast<double>(load.samples.size());
    for (const auto sample : load.samples) {
      found->second.coordinator->load().Add(
          static_cast<state::ShardKey>(sample), weight);
    }
  }
  for (const auto& [server, relative_latency] : report.relative_latency) {
    relative_latencies_.Record(now, server, report.host, relative_latency);
  }
  for (const auto& [service, seconds] : report.execution_seconds) {
    execution_seconds_.Record(now, service, report.host, seconds);
  }
}

protocol::LeaderQueryReply LeaderDuty::QueryReply(Instant now) const {
  protocol::LeaderQueryReply reply;
  reply.host = profile_.name;
  reply.term = election_.term();
  reply.era = election_.term_era();
  if (leading() && !election_.stepping_down(now)) {
    reply.heard = Duration(0);
  } else if (const auto heard = election_.last_heartbeat();
             heard && !election_.leader_stepping_down()) {
    reply.heard = now - *heard;
  }
  return reply;
}

Duration LeaderDuty::TimeSinceLeaderHeard(Instant now) const {
  const auto heard = election_.last_heartbeat();
  if (leading()) {
    return Duration(0);
  }
  if (!heard) {
    return Duration::max();
  }
  return now - *heard;
}

void LeaderDuty::Tick(Instant now) {
  UpdateEra();
  for (const coordination::ElectionAction& action : election_.Tick(now)) {
    Perform(now, action);
  }
  // Comes first, so that hosts do not lose contact with a leader that is late
  // with its other work.
  if (leading() && now >= next_heartbeat_) {
    SendHeartbeat(now);
  }
  if (leading() && config_) {
    HandOverIfWeak(now);
    UpdatePredecessorEnd(now);
    if (election_.stepping_down(now) || election_.outdated()) {
      ExtendLeadershipByReports(now);
    }
    TickKeyspaces(now);
  }
}

void LeaderDuty::HandOverIfWeak(Instant now) {
  // A successor would have to wait for leases as long as this leader.
  if (hand_over_checked_ || Recovering(now) ||
      now - leading_since_ < kHandOverDelay) {
    return;
  }
  hand_over_checked_ = true;
  if (hooks_.has_stronger_host()) {
    log_.Write(LogPart::kLeader, "hands-over", {{"term", election_.term()}});
    election_.HandOver(now);
  }
}

void LeaderDuty::Perform(Instant now,
                         const coordination::ElectionAction& action) {
  struct Visitor {
    LeaderDuty* duty;
    Instant now;

    void operator()(const coordination::QueryHosts&) const {
      duty->hooks_.query_hosts();
    }
    void operator()(const coordination::ReadLedger&) const {
      asio::co_spawn(duty->executor_, duty->ReadLedger(), asio::detached);
    }
    void operator()(const coordination::ClaimTerm& claim) const {
      asio::co_spawn(duty->executor_, duty->WriteClaim(claim), asio::detached);
    }
    void operator()(const coordination::RenewTerm& renew) const {
      asio::co_spawn(duty->executor_,
                     duty->WriteRenewal(duty->election_.term(), renew.renewal),
                     asio::detached);
    }
    void operator()(const coordination::BeginLeading&) const {
      duty->BeginLeading(now);
    }
    void operator()(const coordination::StopLeading& stop) const {
      duty->EndLeading(now, stop);
    }
  };
  std::visit(Visitor{this, now}, action);
}

awaitable<void> LeaderDuty::ReadLedger() {
  const auto page =
      co_await store_.ReadNewest(std::string(platform::kOwnershipTopic));
  UpdateEra();
  if (!page) {
    election_.HandleLedger(Now(), std::nullopt);
    co_return;
  }
  coordination::LedgerHead head;
  state::OwnershipTable table;
  std::string host;
  for (const platform::KeyedRecord& record : page->records) {
    if (record.key == kHeadKey && record.value) {
      head = protocol::DecodeLedgerHead(*record.value, &host)
                 .value_or(coordination::LedgerHead());
    } else if (record.key == kTableKey && record.value) {
      table = protocol::DecodeTable(*record.value)
                  .value_or(state::OwnershipTable());
    }
  }
  head.end = page->next;
  head.store_era = page->era;
  AdoptLedger(head, host, std::move(table));
  if (!leading() && ledger_table_.NewerThan(table_)) {
    state::OwnershipTable routed = ledger_table_;
    state::MarkServingRanges(&routed);
    hooks_.table_read(std::move(routed));
  }
  election_.HandleLedger(Now(), head);
}

void LeaderDuty::UpdateEra() {
  election_.HandleEra(Now(), store_.era());
  if (election_.outdated()) {
    proof_.HandleNewEra();
  }
}

void LeaderDuty::AdoptLedger(const coordination::LedgerHead& head,
                             const std::string& host,
                             state::OwnershipTable table) {
  if (head.era == head.store_era ||
      (known_owners_ && known_owners_->era != head.store_era)) {
    known_owners_.reset();
  }
  if (known_owners_) {
    ledger_host_ = profile_.name;
    ledger_settled_ = known_owners_->settled;
    ledger_outdated_ = false;
    ledger_table_ = known_owners_->table;
    return;
  }
  // Before the first start, the store's first era has an empty ledger.
  const bool first_start =
      head.end == 0 && (profile_.bootstrap || head.store_era <= 1);
  ledger_outdated_ =
      head.recovering || (head.era < head.store_era && !first_start);
  if (head.claim != claim_) {
    ledger_host_ = host;
    ledger_settled_ = head.settled;
  }
  if (ledger_outdated_) {
    // The predecessor may be a host that the ledger does not name.
    ledger_settled_ = false;
  }
  ledger_table_ = std::move(table);
}

bool LeaderDuty::Recovering(Instant now) const {
  return began_outdated_ && now < predecessor_end_ +
                                      coordination::kMaxTransitTime +
                                      coordination::kMaxLeaseDuration;
}

std::int64_t LeaderDuty::FirstSequence() const {
  return static_cast<std::int64_t>(std::hash<std::string>()(claim_) %
                                   kFirstSequenceLimit);
}

awaitable<void> LeaderDuty::WriteClaim(coordination::ClaimTerm claim) {
  const Instant sent = Now();
  coordination::LedgerHead head;
  head.term = claim.term;
  head.claim = claim_;
  head.era = claim.era;
  head.recovering = ledger_outdated_;
  auto records =
      SingleRecord(kHeadKey, protocol::EncodeLedgerHead(head, profile_.name));
  if (known_owners_) {
    // A successor must not take the table that the store has put back.
    records.push_back({std::string(kTableKey),
                       protocol::EncodeTable(known_owners_->table), 0});
  }
  const platform::ProducerToken token{kProducerName, claim.term,
                                      FirstSequence()};
  const AppendOutcome outcome =
      co_await store_.Append(std::string(platform::kOwnershipTopic),
                             std::move(records), token, claim.ledger_end);
  log_.Write(LogPart::kLeader, "claimed",
             {{"term", claim.term},
              {"at", claim.ledger_end},
              {"era", claim.era},
              {"outcome", static_cast<std::int64_t>(outcome)}});
  UpdateEra();
  election_.HandleWrite(Now(), sent, ToWriteOutcome(outcome));
}

awaitable<AppendOutcome> LeaderDuty::Append(
    std::vector<platform::KeyedRecord> records) {
  const std::shared_ptr<TermWriter> writer = writer_;
  writer->pending = true;
  AppendOutcome outcome = AppendOutcome::kDone;
  if (writer->unresolved) {
    outcome = co_await AppendNext(writer, *writer->unresolved);
  }
  if (outcome == AppendOutcome::kDone) {
    writer->unresolved = records;
    outcome = co_await AppendNext(writer, std::move(records));
    if (outcome == AppendOutcome::kRefused) {
      writer->unresolved.reset();
    }
  }
  writer->pending = false;
  const bool lost =
      outcome == AppendOutcome::kFenced || outcome == AppendOutcome::kConflict;
  if (lost && writer == writer_) {
    election_.HandleFenced();
  }
  co_return outcome;
}

awaitable<AppendOutcome> LeaderDuty::AppendNext(
    std::shared_ptr<TermWriter> writer,
    std::vector<platform::KeyedRecord> records) {
  const platform::ProducerToken token{kProducerName, writer->term,
                                      writer->next_sequence};
  const AppendOutcome outcome =
      co_await store_.Append(std::string(platform::kOwnershipTopic),
                             std::move(records), token, std::nullopt);
  UpdateEra();
  if (store_.era() != writer->era) {
    // The store may have lost the record, or the term as a whole.
    co_return AppendOutcome::kUnknown;
  }
  if (outcome == AppendOutcome::kDone) {
    ++writer->next_sequence;
    writer->unresolved.reset();
  }
  co_return outcome;
}

awaitable<void> LeaderDuty::WriteRenewal(std::int64_t term,
                                         std::int64_t renewal_count) {
  if (!leading() || writer_->pending) {
    // The write in progress also proves the leadership once it is confirmed, so
    // this renewal is not needed.
    election_.HandleWrite(Now(), Now(), WriteOutcome::kRefused);
    co_return;
  }
  const Instant sent = Now();
  renewal_count_ = renewal_count;
  const AppendOutcome outcome = co_await Append(HeadRecord(term, sent));
  if (term == election_.term()) {
    election_.HandleWrite(Now(), sent, ToWriteOutcome(outcome));
    if (outcome == AppendOutcome::kDone) {
      HandleProof(sent);
    }
  }
}

void LeaderDuty::HandleProof(Instant sent) {
  proof_.RecordStoreConfirmation(sent);
  ExtendLeadership(sent);
  HandleDelivery(Now(), sent);
}

void LeaderDuty::HandleDelivery(Instant now, Instant written) {
  if (written <= delivered_) {
    return;
  }
  delivered_ = written;
  for (auto& [service, keyspace] : keyspaces_) {
    keyspace.coordinator->HandleDelivery(now, written);
  }
}

void LeaderDuty::ExtendLeadership(Instant sent) {
  for (auto& [service, keyspace] : keyspaces_) {
    keyspace.coordinator->HandleProof(sent);
  }
}

awaitable<void> LeaderDuty::WriteTable(std::int64_t term) {
  const Instant sent = Now();
  std::map<std::string, std::uint64_t> changes;
  for (const auto& [service, keyspace] : keyspaces_) {
    changes[service] = keyspace.coordinator->recorded_change();
  }
  const AppendOutcome outcome = co_await Append(
      SingleRecord(kTableKey, protocol::EncodeTable(RecordedTable())));
  if (!HandleWritten(term, sent, outcome)) {
    co_return;
  }
  for (const auto& [service, change] : changes) {
    const auto found = keyspaces_.find(service);
    if (found != keyspaces_.end()) {
      found->second.written_change = change;
      found->second.coordinator->HandleRecordConfirmed(change);
    }
  }
  TickKeyspaces(Now());
}

awaitable<void> LeaderDuty::WriteProof(std::int64_t term) {
  const Instant sent = Now();
  const AppendOutcome outcome = co_await Append(HeadRecord(term, sent));
  if (HandleWritten(term, sent, outcome)) {
    TickKeyspaces(Now());
  }
}

bool LeaderDuty::HandleWritten(std::int64_t term,
                               Instant sent,
                               AppendOutcome outcome) {
  if (outcome != AppendOutcome::kDone) {
    ledger_schedule_.HandleFailure(Now());
    return false;
  }
  if (!leading() || term != election_.term() || election_.outdated()) {
    return false;
  }
  election_.HandleProof(sent);
  HandleProof(sent);
  return true;
}

std::vector<platform::KeyedRecord> LeaderDuty::HeadRecord(std::int64_t term,
                                                          Instant now) const {
  coordination::LedgerHead head;
  head.term = term;
  head.claim = claim_;
  head.renewal = renewal_count_;
  head.settled = now >= predecessor_end_;
  head.era = election_.term_era();
  head.recovering = Recovering(now);
  return SingleRecord(kHeadKey,
                      protocol::EncodeLedgerHead(head, profile_.name));
}

state::OwnershipTable LeaderDuty::RecordedTable() const {
  state::OwnershipTable recorded;
  recorded.term = election_.term();
  recorded.revision = table_.revision;
  // Services that are not keyed at present keep their ranges in the ledger.
  recorded.services = ledger_table_.services;
  for (const auto& [service, keyspace] : keyspaces_) {
    recorded.services[service] = keyspace.coordinator->RecordedRanges();
  }
  return recorded;
}

void LeaderDuty::ExtendLeadershipByReports(Instant now) {
  if (const auto since = proof_.FollowedSince(now, hooks_.host_count())) {
    ExtendLeadership(*since);
  }
}

void LeaderDuty::UpdatePredecessorEnd(Instant now) {
  const Instant end = proof_.PredecessorEnd(now, hooks_.host_count());
  if (end >= predecessor_end_) {
    return;
  }
  predecessor_end_ = end;
  log_.Write(
      LogPart::kLeader, "predecessor-end",
      {{"predecessor", ledger_host_}, {"in_ms", (end - now).count() / 1000}});
  for (auto& [service, keyspace] : keyspaces_) {
    keyspace.coordinator->HandlePredecessorEnd(end);
  }
}

void LeaderDuty::BeginLeading(Instant now) {
  leading_since_ = now;
  hand_over_checked_ = false;
  writer_ = std::make_shared<TermWriter>();
  writer_->term = election_.term();
  writer_->era = election_.term_era();
  began_outdated_ = ledger_outdated_;
  known_owners_.reset();
  writer_->next_sequence = FirstSequence() + 1;
  keyspaces_.clear();
  // The previous leader may be suspended, and so not know yet that its term has
  // ended.
  delivered_ = Instant();
  proof_.Begin(now, election_.last_proof(),
               began_outdated_ || !ledger_host_.empty());
  if (ledger_host_ == profile_.name && ledger_settled_) {
    proof_.HandlePredecessorFollows(now);
  }
  predecessor_end_ = proof_.PredecessorEnd(now, hooks_.host_count());
  pool_change_ = 0;
  next_server_list_ = now;
  ledger_schedule_ = coordination::LedgerSchedule();
  renewal_count_ = 0;
  next_heartbeat_ = now;
  organisations_.Begin(now);
  crash_tracker_.Begin(now, hooks_.crashing_requests());
  gate_assignment_ = coordination::GateAssignment();
  next_gate_assignment_ = now + kInitialGateDelay;
  table_ = state::OwnershipTable();
  table_.term = election_.term();
  log_.Write(LogPart::kLeader, "leading",
             {{"term", election_.term()},
              {"era", election_.term_era()},
              {"outdated", began_outdated_},
              {"predecessor", ledger_host_},
              {"ledger_revision", ledger_table_.revision}});
  if (config_) {
    TickKeyspaces(now);
  }
  SendHeartbeat(now);
}

void LeaderDuty::EndLeading(Instant now,
                            const coordination::StopLeading& stop) {
  known_owners_.reset();
  if (stop.enters_era && MayGrant(now)) {
    known_owners_ =
        KnownOwners{store_.era(), RecordedTable(), now >= predecessor_end_};
  }
  log_.Write(LogPart::kLeader, "stopped-leading",
             {{"term", table_.term},
              {"reason", stop.reason},
              {"knows_owners", known_owners_.has_value()}});
  keyspaces_.clear();
}

void LeaderDuty::AddKeyspaces(Instant now) {
  for (const auto& [service, rules] : config_->services()) {
    if (!rules.keyed || keyspaces_.contains(service)) {
      continue;
    }
    const auto recorded = ledger_table_.services.find(service);
    keyspaces_[service].coordinator =
        std::make_unique<coordination::KeyspaceCoordinator>(
            now, election_.term(),
            recorded == ledger_table_.services.end() ? state::ServiceRanges()
                                                     : recorded->second,
            predecessor_end_);
    pool_change_ = 0;
  }
}

void LeaderDuty::UpdateServerList(Instant now) {
  if (pool_change_ == pool_.change() && now < next_server_list_) {
    return;
  }
  pool_change_ = pool_.change();
  next_server_list_ = now + kServerListInterval;
  PruneServers();
  std::map<std::string, std::vector<coordination::KeyServer>> servers;
  for (const auto& [id, server] : pool_.servers()) {
    if (!keyspaces_.contains(server.record.service)) {
      continue;
    }
    server_records_[id] = server.record;
    if (server.gone) {
      continue;
    }
    coordination::KeyServer entry;
    entry.incarnation = server.record.incarnation;
    entry.capacity = server.record.slots / RelativeLatency(now, id) *
                     (pool_.IsCold(now, server) ? kColdCapacityFactor : 1);
    entry.eligible = !pool_.IsOutOfService(server) &&
                     !announcements_.IsLeaving(entry.incarnation);
    entry.rate_limit = announcements_.RateLimit(now, entry.incarnation);
    entry.recovery_rate = announcements_.RecoveryRate(now, entry.incarnation);
    servers[server.record.service].push_back(std::move(entry));
  }
  for (auto& [service, keyspace] : keyspaces_) {
    ExcludePaused(now, &servers[service]);
    keyspace.coordinator->SetExecutionTime(
        execution_seconds_.Mean(now, service));
    keyspace.coordinator->SetServers(now, std::move(servers[service]));
  }
}

void LeaderDuty::ExcludePaused(
    Instant now,
    std::vector<coordination::KeyServer>* servers) const {
  double total = 0;
  double paused_total = 0;
  std::vector<coordination::KeyServer*> paused;
  for (coordination::KeyServer& server : *servers) {
    if (!server.eligible) {
      continue;
    }
    total += server.capacity;
    // A gate sends all requests of a server, so its pause concerns all callers.
    const std::size_t enough = table_.gates.contains(server.incarnation.id)
                                   ? 1
                                   : (hooks_.host_count() + 1) / 2;
    if (announcements_.IsPaused(now, server.incarnation, enough)) {
      paused_total += server.capacity;
      paused.push_back(&server);
    }
  }
  if (paused_total > kMaxPausedFraction * total) {
    return;
  }
  for (coordination::KeyServer* server : paused) {
    server->eligible = false;
  }
}

double LeaderDuty::RelativeLatency(Instant now, const std::string& server) {
  return std::clamp(relative_latencies_.Mean(now, server).value_or(1),
                    kMinRelativeLatency, kMaxRelativeLatency);
}

void LeaderDuty::PruneServers() {
  const auto is_forgotten = [this](const std::string& server) {
    return !pool_.servers().contains(server);
  };
  std::erase_if(server_records_, [&is_forgotten](const auto& entry) {
    return is_forgotten(entry.first);
  });
  relative_latencies_.Prune(is_forgotten);
  announcements_.Prune(is_forgotten);
  execution_seconds_.Prune([this](const std::string& service) {
    return !keyspaces_.contains(service);
  });
}

void LeaderDuty::RecordGateHost(Instant now,
                                const protocol::HostReport& report) {
  const auto address = protocol::ParseAddress(report.forward_address);
  if (report.stopping || !address) {
    gate_assignment_.RemoveHost(report.host);
    return;
  }
  gate_assignment_.RecordHost(
      now, {report.host, report.zone, *address, report.strength});
}

std::map<std::string, std::optional<state::Address>> LeaderDuty::UpdateGates(
    Instant now) {
  std::map<std::string, std::optional<state::Address>> changes;
  std::vector<coordination::GatedServer> servers;
  for (const auto& [id, server] : pool_.servers()) {
    if (keyspaces_.contains(server.record.service) && !server.gone) {
      servers.push_back(
          {id, server.record.zone, server.record.slots,
           announcements_.RateLimit(now, server.record.incarnation)});
    }
  }
  state::GateAddresses gates = gate_assignment_.Assign(now, servers);
  for (const auto& [server, address] : gates) {
    const auto before = table_.gates.find(server);
    if (before == table_.gates.end() || before->second != address) {
      changes[server] = address;
    }
  }
  for (const auto& [server, address] : table_.gates) {
    if (!gates.contains(server)) {
      changes[server] = std::nullopt;
    }
  }
  table_.gates = std::move(gates);
  return changes;
}

coordination::LimitChanges LeaderDuty::UpdateLimits(Instant now) {
  state::ServerLimits stated;
  for (const auto& [id, server] : pool_.servers()) {
    const auto limit = announcements_.Statement(now, server.record.incarnation);
    if (limit && !server.gone) {
      stated[id] = *limit;
    }
  }
  coordination::LimitChanges changes =
      coordination::UpdatePublishedLimits(stated, &table_.limits);
  for (const auto& [server, limit] : changes) {
    if (limit) {
      log_.Write(LogPart::kLeader, "limit-published",
                 {{"server", server},
                  {"born", limit->start_time_ms},
                  {"limit", limit->rate.value_or(-1)},
                  {"hosts", static_cast<std::int64_t>(hooks_.host_count())}});
    }
  }
  return changes;
}

bool LeaderDuty::MayGrant(Instant now) {
  const bool may_grant_now =
      !Recovering(now) && proof_.MayGrant(now, hooks_.host_count());
  if (may_grant_now != may_grant_) {
    may_grant_ = may_grant_now;
    log_.Write(
        LogPart::kLeader, may_grant_now ? "grants-resumed" : "grants-paused",
        {{"term", election_.term()},
         {"proof_age_ms", (now - election_.last_proof()).count() / 1000}});
  }
  return may_grant_now;
}

void LeaderDuty::LogExpiredLeases(
    Instant now,
    const std::string& service,
    coordination::KeyspaceCoordinator& coordinator) {
  for (const coordination::ExpiredLease& lease :
       coordinator.TakeExpiredLeases()) {
    const coordination::GrantResult& grant = lease.last_grant;
    log_.Write(LogPart::kKeys, "lease-expired",
               {{"service", service},
                {"server", lease.server.id},
                {"first", static_cast<std::int64_t>(lease.first)},
                {"last", static_cast<std::int64_t>(lease.last)},
                {"order", static_cast<std::int64_t>(grant.order)},
                {"outcome", static_cast<std::int64_t>(grant.outcome)},
                {"grant_age_ms", (now - grant.at).count() / 1000}});
  }
}

void LeaderDuty::TickKeyspaces(Instant now) {
  AddKeyspaces(now);
  UpdateServerList(now);
  const bool may_grant = MayGrant(now);
  for (auto& [service, keyspace] : keyspaces_) {
    keyspace.coordinator->SetBeginsMoves(!election_.outdated());
    if (may_grant) {
      for (KeyOrder& order : keyspace.coordinator->Tick(now)) {
        asio::co_spawn(executor_,
                       SendOrder(election_.term(), service, std::move(order)),
                       asio::detached);
      }
    }
    LogExpiredLeases(now, service, *keyspace.coordinator);
  }
  Publish(now);
  WriteLedger(now);
  if (now >= next_probe_) {
    next_probe_ = now + kProbeInterval;
    for (auto& [service, keyspace] : keyspaces_) {
      for (const state::ServerIncarnation& server :
           keyspace.coordinator->UnresponsiveServers()) {
        asio::co_spawn(executor_,
                       ProbeServer(election_.term(), service, server),
                       asio::detached);
      }
    }
  }
}

void LeaderDuty::WriteLedger(Instant now) {
  if (writer_->pending || election_.outdated()) {
    return;
  }
  coordination::LedgerNeeds needs;
  for (const auto& [service, keyspace] : keyspaces_) {
    const coordination::KeyspaceCoordinator& coordinator =
        *keyspace.coordinator;
    needs.confirmation = needs.confirmation || coordinator.waits_for_record();
    needs.proof = needs.proof || coordinator.waits_for_proof();
    needs.update = needs.update ||
                   coordinator.recorded_change() != keyspace.written_change;
  }
  const coordination::LedgerWrite write = ledger_schedule_.Next(now, needs);
  if (write == coordination::LedgerWrite::kNone) {
    return;
  }
  writer_->pending = true;
  asio::co_spawn(executor_,
                 write == coordination::LedgerWrite::kTable
                     ? WriteTable(election_.term())
                     : WriteProof(election_.term()),
                 asio::detached);
}

void LeaderDuty::TickAfterOutcomes() {
  if (leading() && config_) {
    TickKeyspaces(Now());
  }
}

bool LeaderDuty::IsTableIncomplete(Instant now) const {
  if (table_.revision > 0 || now - leading_since_ >= kFirstTableDelay) {
    return false;
  }
  return std::any_of(keyspaces_.begin(), keyspaces_.end(),
                     [](const auto& entry) {
                       return !entry.second.coordinator->serves_all_keys();
                     });
}

void LeaderDuty::Publish(Instant now) {
  if (now < next_publish_ || IsTableIncomplete(now)) {
    return;
  }
  protocol::HeartbeatUpdate update;
  update.base_revision = table_.revision;
  bool changed = false;
  for (auto& [service, keyspace] : keyspaces_) {
    if (keyspace.published_change != keyspace.coordinator->routed_change()) {
      keyspace.published_change = keyspace.coordinator->routed_change();
      state::ServiceRanges ranges = keyspace.coordinator->RoutedRanges();
      update.changes[service] =
          state::DiffRanges(table_.services[service], ranges);
      table_.services[service] = std::move(ranges);
      changed = true;
    }
  }
  if (now >= next_gate_assignment_) {
    next_gate_assignment_ = now + kGateAssignmentInterval;
    update.gates = UpdateGates(now);
    update.limits = UpdateLimits(now);
  }
  if (changed || update.changes_table()) {
    next_publish_ =
        now + kPublishIntervalPerHost * static_cast<int>(hooks_.host_count());
    std::vector<protocol::HeartbeatUpdate> parts =
        protocol::SplitUpdate(update, kMaxUpdateBytes);
    const std::int64_t base = table_.revision;
    if (parts.size() > kMaxUpdateParts) {
      parts.clear();
      // All hosts fetch the table now. The next publication waits until they
      // have it.
      next_publish_ = now + kTableFetchIntervalPerHost *
                                static_cast<int>(hooks_.host_count());
    }
    table_.revision +=
        static_cast<std::int64_t>(std::max<std::size_t>(1, parts.size()));
    hooks_.published(table_, ToTableUpdates(table_.term, parts));
    SendUpdates(now, base, std::move(parts));
    SendHeartbeat(now);
  }
}

protocol::LeaderHeartbeat LeaderDuty::MakeHeartbeat(Instant now) {
  protocol::LeaderHeartbeat heartbeat;
  heartbeat.host = profile_.name;
  heartbeat.address = {profile_.ip, profile_.peer_port};
  heartbeat.term = election_.term();
  heartbeat.era = election_.term_era();
  heartbeat.revision = table_.revision;
  heartbeat.progress = hooks_.progress();
  heartbeat.stepping_down = election_.stepping_down(now);
  heartbeat.hosts = hooks_.host_count();
  heartbeat.number = proof_.RecordSentHeartbeat(now);
  heartbeat.organisations = std::exchange(fractions_, std::nullopt);
  heartbeat.crashing_requests = UpdateCrashingRequests(now);
  return heartbeat;
}

std::vector<coordination::CrashingRequest> LeaderDuty::UpdateCrashingRequests(
    Instant now) {
  std::vector<coordination::CrashingRequest> list = crash_tracker_.Update(now);
  for (const auto& decision : crash_tracker_.TakeDecisions()) {
    std::string servers;
    for (const state::ServerIncarnation& server : decision.servers) {
      servers += (servers.empty() ? "" : ",") + server.id;
    }
    log_.Write(
        LogPart::kLeader,
        decision.refused ? "crashing-request" : "crashing-request-cleared",
        {{"fingerprint", protocol::FormatFingerprint(decision.request)},
         {"servers", servers},
         {"first_crash_age_ms", MillisecondsOrNone(decision.first_crash_age)},
         {"answer_age_ms", MillisecondsOrNone(decision.answer_age)},
         {"trials", static_cast<std::int64_t>(decision.trials)}});
  }
  return list;
}

void LeaderDuty::SendUpdates(Instant now,
                             std::int64_t revision,
                             std::vector<protocol::HeartbeatUpdate> parts) {
  protocol::LeaderHeartbeat heartbeat = MakeHeartbeat(now);
  for (protocol::HeartbeatUpdate& part : parts) {
    revision += part.changes_table() ? 1 : 0;
    heartbeat.revision = revision;
    heartbeat.update = std::move(part);
    hooks_.broadcast(heartbeat);
  }
}

void LeaderDuty::SendHeartbeat(Instant now) {
  next_heartbeat_ = now + kHeartbeatInterval;
  protocol::HeartbeatUpdate update;
  update.base_revision = table_.revision;
  hooks_.take_entries(&update);
  std::vector<protocol::HeartbeatUpdate> parts =
      protocol::SplitUpdate(update, kMaxUpdateBytes);
  if (parts.size() > kMaxUpdateParts) {
    // Hosts that miss an entry see from the announced offset that they are
    // behind, and read the entry from the store.
    parts.clear();
  }
  fractions_ = UpdateFractions(now);
  if (parts.empty()) {
    hooks_.broadcast(MakeHeartbeat(now));
  } else {
    SendUpdates(now, table_.revision, std::move(parts));
  }
}

std::optional<admission::OrganisationFractions> LeaderDuty::UpdateFractions(
    Instant now) {
  if (!config_ || !config_->organisations()) {
    return std::nullopt;
  }
  auto fractions = organisations_.Update(now, *config_, hooks_.host_count());
  for (const admission::FractionChange& change : organisations_.TakeChanges()) {
    log_.Write(LogPart::kLeader, "organisation-fraction",
               {{"organisation", change.organisation},
                {"fraction", change.fraction},
                {"demand", change.demand},
                {"limit", change.limit},
                {"level", change.level},
                {"hosts", static_cast<std::int64_t>(hooks_.host_count())}});
  }
  return fractions;
}

const state::ServerRecord* LeaderDuty::FindRecord(
    const state::ServerIncarnation& incarnation) const {
  const auto found = server_records_.find(incarnation.id);
  return found != server_records_.end() &&
                 found->second.incarnation == incarnation
             ? &found->second
             : nullptr;
}

coordination::KeyspaceCoordinator* LeaderDuty::FindCoordinator(
    std::int64_t term,
    const std::string& service) {
  const auto found = keyspaces_.find(service);
  return leading() && term == election_.term() && found != keyspaces_.end()
             ? found->second.coordinator.get()
             : nullptr;
}

bool LeaderDuty::MayWrite(std::int64_t term,
                          const std::string& service,
                          const KeyOrder& order,
                          const state::Address& address) {
  const state::ServerRecord* record = FindRecord(order.server);
  return FindCoordinator(term, service) != nullptr && record != nullptr &&
         record->address == address &&
         (order.kind != OrderKind::kGrant || MayGrant(Now()));
}

awaitable<void> LeaderDuty::SendOrder(std::int64_t term,
                                      std::string service,
                                      KeyOrder order) {
  const state::ServerRecord* record = FindRecord(order.server);
  const Instant begun = Now();
  const bool grant = order.kind == OrderKind::kGrant;
  OrderReply reply;
  if (record != nullptr) {
    const state::Address address = record->address;
    // The process may have been suspended since the order was made, and a
    // connection may have to be opened first.
    OrderChecks checks;
    checks.may_write = [this, term, &service, &order, &address] {
      return MayWrite(term, service, order, address);
    };
    checks.may_connect = [this, term, &service, &order] {
      const auto* coordinator = FindCoordinator(term, service);
      return coordinator != nullptr && coordinator->MayConnect(order);
    };
    reply = co_await order_client_.Send(address, order, checks);
  }
  if (reply.outcome != OrderOutcome::kAccepted || !grant) {
    log_.Write(
        LogPart::kKeys, grant ? "grant-failed" : "release-ended",
        {{"service", service},
         {"server", order.server.id},
         {"first", static_cast<std::int64_t>(order.first)},
         {"last", static_cast<std::int64_t>(order.last)},
         {"fence", order.fence},
         {"outcome", static_cast<std::int64_t>(reply.outcome)},
         {"order", static_cast<std::int64_t>(order.id)},
         {"status", static_cast<std::int64_t>(reply.status)},
         {"kept_connection", reply.trace.reused},
         {"write_age_ms",
          reply.trace.sent ? (Now() - reply.trace.written).count() / 1000 : -1},
         {"age_ms", (Now() - begun).count() / 1000}});
  }
  coordination::KeyspaceCoordinator* coordinator =
      FindCoordinator(term, service);
  if (coordinator == nullptr) {
    co_return;
  }
  const std::uint64_t routed = coordinator->routed_change();
  coordinator->HandleOrderOutcome(Now(), order, reply.outcome, reply.handover);
  if (grant && reply.trace.closed) {
    coordinator->HandleConnectionClosed(Now(), order.server);
  }
  if (coordinator->superseded()) {
    election_.HandleFenced();
    co_return;
  }
  if (routed != coordinator->routed_change() || !grant) {
    outcomes_tick_.Request();
  }
}

awaitable<void> LeaderDuty::ProbeServer(std::int64_t term,
                                        std::string service,
                                        state::ServerIncarnation server) {
  const state::ServerRecord* record = FindRecord(server);
  if (record == nullptr) {
    co_return;
  }
  const state::Address address = record->address;
  const bool answers = co_await order_client_.Probe(address, server);
  coordination::KeyspaceCoordinator* coordinator =
      FindCoordinator(term, service);
  if (answers && coordinator != nullptr) {
    coordinator->HandleResponsive(server);
  }
}

}  // namespace mustardflow::transport
