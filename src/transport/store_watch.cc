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
constexpr Duration kRetryPause = std::chrono::milliseconds(300);
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
  if (beat.news && servers_.next && !servers_.failing &&
      beat.news->base_servers <= *servers_.next &&
      progress.servers > *servers_.next) {
    for (const auto& [id, entry] : beat.news->entries) {
      ApplyEntry(now, id, entry);
    }
    servers_.next = progress.servers;
  }
  operators_.announced = progress.operators;
  servers_.announced = progress.servers;
  if (progress.age <= kMostProgressAge) {
    trusted_until_ = now + kTrustTime;
  }
}

void StoreWatch::TakeEntries(protocol::BeatNews* news) {
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
  const bool trusting =
      !leading_ && !reading.failing && reading.next && now < trusted_until_;
  if (trusting && reading.announced > *reading.next) {
    return true;
  }
  const Duration longest = trusting          ? kTrustingInterval
                           : reading.failing ? kRetryPause
                                             : interval;
  return now - reading.read_at >= longest;
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
      page = co_await store_.ReadOn(topic, *operators_.next, wait);
    } else {
      page = co_await store_.ReadNewest(topic);
    }
    operators_.read_at = Now();
    operators_.failing = !page;
    // What was missed may have been dropped: begins again.
    operators_.next = page ? std::optional(page->next) : std::nullopt;
    if (page && !page->records.empty()) {
      operators_.mattered = page->next;
      ApplyOperators(*page);
      hooks_.progressed();
      co_await Pause(executor_, kOperatorPause);
    }
    co_await PauseReading(&operators_);
  }
}

void StoreWatch::ApplyOperators(const TopicPage& page) {
  std::set<std::string> evacuated =
      page.whole ? std::set<std::string>() : evacuated_;
  const std::string* config = nullptr;
  for (const platform::KeyedRecord& record : page.records) {
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
      page = co_await store_.ReadOn(topic, *servers_.next, Duration(0));
    } else {
      page = co_await store_.ReadNewest(topic);
    }
    const Instant now = Now();
    servers_.read_at = now;
    servers_.failing = !page;
    servers_.next = page ? std::optional(page->next) : std::nullopt;
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
      pool_.SetDoubtful(id);
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
              {"born", record->life.born}});
  return true;
}

void StoreWatch::RemoveGone(Instant now) {
  for (const std::string& id : lapses_.TakeGone(now)) {
    log_.Write(LogPart::kServers, "gone", {{"server", id}});
    pool_.Remove(id);
  }
}

}  // namespace mustardflow::transport
