// Read loops of the two topics, and the effects of their records.

#include "transport/store_watch.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "platform/operator_config.h"
#include "platform/server_entry.h"
#include "transport/clocks.h"

namespace mustardflow::transport {

using state::Duration;
using state::Instant;

namespace {

// How long the leader's read of the operators' topic waits for a new record.
// The time is short because a connection that has failed silently is only
// noticed when the wait is over. It leaves other hosts half of kMaxReliance.
constexpr Duration kOperatorLongPollTime = std::chrono::milliseconds(600);
// Time between two reads: on the leader, on a host that cannot rely on a
// leader's progress, on a host that has not heard a leader since its start, and
// on a host that can rely on one.
constexpr Duration kLeaderReadInterval = std::chrono::milliseconds(350);
constexpr Duration kNoLeaderReadInterval = std::chrono::milliseconds(700);
constexpr Duration kStartupReadInterval = std::chrono::milliseconds(1500);
constexpr Duration kFollowerReadInterval = std::chrono::seconds(120);
// Pause after a read that returned records of operators, so that records that
// are written in quick succession are read together.
constexpr Duration kOperatorBatchDelay = std::chrono::milliseconds(120);
// Delay after a failed read. It doubles with each further failure, up to the
// maximum.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(150);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1200);
// All parts of a leader's update arrive within this time. If parts are missing
// after it, the host fetches them from another host, and after
// kPeerFetchTimeout from the store.
constexpr Duration kUpdateArrivalTime = std::chrono::milliseconds(60);
constexpr Duration kPeerFetchTimeout = std::chrono::milliseconds(500);
// Keys of unreadable entries that are remembered, so that each is logged once.
constexpr std::size_t kMaxUnreadableKeys = 1000;
// Updates that are kept for other hosts.
constexpr std::size_t kMaxRecentUpdates = 64;
// A host relies on a leader for kMaxReliance after the leader's last read of
// the topic: a change and a server's departure must be known within two
// seconds. It relies on a heartbeat for kProgressValidity at most, which covers
// most changes of the leader, in which all hosts would otherwise read the
// store.
constexpr Duration kMaxReliance = std::chrono::milliseconds(1500);
constexpr Duration kProgressValidity = std::chrono::milliseconds(1100);
// How long a host keeps records of operators that the store has lost, other
// than the configuration. Operators write them again within some seconds.
constexpr Duration kKeepTime = std::chrono::seconds(10);

awaitable<void> Sleep(asio::any_io_executor executor, Duration duration) {
  asio::steady_timer timer(executor, duration);
  co_await timer.async_wait(kNoThrow);
}

}  // namespace

StoreWatch::StoreWatch(asio::any_io_executor executor,
                       StoreClient& store,
                       coordination::ServerPool& pool,
                       EventLog& log,
                       Hooks hooks)
    : executor_(executor),
      store_(store),
      pool_(pool),
      log_(log),
      hooks_(std::move(hooks)),
      operator_reader_(executor, platform::kOperatorTopic),
      server_reader_(executor, platform::kServerTopic) {}

void StoreWatch::Start() {
  asio::co_spawn(executor_, FollowOperators(), asio::detached);
  asio::co_spawn(executor_, FollowServers(), asio::detached);
}

void StoreWatch::HandleEra(std::int64_t era) {
  if (era <= era_) {
    return;
  }
  era_ = era;
  ResetOffsets(&operator_reader_);
  ResetOffsets(&server_reader_);
  kept_records_ = operator_records_.records;
  kept_until_ = Now() + kKeepTime;
  operator_records_.era = era;
  operator_records_.next = 0;
  arriving_update_ = {-1, -1, {}};
  recent_updates_.clear();
  published_end_ = 0;
}

void StoreWatch::ResetOffsets(TopicReader* reader) {
  // A host that has read nothing yet has nothing to keep.
  reader->enters_era = reader->enters_era || reader->next.has_value();
  reader->next.reset();
  reader->relevant_end = 0;
  reader->announced = 0;
  reader->announced_at.reset();
  reader->behind_since.reset();
  if (reader->relied_until) {
    reader->relied_until = Instant();
  }
}

void StoreWatch::HandleProgress(Instant now,
                                const protocol::LeaderHeartbeat& heartbeat) {
  const protocol::ReadProgress& progress = heartbeat.progress;
  const Instant servers_as_of = now - progress.age;
  HandleEra(progress.era);
  if (progress.era < era_) {
    // The leader does not know the era yet.
    return;
  }
  if (heartbeat.update && heartbeat.update->entry_parts > 0) {
    HandleEntries({now, servers_as_of}, *heartbeat.update, progress.servers);
  }
  const std::pair heartbeat_id(heartbeat.term, heartbeat.number);
  if (heartbeat_id < last_heartbeat_) {
    // Datagrams may overtake one another.
    return;
  }
  last_heartbeat_ = heartbeat_id;
  operator_reader_.announced_at = now - progress.operators_age;
  server_reader_.announced_at = servers_as_of;
  RecordAnnounced(now, progress.operators, &operator_reader_);
  RecordAnnounced(now, progress.servers, &server_reader_);
  RelyOnLeader(now, progress.operators_age, &operator_reader_);
  RelyOnLeader(now, progress.age, &server_reader_);
}

void StoreWatch::RelyOnLeader(Instant now, Duration age, TopicReader* reader) {
  const Duration left =
      std::clamp(kMaxReliance - age, Duration(0), kProgressValidity);
  reader->relied_until =
      std::max(reader->relied_until.value_or(Instant()), now + left);
}

void StoreWatch::HandleEntries(const EntryTimes& times,
                               const protocol::HeartbeatUpdate& update,
                               std::int64_t end) {
  if (!server_reader_.next ||
      update.base_server_offset > *server_reader_.next ||
      end <= *server_reader_.next) {
    return;
  }
  if (update.entry_part == 0) {
    arriving_update_ = {update.base_server_offset, end, {}, era_};
    next_update_part_ = 0;
  }
  if (update.base_server_offset != arriving_update_.base ||
      update.entry_part != next_update_part_) {
    return;
  }
  for (const auto& [id, entry] : update.entries) {
    ApplyEntry(times, id, entry);
    arriving_update_.entries.emplace_back(id, entry);
  }
  ++next_update_part_;
  if (next_update_part_ == update.entry_parts) {
    server_reader_.next = end;
    RememberEntries(std::move(arriving_update_));
    arriving_update_ = {-1, -1, {}};
  }
}

void StoreWatch::RememberEntries(protocol::EntryUpdate update) {
  if (!recent_updates_.empty() && recent_updates_.back().end != update.base) {
    recent_updates_.clear();
  }
  recent_updates_.push_back(std::move(update));
  if (recent_updates_.size() > kMaxRecentUpdates) {
    recent_updates_.pop_front();
  }
}

std::optional<std::int64_t> StoreWatch::MissingEntriesFrom(Instant now) const {
  const bool missing = server_reader_.behind_since &&
                       now - *server_reader_.behind_since >= kUpdateArrivalTime;
  return missing ? server_reader_.next : std::nullopt;
}

std::vector<protocol::EntryUpdate> StoreWatch::EntryUpdatesSince(
    std::int64_t from) const {
  auto first = recent_updates_.begin();
  while (first != recent_updates_.end() && first->end <= from) {
    ++first;
  }
  if (first == recent_updates_.end() || first->base > from) {
    return {};
  }
  return {first, recent_updates_.end()};
}

bool StoreWatch::HandleEntryUpdates(
    Instant now,
    const std::vector<protocol::EntryUpdate>& updates) {
  bool used = false;
  for (const protocol::EntryUpdate& update : updates) {
    if (update.era != era_ || !server_reader_.next ||
        update.base > *server_reader_.next ||
        update.end <= *server_reader_.next) {
      continue;
    }
    // Another host may know more than the leader has announced to this one.
    const bool announced = update.end <= server_reader_.announced;
    const EntryTimes times{
        now, announced ? server_reader_.announced_at.value_or(now) : now};
    for (const auto& [id, entry] : update.entries) {
      ApplyEntry(times, id, entry);
    }
    server_reader_.next = update.end;
    RememberEntries(update);
    used = true;
  }
  if (used) {
    RecordAnnounced(now, server_reader_.announced, &server_reader_);
  }
  return used;
}

void StoreWatch::RecordAnnounced(Instant now,
                                 std::int64_t announced,
                                 TopicReader* reader) {
  reader->announced = announced;
  reader->relevant_end = std::max(reader->relevant_end, announced);
  if (!reader->next || announced <= *reader->next) {
    reader->behind_since.reset();
    if (reader->next && reader->announced_at) {
      Confirm(*reader->announced_at, reader);
    }
  } else if (!reader->behind_since) {
    reader->behind_since = now;
  }
}

void StoreWatch::Confirm(Instant time, TopicReader* reader) {
  reader->confirmed_at = std::max(reader->confirmed_at, std::optional(time));
}

std::optional<Instant> StoreWatch::ConfigConfirmedAt() const {
  const bool behind = operator_reader_.next < operator_reader_.announced;
  return behind || config_unreadable_ ? std::nullopt
                                      : operator_reader_.confirmed_at;
}

Duration StoreWatch::StoreSilence(Instant now) const {
  const auto answered =
      std::max(operator_reader_.confirmed_at, server_reader_.confirmed_at);
  const Duration outage = store_.OutageDuration(now);
  return answered ? std::min<Duration>(outage, now - *answered) : outage;
}

void StoreWatch::TakeEntryUpdates(protocol::HeartbeatUpdate* update) {
  update->base_server_offset = published_end_;
  update->entries = std::move(unpublished_entries_);
  unpublished_entries_.clear();
  published_end_ = server_reader_.relevant_end;
  if (!update->entries.empty()) {
    RememberEntries(
        {update->base_server_offset, published_end_, update->entries, era_});
  }
}

protocol::ReadProgress StoreWatch::Progress(Instant now) const {
  const auto age = [&](const TopicReader& reader) {
    return reader.confirmed_at ? now - *reader.confirmed_at
                               : protocol::kUnknownAge;
  };
  return {operator_reader_.relevant_end, server_reader_.relevant_end,
          age(server_reader_), age(operator_reader_), era_};
}

void StoreWatch::Tick(Instant now, bool leading) {
  leading_ = leading;
  HandleEra(store_.era());
  if (!leading) {
    unpublished_entries_.clear();
    published_end_ = server_reader_.relevant_end;
  }
  RemoveGone(now);
  if (now >= kept_until_) {
    EndKeeping();
  }
  LogReliance(now, &operator_reader_);
  LogReliance(now, &server_reader_);
  const bool heard_leader = operator_reader_.relied_until.has_value();
  const Duration read_interval = leading        ? kLeaderReadInterval
                                 : heard_leader ? kNoLeaderReadInterval
                                                : kStartupReadInterval;
  if (ReadDue(now, server_reader_, read_interval)) {
    server_reader_.timer.cancel();
  }
  if (ReadDue(now, operator_reader_, leading ? Duration(0) : read_interval)) {
    operator_reader_.timer.cancel();
  }
}

bool StoreWatch::ReliesOnLeader(Instant now, const TopicReader& reader) const {
  return !leading_ && reader.next && now < reader.relied_until;
}

void StoreWatch::LogReliance(Instant now, TopicReader* reader) {
  const bool relies = ReliesOnLeader(now, *reader);
  if (relies == reader->relies_on_leader) {
    return;
  }
  reader->relies_on_leader = relies;
  log_.Write(
      LogPart::kStore, relies ? "relies-on-leader" : "reads-itself",
      {{"topic", reader->topic},
       {"leading", leading_},
       {"next", reader->next.value_or(-1)},
       {"confirmed_age_ms", reader->confirmed_at
                                ? (now - *reader->confirmed_at).count() / 1000
                                : -1}});
}

bool StoreWatch::ReadDue(Instant now,
                         const TopicReader& reader,
                         Duration interval) const {
  if (!reader.waiting) {
    return false;
  }
  const Duration since = now - reader.read_at;
  const Duration retry = std::min(
      kMinRetryDelay * (1 << std::min(reader.failures, 4)), kMaxRetryDelay);
  if (reader.failing && since < retry) {
    return false;
  }
  if (reader.read_now && reader.behind_since) {
    return true;
  }
  if (reader.enters_era && !reader.next) {
    return true;
  }
  // A leader's progress replaces this host's own reads, even if the store
  // refuses the reads of this host.
  const bool relies_on_leader = ReliesOnLeader(now, reader);
  if (&reader == &server_reader_ && !relies_on_leader && !reader.failing &&
      missing_entries_.NeedsRead(now)) {
    return true;
  }
  if (relies_on_leader) {
    return since >= kFollowerReadInterval ||
           (reader.behind_since &&
            now - *reader.behind_since >= kPeerFetchTimeout);
  }
  return since >= (reader.failing ? retry : interval);
}

bool StoreWatch::RecordRead(TopicReader* reader,
                            Instant started,
                            const std::optional<TopicPage>& page) {
  reader->read_at = Now();
  reader->read_now = false;
  const std::int64_t era = era_;
  HandleEra(store_.era());
  if ((!page && era != era_) || (page && page->era != era_)) {
    // The topic is read anew.
    reader->failing = false;
    return false;
  }
  reader->failing = !page;
  reader->failures = page ? 0 : reader->failures + 1;
  if (!page) {
    log_.Write(LogPart::kStore, "read-failed",
               {{"topic", reader->topic},
                {"took_ms", (reader->read_at - started).count() / 1000},
                {"failures", static_cast<std::int64_t>(reader->failures)},
                {"leading", leading_}});
    return false;
  }
  if (page->next < reader->next) {
    return false;
  }
  // The store answers, so the other topic's reader need not wait any longer.
  operator_reader_.failures = 0;
  server_reader_.failures = 0;
  reader->next = page->next;
  if (page->reaches_end) {
    Confirm(page->as_of, reader);
  }
  RecordAnnounced(reader->read_at, reader->announced, reader);
  return true;
}

awaitable<void> StoreWatch::WaitUntilReadDue(TopicReader* reader) {
  reader->waiting = true;
  reader->timer.expires_at(asio::steady_timer::time_point::max());
  co_await reader->timer.async_wait(kNoThrow);
  reader->waiting = false;
}

awaitable<void> StoreWatch::FollowOperators() {
  const std::string topic(platform::kOperatorTopic);
  bool found_records = false;
  while (true) {
    const Instant started = Now();
    std::optional<TopicPage> page;
    if (ReadsNewestOperators()) {
      page = co_await store_.ReadNewest(topic);
    } else {
      // Only the leader waits for new records. The other hosts learn of them
      // from its heartbeats. After records, a read without a wait shows whether
      // there are more. After a failure, it fails sooner if the store still
      // does not answer.
      const bool waits =
          leading_ && !found_records && !operator_reader_.failing;
      const Duration wait = waits ? kOperatorLongPollTime : Duration(0);
      const TopicPosition from{era_, *operator_reader_.next};
      page = co_await store_.ReadFrom(topic, from, wait);
    }
    const bool usable = RecordRead(&operator_reader_, started, page);
    found_records = usable && !page->records.empty();
    if (found_records) {
      ApplyOperators(std::move(*page), "store");
      hooks_.progressed();
      co_await Sleep(executor_, kOperatorBatchDelay);
    }
    co_await WaitUntilReadDue(&operator_reader_);
  }
}

bool StoreWatch::ReadsNewestOperators() const {
  return !operator_reader_.next ||
         operator_reader_.announced > *operator_reader_.next + 1;
}

bool StoreWatch::NeedsOperatorRecords() const {
  return !leading_ && (!operator_reader_.next ||
                       operator_reader_.announced > *operator_reader_.next);
}

bool StoreWatch::HandleOperatorRecords(protocol::OperatorRecords operators) {
  HandleEra(operators.era);
  if (operators.era < era_ ||
      (operator_reader_.next && operators.next <= *operator_reader_.next)) {
    return false;
  }
  TopicPage page;
  page.covers_all_keys = true;
  page.next = operators.next;
  for (auto& [key, value] : operators.records) {
    page.records.push_back({key, std::move(value), 0});
  }
  operator_reader_.next = page.next;
  RecordAnnounced(Now(), operator_reader_.announced, &operator_reader_);
  ApplyOperators(page, "host");
  return true;
}

void StoreWatch::EndKeeping() {
  // An older configuration is never taken, so this record is kept.
  const auto ended = std::erase_if(kept_records_, [](const auto& record) {
    return record.first != platform::kConfigKey;
  });
  if (ended > 0) {
    operator_reader_.next.reset();
  }
}

void StoreWatch::KeepKnownRecords(TopicPage* page) {
  for (platform::KeyedRecord& record : page->records) {
    const auto kept = kept_records_.find(record.key);
    if (kept == kept_records_.end()) {
      continue;
    }
    if (record.key == platform::kConfigKey && record.value &&
        IsOlderConfig(*record.value)) {
      // Serves other hosts, too, the configuration that is in force.
      record.value = kept->second;
      continue;
    }
    kept_records_.erase(kept);
  }
  if (!page->covers_all_keys) {
    return;
  }
  for (const auto& kept : kept_records_) {
    const bool listed = std::any_of(
        page->records.begin(), page->records.end(),
        [&kept](const auto& record) { return record.key == kept.first; });
    if (!listed) {
      page->records.push_back({kept.first, kept.second, 0});
    }
  }
}

bool StoreWatch::IsOlderConfig(const std::string& text) const {
  protocol::Findings findings;
  const auto config = platform::ParseOperatorConfig(text, &findings);
  return config && config->version() < config_version_;
}

void StoreWatch::ApplyOperators(TopicPage page, std::string_view source) {
  KeepKnownRecords(&page);
  operator_reader_.relevant_end = page.next;
  operator_records_.next = page.next;
  if (page.covers_all_keys) {
    operator_records_.records.clear();
  }
  std::set<std::string> evacuated =
      page.covers_all_keys ? std::set<std::string>() : evacuated_;
  std::vector<const std::string*> configs;
  for (const platform::KeyedRecord& record : page.records) {
    if (record.value) {
      operator_records_.records[record.key] = *record.value;
    } else {
      operator_records_.records.erase(record.key);
    }
    if (record.key == platform::kConfigKey) {
      if (record.value) {
        configs.push_back(&*record.value);
      }
    } else if (record.key.starts_with(platform::kEvacuationPrefix)) {
      const std::string zone =
          record.key.substr(platform::kEvacuationPrefix.size());
      if (record.value) {
        evacuated.insert(zone);
      } else {
        evacuated.erase(zone);
      }
    }
  }
  if (!configs.empty()) {
    ApplyNewestConfig(configs, source);
  } else if (page.covers_all_keys) {
    config_unreadable_ = true;
  }
  if (evacuated != evacuated_) {
    evacuated_ = std::move(evacuated);
    std::string zones;
    for (const std::string& zone : evacuated_) {
      zones += (zones.empty() ? "" : ",") + zone;
    }
    log_.Write(LogPart::kStore, "evacuated-zones", {{"zones", zones}});
    hooks_.evacuated(evacuated_);
  }
}

void StoreWatch::ApplyNewestConfig(
    const std::vector<const std::string*>& configs,
    std::string_view source) {
  config_unreadable_ = !ApplyConfig(*configs.back(), source);
  for (std::size_t i = configs.size() - 1; config_unreadable_ && i > 0; --i) {
    if (ApplyConfig(*configs[i - 1], source)) {
      return;
    }
  }
}

bool StoreWatch::ApplyConfig(const std::string& text, std::string_view source) {
  protocol::Findings findings;
  auto config = platform::ParseOperatorConfig(text, &findings);
  for (const protocol::Finding& finding : findings.list()) {
    log_.Write(LogPart::kStore, "config-finding",
               {{"place", finding.location}, {"problem", finding.problem}});
  }
  if (!config) {
    return false;
  }
  if (config->version() <= config_version_) {
    return true;
  }
  config_version_ = config->version();
  log_.Write(LogPart::kStore, "config-in-force",
             {{"version", config_version_},
              {"routes", static_cast<std::int64_t>(config->routes().size())},
              {"source", source},
              {"leading", leading_},
              {"next", operator_reader_.next.value_or(-1)},
              {"announced", operator_reader_.announced}});
  hooks_.config(std::move(config));
  return true;
}

awaitable<void> StoreWatch::FollowServers() {
  const std::string topic(platform::kServerTopic);
  while (true) {
    const Instant started = Now();
    std::optional<TopicPage> page;
    if (server_reader_.next) {
      const TopicPosition from{era_, *server_reader_.next};
      page = co_await store_.ReadFrom(topic, from, Duration(0));
    } else {
      page = co_await store_.ReadNewest(topic);
    }
    const bool usable = RecordRead(&server_reader_, started, page);
    if (!page) {
      missing_entries_.HandleFailedRead(server_reader_.read_at);
    }
    if (usable) {
      const std::uint64_t change = pool_.change();
      ApplyServers(server_reader_.read_at, *page);
      servers_known_ = true;
      if (pool_.change() != change) {
        server_reader_.relevant_end = page->next;
        hooks_.progressed();
      }
    }
    co_await WaitUntilReadDue(&server_reader_);
  }
}

void StoreWatch::ApplyServers(Instant now, const TopicPage& page) {
  const EntryTimes times{now, page.as_of};
  std::set<std::string> listed;
  for (const platform::KeyedRecord& record : page.records) {
    listed.insert(record.key);
    if (server_reader_.enters_era && IsOfGoneServer(record)) {
      continue;
    }
    if (ApplyEntry(times, record.key, record.value)) {
      unpublished_entries_.emplace_back(record.key, record.value);
    }
  }
  if (!page.covers_all_keys) {
    return;
  }
  if (server_reader_.enters_era) {
    // The store has lost entries, which the servers write again.
    server_reader_.enters_era = false;
    missing_entries_.HandleLostEntries(now);
  }
  std::vector<std::string> missing;
  for (const auto& [id, server] : pool_.servers()) {
    if (!server.gone && !listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    if (ApplyEntry(times, id, std::nullopt)) {
      unpublished_entries_.emplace_back(id, std::nullopt);
    }
  }
}

bool StoreWatch::IsOfGoneServer(const platform::KeyedRecord& record) const {
  const auto known = pool_.servers().find(record.key);
  if (known == pool_.servers().end() || !known->second.gone || !record.value) {
    return false;
  }
  protocol::Findings findings;
  const auto entry =
      platform::ParseServerEntry(record.key, *record.value, &findings);
  const state::ServerRecord& last = known->second.record;
  return entry &&
         entry->incarnation.start_time_ms == last.incarnation.start_time_ms &&
         entry->sequence <= last.sequence;
}

bool StoreWatch::ApplyEntry(const EntryTimes& times,
                            const std::string& id,
                            const std::optional<std::string>& entry) {
  const std::uint64_t change = pool_.change();
  if (!entry) {
    unreadable_.erase(id);
    if (pool_.servers().contains(id)) {
      missing_entries_.HandleMissing(times.as_of, id);
      pool_.SetUnconfirmed(id);
    }
    return pool_.change() != change;
  }
  protocol::Findings findings;
  const auto record = platform::ParseServerEntry(id, *entry, &findings);
  if (!record) {
    ++unreadable_entries_;
    ReportUnreadable(id, findings);
    return false;
  }
  unreadable_.erase(id);
  missing_entries_.HandlePresent(id);
  pool_.Update(times.now, *record);
  if (pool_.change() == change) {
    return false;
  }
  log_.Write(LogPart::kServers, "entry",
             {{"server", id},
              {"service", record->service},
              {"zone", record->zone},
              {"draining", record->draining},
              {"cold_ms", record->warmup_left.count() / 1000},
              {"born", record->incarnation.start_time_ms}});
  return true;
}

void StoreWatch::ReportUnreadable(const std::string& id,
                                  const protocol::Findings& findings) {
  const protocol::Finding& first = findings.list().front();
  const auto known = unreadable_.find(id);
  const bool reported =
      known != unreadable_.end() && known->second == first.problem;
  if (reported) {
    return;
  }
  if (unreadable_.size() < kMaxUnreadableKeys) {
    unreadable_[id] = first.problem;
  }
  log_.Write(LogPart::kStore, "entry-unreadable",
             {{"key", id},
              {"place", first.location},
              {"problem", first.problem},
              {"remedy", first.remedy},
              {"findings", static_cast<std::int64_t>(findings.list().size())},
              {"in_use", pool_.servers().contains(id)}});
}

void StoreWatch::RemoveGone(Instant now) {
  if (!server_reader_.confirmed_at) {
    return;
  }
  const Instant known_at = *server_reader_.confirmed_at;
  missing_entries_.HandleRead(known_at);
  for (const std::string& id : missing_entries_.TakeGone(known_at)) {
    log_.Write(
        LogPart::kServers, "gone",
        {{"server", id}, {"known_age_ms", (now - known_at).count() / 1000}});
    pool_.Remove(now, id);
  }
}

}  // namespace mustardflow::transport
