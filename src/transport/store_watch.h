// Follows what operators and backend servers write into the store.

#ifndef MUSTARDFLOW_TRANSPORT_STORE_WATCH_H_
#define MUSTARDFLOW_TRANSPORT_STORE_WATCH_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "coordination/missing_entries.h"
#include "coordination/server_pool.h"
#include "protocol/host_messages.h"
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
    // Something that matters has been read.
    std::function<void()> progressed;
  };

  StoreWatch(asio::any_io_executor executor,
             StoreClient& store,
             coordination::ServerPool& pool,
             EventLog& log,
             Hooks hooks);

  // Reads until the process ends.
  void Start();

  // The leader tells how far it has read. As long as it reads often, this host
  // reads only what the leader has found to matter.
  void HandleProgress(state::Instant now,
                      const protocol::LeaderHeartbeat& heartbeat);

  // Begins the readings that are due; call about every 20 ms.
  void Tick(state::Instant now, bool leading);

  protocol::ReadProgress Progress(state::Instant now) const;
  // Gives the entries that have mattered since the last call.
  void TakeEntryUpdates(protocol::HeartbeatUpdate* update);

  // Whether the operators' records are wanted from another host: the store
  // turns this one away.
  bool NeedsOperatorRecords() const;
  // What another host has read of the operators' records.
  void HandleOperatorRecords(protocol::OperatorRecords operators);
  // For other hosts; empty before the first reading.
  const protocol::OperatorRecords& operators() const {
    return operator_records_;
  }

  // Whether the servers' entries have been read.
  bool servers_known() const { return servers_known_; }
  std::uint64_t unreadable_entries() const { return unreadable_entries_; }

 private:
  // A topic that is being followed.
  struct TopicReader {
    explicit TopicReader(asio::any_io_executor executor) : timer(executor) {}

    // Ends the pause between two readings.
    asio::steady_timer timer;
    bool waiting = false;
    bool failing = false;
    state::Instant read_at{};
    // Where to read on; nothing before the first reading.
    std::optional<std::int64_t> next;
    // The offset after the last record that mattered.
    std::int64_t relevant_end = 0;
    // The leader's `relevant_end`, and since when it has been ahead of `next`.
    std::int64_t announced = 0;
    std::optional<state::Instant> behind_since;
    // Readings that have failed in a row.
    int failures = 0;
  };

  awaitable<void> FollowOperators();
  awaitable<void> FollowServers();
  awaitable<void> WaitUntilReadDue(TopicReader* reader);
  bool ReadDue(state::Instant now,
               const TopicReader& reader,
               state::Duration interval) const;
  // Takes what a reading has shown, whether it failed or not.
  void RecordRead(TopicReader* reader, const std::optional<TopicPage>& page);
  // The leader has read up to `announced`.
  static void RecordAnnounced(state::Instant now,
                              std::int64_t announced,
                              TopicReader* reader);
  // Takes a part of the entries that the leader tells.
  void HandleEntries(state::Instant now,
                     const protocol::HeartbeatUpdate& update,
                     std::int64_t end);
  void ApplyOperators(const TopicPage& page);
  void ApplyConfig(const std::string& text);
  void ApplyServers(state::Instant now, const TopicPage& page);
  // Returns whether the record matters to who gets requests.
  bool ApplyEntry(state::Instant now,
                  const std::string& id,
                  const std::optional<std::string>& entry);
  void RemoveGone(state::Instant now);

  const asio::any_io_executor executor_;
  StoreClient& store_;
  coordination::ServerPool& pool_;
  EventLog& log_;
  const Hooks hooks_;
  TopicReader operator_reader_;
  TopicReader server_reader_;
  bool leading_ = false;
  // Until when the leader's progress stands for own readings.
  state::Instant progress_valid_until_{};
  protocol::OperatorRecords operator_records_;
  std::int64_t config_version_ = 0;
  std::set<std::string> evacuated_;
  bool servers_known_ = false;
  coordination::MissingEntries lapses_;
  // The news whose parts are coming in: their base and the next part.
  std::int64_t update_base_ = -1;
  std::int64_t next_update_part_ = 0;
  // Entries that mattered, after the offset, until the leader has told them.
  std::int64_t published_end_ = 0;
  std::vector<std::pair<std::string, std::optional<std::string>>>
      unpublished_entries_;
  std::uint64_t unreadable_entries_ = 0;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_STORE_WATCH_H_
