// Follows what operators and backend servers write into the store.

#ifndef MUSTARDFLOW_TRANSPORT_STORE_WATCH_H_
#define MUSTARDFLOW_TRANSPORT_STORE_WATCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "coordination/entry_lapses.h"
#include "coordination/server_pool.h"
#include "state/routing_config.h"
#include "state/time.h"
#include "transport/asio.h"
#include "transport/event_log.h"
#include "transport/store_client.h"

namespace mustardflow::transport {

class StoreWatch {
 public:
  struct Hooks {
    std::function<void(std::shared_ptr<const state::RoutingConfig>)> config;
    std::function<void(const std::set<std::string>&)> evacuated;
  };

  StoreWatch(asio::any_io_executor executor,
             StoreClient& store,
             coordination::ServerPool& pool,
             EventLog& log,
             Hooks hooks);

  // Reads until the process ends.
  void Start();

  // Another host knows configuration `version`.
  void HandleVersionHint(std::int64_t version);

  // The pause between two readings of the servers' entries.
  void SetServerInterval(state::Duration interval) {
    server_interval_ = interval;
  }

  // Whether the servers' entries have been read.
  bool servers_known() const { return servers_known_; }
  std::uint64_t bad_entries() const { return bad_entries_; }

 private:
  awaitable<void> FollowOperators();
  awaitable<void> FollowServers();
  void ApplyOperators(const TopicPage& page);
  void ApplyConfig(const std::string& text);
  void ApplyServers(state::Instant now, const TopicPage& page);
  void ApplyEntry(state::Instant now, const platform::KeyedRecord& record);
  void HandleMissing(state::Instant now, const std::string& id);
  void RemoveGone(state::Instant now);

  const asio::any_io_executor executor_;
  StoreClient& store_;
  coordination::ServerPool& pool_;
  EventLog& log_;
  const Hooks hooks_;
  asio::steady_timer operator_timer_;
  std::int64_t version_ = 0;
  std::int64_t hinted_version_ = 0;
  std::set<std::string> evacuated_;
  state::Duration server_interval_ = std::chrono::milliseconds(700);
  bool servers_known_ = false;
  coordination::EntryLapses lapses_;
  std::uint64_t bad_entries_ = 0;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_STORE_WATCH_H_
