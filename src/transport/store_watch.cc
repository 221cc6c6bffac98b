// Reading loops and what their records mean.

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

// The leader's reading of the operators' topic waits this long for a record.
// Short, since a connection that has gone silent is only noticed at its end.
constexpr Duration kOperatorWait = std::chrono::milliseconds(1200);
// Pauses between readings: the leader's, those of a host that hears no leader,
// and those of one that does.
constexpr Duration kLeaderInterval = std::chrono::milliseconds(350);
constexpr Duration kAloneInterval = std::chrono::milliseconds(700);
constexpr Duration kTrustingInterval = std::chrono::seconds(30);
// Successive configurations are read together within this time.
constexpr Duration kOperatorPause = std::chrono::milliseconds(120);
// Between readings that fail: twice as long after each, up to the longest.
constexpr Duration kRetryPause = std::chrono::milliseconds(150);
constexpr Duration kLongestRetryPause = std::chrono::milliseconds(1200);
// The parts of a leader's news arrive within this time of each other; what is
// still missing then is read in the store.
constexpr Duration kNewsTime = std::chrono::milliseconds(60);
// A leader's progress counts for this long, and only if the leader itself has
// read within this time: what leaves has to be known within two seconds.
constexpr Duration kTrustTime = std::chrono::milliseconds(600);
constexpr Duration kMostProgressAge = std::chrono::milliseconds(700);
constexpr Duration kNeverRead = std::chrono::hours(1);

awaitable<void> Pause(asio::any_io_executor executor, Duration duration) {
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
      operators_(executor),
      servers_(executor) {}

void StoreWatch::Start() {
  asio::co_spawn(executor_, FollowOperators(), asio::detached);
  asio::co_spawn(executor_, FollowServers(), asio::detached);
}

void StoreWatch::HandleProgress(Instant now, const protocol::LeaderBeat& beat) {
  const protocol::ReadProgress& progress = beat.progress;
  if (beat.news && beat.news->entry_parts > 0) {
    HandleEntries(now, *beat.news, progress.servers);
  }
  RecordAnnounced(now, progress.operators, &operators_);
  RecordAnnounced(now, progress.servers, &servers_);
  if (progress.age <= kMostProgressAge) {
    trusted_until_ = now + kTrustTime;
  }
}

void StoreWatch::HandleEntries(Instant now,
                               const protocol::BeatNews& news,
                               std::int64_t end) {
  if (!servers_.next || news.base_servers > *servers_.next ||
      end <= *servers_.next) {
    return;
  }
  if (news.entry_part == 0) {
    news_base_ = news.base_servers;
    next_part_ = 0;
  }
  if (news.base_servers != news_base_ || news.entry_part != next_part_) {
    return;
  }
  for (const auto& [id, entry] : news.entries) {
    ApplyEntry(now, id, entry);
  }
  ++next_part_;
  if (next_part_ == news.entry_parts) {
    servers_.next = end;
  }
}

void StoreWatch::RecordAnnounced(Instant now,
                                 std::int64_t announced,
                                 Reading* reading) {
  reading->announced = announced;
  if (!reading->next || announced <= *reading->next) {
    reading->behind_since.reset();
  } else if (!reading->behind_since) {
    reading->behind_since = now;
  }
}

void StoreWatch::TakeEntryUpdates(protocol::BeatNews* news) {
  news->base_servers = told_;
  news->entries = std::move(untold_);
  untold_.clear();
  told_ = servers_.mattered;
}

protocol::ReadProgress StoreWatch::Progress(Instant now) const {
  const bool failing = operators_.failing || servers_.failing;
  return {operators_.mattered, servers_.mattered,
          failing ? kNeverRead : now - servers_.read_at};
}

void StoreWatch::Tick(Instant now, bool leading) {
  leading_ = leading;
  if (!leading) {
    untold_.clear();
    told_ = servers_.mattered;
  }
  RemoveGone(now);
  const Duration alone = leading ? kLeaderInterval : kAloneInterval;
  if (ReadingDue(now, servers_, alone)) {
    servers_.timer.cancel();
  }
  if (ReadingDue(now, operators_, leading ? Duration(0) : alone)) {
    operators_.timer.cancel();
  }
}

bool StoreWatch::ReadingDue(Instant now,
                            const Reading& reading,
                            Duration interval) const {
  if (!reading.paused) {
    return false;
  }
  const Duration since = now - reading.read_at;
  const Duration retry = std::min(
      kRetryPause * (1 << std::min(reading.failures, 4)), kLongestRetryPause);
  if (reading.failing && since < retry) {
    return false;
  }
  // A leader's news stand for own readings, also where the store turns this
  // host away.
  const bool trusting = !leading_ && reading.next && now < trusted_until_;
  if (trusting) {
    return since >= kTrustingInterval ||
           (reading.behind_since && now - *reading.behind_since >= kNewsTime);
  }
  return since >= (reading.failing ? retry : interval);
}

void StoreWatch::RecordRead(Reading* reading,
                            const std::optional<TopicPage>& page) {
  reading->read_at = Now();
  reading->failing = !page;
  reading->failures = page ? 0 : reading->failures + 1;
  if (page) {
    reading->next = page->next;
    RecordAnnounced(reading->read_at, reading->announced, reading);
  }
}

// Waits until Tick() finds the next reading due.
awaitable<void> StoreWatch::PauseReading(Reading* reading) {
  reading->paused = true;
  reading->timer.expires_at(asio::steady_timer::time_point::max());
  co_await reading->timer.async_wait(kNoThrow);
  reading->paused = false;
}

awaitable<void> StoreWatch::FollowOperators() {
  const std::string topic(platform::kOperatorTopic);
  while (true) {
    std::optional<TopicPage> page;
    if (operators_.next) {
      // Only the leader waits for records; others learn of them by its beats.
      const Duration wait = leading_ ? kOperatorWait : Duration(0);
      page = co_await store_.ReadFrom(topic, *operators_.next, wait);
    } else {
      page = co_await store_.ReadNewest(topic);
    }
    RecordRead(&operators_, page);
    if (page && !page->records.empty()) {
      ApplyOperators(*page);
      hooks_.progressed();
      co_await Pause(executor_, kOperatorPause);
    }
    co_await PauseReading(&operators_);
  }
}

bool StoreWatch::NeedsOperatorRecords() const {
  return operators_.failing &&
         (!operators_.next || operators_.announced > *operators_.next);
}

void StoreWatch::HandleOperatorRecords(protocol::OperatorRecords operators) {
  if (operators_.next && operators.next <= *operators_.next) {
    return;
  }
  TopicPage page;
  page.whole = true;
  page.next = operators.next;
  for (auto& [key, value] : operators.records) {
    page.records.push_back({key, std::move(value), 0});
  }
  operators_.next = page.next;
  RecordAnnounced(Now(), operators_.announced, &operators_);
  ApplyOperators(page);
}

void StoreWatch::ApplyOperators(const TopicPage& page) {
  operators_.mattered = page.next;
  operator_records_.next = page.next;
  if (page.whole) {
    operator_records_.records.clear();
  }
  std::set<std::string> evacuated =
      page.whole ? std::set<std::string>() : evacuated_;
  const std::string* config = nullptr;
  for (const platform::KeyedRecord& record : page.records) {
    if (record.value) {
      operator_records_.records[record.key] = *record.value;
    } else {
      operator_records_.records.erase(record.key);
    }
    if (record.key == platform::kConfigKey) {
      config = record.value ? &*record.value : nullptr;
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
  if (config != nullptr) {
    ApplyConfig(*config);
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

void StoreWatch::ApplyConfig(const std::string& text) {
  protocol::Findings findings;
  auto config = platform::ParseOperatorConfig(text, &findings);
  for (const protocol::Finding& finding : findings.list()) {
    log_.Write(LogPart::kStore, "config-finding",
               {{"place", finding.place}, {"problem", finding.problem}});
  }
  if (!config || config->version() <= version_) {
    return;
  }
  version_ = config->version();
  log_.Write(LogPart::kStore, "config-in-force",
             {{"version", version_},
              {"routes", static_cast<std::int64_t>(config->routes().size())}});
  hooks_.config(std::move(config));
}

awaitable<void> StoreWatch::FollowServers() {
  const std::string topic(platform::kServerTopic);
  while (true) {
    std::optional<TopicPage> page;
    if (servers_.next) {
      page = co_await store_.ReadFrom(topic, *servers_.next, Duration(0));
    } else {
      page = co_await store_.ReadNewest(topic);
    }
    RecordRead(&servers_, page);
    const Instant now = servers_.read_at;
    if (page) {
      lapses_.HandleRead(now);
      const std::uint64_t change = pool_.change();
      ApplyServers(now, *page);
      servers_known_ = true;
      if (pool_.change() != change) {
        servers_.mattered = page->next;
        hooks_.progressed();
      }
    } else {
      lapses_.HandleFailedRead(now);
    }
    co_await PauseReading(&servers_);
  }
}

void StoreWatch::ApplyServers(Instant now, const TopicPage& page) {
  std::set<std::string> listed;
  for (const platform::KeyedRecord& record : page.records) {
    listed.insert(record.key);
    if (ApplyEntry(now, record.key, record.value)) {
      untold_.emplace_back(record.key, record.value);
    }
  }
  if (!page.whole) {
    return;
  }
  std::vector<std::string> missing;
  for (const auto& [id, server] : pool_.servers()) {
    if (!server.gone && !listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    ApplyEntry(now, id, std::nullopt);
    untold_.emplace_back(id, std::nullopt);
  }
}

bool StoreWatch::ApplyEntry(Instant now,
                            const std::string& id,
                            const std::optional<std::string>& entry) {
  const std::uint64_t change = pool_.change();
  if (!entry) {
    if (pool_.servers().contains(id)) {
      lapses_.HandleMissing(now, id);
      pool_.SetUnconfirmed(id);
    }
    return pool_.change() != change;
  }
  std::string problem;
  const auto record = platform::ParseServerEntry(id, *entry, &problem);
  if (!record) {
    ++bad_entries_;
    log_.Write(LogPart::kStore, "entry-unreadable",
               {{"key", id}, {"problem", problem}});
    return false;
  }
  lapses_.HandlePresent(id);
  pool_.Update(now, *record);
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

void StoreWatch::RemoveGone(Instant now) {
  for (const std::string& id : lapses_.TakeGone(now)) {
    log_.Write(LogPart::kServers, "gone", {{"server", id}});
    pool_.Remove(id);
  }
}

}  // namespace mustardflow::transport
