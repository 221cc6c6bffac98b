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

// A reading of the operators' topic waits this long for a record. Short, since
// a connection that has gone silent is only noticed at its end.
constexpr Duration kOperatorWait = std::chrono::milliseconds(1200);
// Successive configurations are read together within this time.
constexpr Duration kOperatorPause = std::chrono::milliseconds(120);
constexpr Duration kRetryPause = std::chrono::milliseconds(300);

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
      operator_timer_(executor) {}

void StoreWatch::Start() {
  asio::co_spawn(executor_, FollowOperators(), asio::detached);
  asio::co_spawn(executor_, FollowServers(), asio::detached);
}

void StoreWatch::HandleVersionHint(std::int64_t version) {
  hinted_version_ = std::max(hinted_version_, version);
}

awaitable<void> StoreWatch::FollowOperators() {
  const std::string topic(platform::kOperatorTopic);
  std::optional<std::int64_t> next;
  while (true) {
    std::optional<TopicPage> page;
    if (next) {
      page = co_await store_.ReadOn(topic, *next, kOperatorWait);
    } else {
      page = co_await store_.ReadNewest(topic);
    }
    if (!page) {
      // What was missed may have been dropped: begins again.
      next.reset();
      co_await Pause(executor_, kRetryPause);
      continue;
    }
    ApplyOperators(*page);
    next = page->next;
    if (!page->records.empty()) {
      co_await Pause(executor_, kOperatorPause);
    }
  }
}

void StoreWatch::ApplyOperators(const TopicPage& page) {
  std::set<std::string> evacuated = page.whole ? std::set<std::string>()
                                               : evacuated_;
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
    log_.Write(LogPart::kStore, "evacuated-zones",
               {{"zones", std::string_view(zones)}});
    hooks_.evacuated(evacuated_);
  }
}

void StoreWatch::ApplyConfig(const std::string& text) {
  protocol::Findings findings;
  auto config = platform::ParseOperatorConfig(text, &findings);
  for (const protocol::Finding& finding : findings.list()) {
    log_.Write(LogPart::kStore, "config-finding",
               {{"place", std::string_view(finding.place)},
                {"problem", std::string_view(finding.problem)}});
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
  std::optional<std::int64_t> next;
  while (true) {
    std::optional<TopicPage> page;
    if (next) {
      page = co_await store_.ReadOn(topic, *next, Duration(0));
    } else {
      page = co_await store_.ReadNewest(topic);
    }
    const Instant now = Now();
    if (page) {
      lapses_.HandleRead(now);
      ApplyServers(now, *page);
      next = page->next;
      servers_known_ = true;
    } else {
      lapses_.HandleFailedRead(now);
      next.reset();
    }
    RemoveGone(now);
    co_await Pause(executor_, page ? server_interval_ : kRetryPause);
  }
}

void StoreWatch::ApplyServers(Instant now, const TopicPage& page) {
  std::set<std::string> listed;
  for (const platform::KeyedRecord& record : page.records) {
    listed.insert(record.key);
    ApplyEntry(now, record);
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
    HandleMissing(now, id);
  }
}

void StoreWatch::HandleMissing(Instant now, const std::string& id) {
  lapses_.HandleMissing(now, id);
  pool_.SetDoubtful(id);
}

void StoreWatch::ApplyEntry(Instant now,
                            const platform::KeyedRecord& record) {
  if (!record.value) {
    if (pool_.servers().contains(record.key)) {
      HandleMissing(now, record.key);
    }
    return;
  }
  std::string problem;
  const auto entry =
      platform::ParseServerEntry(record.key, *record.value, &problem);
  if (!entry) {
    ++bad_entries_;
    log_.Write(LogPart::kStore, "entry-unreadable",
               {{"key", std::string_view(record.key)},
                {"offset", record.offset},
                {"problem", std::string_view(problem)}});
    return;
  }
  lapses_.HandlePresent(record.key);
  const std::uint64_t change = pool_.change();
  pool_.Update(now, *entry);
  if (pool_.change() != change) {
    log_.Write(LogPart::kServers, "entry",
               {{"server", std::string_view(record.key)},
                {"service", std::string_view(entry->service)},
                {"zone", std::string_view(entry->zone)},
                {"draining", entry->draining},
                {"cold_ms", entry->warmup_left.count() / 1000},
                {"born", entry->life.born}});
  }
}

void StoreWatch::RemoveGone(Instant now) {
  for (const std::string& id : lapses_.TakeGone(now)) {
    log_.Write(LogPart::kServers, "gone",
               {{"server", std::string_view(id)}});
    pool_.Remove(id);
  }
}

}  // namespace mustardflow::transport
