// Follows the store's topics of operators and of backend servers, and applies
// their records.

#ifndef MUSTARDFLOW_TRANSPORT_STORE_WATCH_H_
#define MUSTARDFLOW_TRANSPORT_STORE_WATCH_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/missing_entries.h"
#include "coordination/server_pool.h"
#include "protocol/findings.h"
#include "protocol/host_messages.h"
#include "state/routing_config.h"
#include "state/time.h"
#include "transport/asio.h"
#include "transport/event_log.h"
#include "transport/store_client.h"

namespace mustardflow::transport {

// Reads the two topics until the process ends, or takes their records from the
// leader.
//
// The leader reads both topics often and tells the other hosts in its
// heartbeats how far it has read and which server entries have changed. The
// other hosts then read the store rarely, so that calls to it do not grow with
// the number of hosts. A host that receives no such progress reads the store
// itself.
//
// Each record of operators is relevant. An entry of a server is relevant if it
// changes the server pool. Servers renew their entries, so most entries are not
// relevant.
//
// In a new era of the store, offsets of before mean nothing. Both topics are
// then read anew from the newest records. What this host knew stays in use
// until a record of the new era replaces it: the store may have lost what
// operators and servers wrote last, and they write it again.
class StoreWatch {
 public:
  // All hooks must be set.
  struct Hooks {
    // Called with each newer configuration.
    std::function<void(std::shared_ptr<const state::RoutingConfig>)> config;
    // Called with the evacuated zones when they change.
    std::function<void(const std::set<std::string>&)> evacuated;
    // Called after a read that found relevant records.
    std::function<void()> progressed;
  };

  StoreWatch(asio::any_io_executor executor,
             StoreClient& store,
             coordination::ServerPool& pool,
             EventLog& log,
             Hooks hooks);

  // Starts reading both topics, which goes on until the process ends.
  void Start();

  // Handles the leader's progress in a heartbeat. While the leader's last read
  // of a topic is recent, this host reads the topic only if the leader has
  // found relevant records there that this host lacks.
  void HandleProgress(state::Instant now,
                      const protocol::LeaderHeartbeat& heartbeat);

  // Starts the reads that are due. Called about every 20 ms.
  void Tick(state::Instant now, bool leading);

  // Returns how far this host has read, for the heartbeats of a leader.
  protocol::ReadProgress Progress(state::Instant now) const;
  // Moves into the update the relevant server entries since the last call.
  void TakeEntryUpdates(protocol::HeartbeatUpdate* update);

  // When this host last knew that it had the newest configuration; nothing if
  // it lacks records of operators or could not read the newest configuration.
  std::optional<state::Instant> ConfigConfirmedAt() const;

  // The time as of which this host knows all entries of servers; nothing before
  // the first read.
  std::optional<state::Instant> ServersConfirmedAt() const {
    return server_reader_.confirmed_at;
  }

  // Time since the store last answered this host or the leader; 0 while it
  // answers this host.
  state::Duration StoreSilence(state::Instant now) const;

  // Whether this host lacks records of operators that the leader has read. They
  // are then fetched from another host; if that fails, this host reads the
  // store.
  bool NeedsOperatorRecords() const;
  // Handles the records of operators of another host. Returns whether they are
  // newer.
  bool HandleOperatorRecords(protocol::OperatorRecords operators);
  // The era of the store to which the offsets of this host belong.
  std::int64_t era() const { return era_; }
  // Whether a read of the operators' records is under way.
  bool reading_operators() const {
    return operator_reader_.next && !operator_reader_.waiting;
  }
  // Reads the operators' records from the store without delay if this host
  // lacks some.
  void ReadOperatorsNow() { operator_reader_.read_now = true; }
  // The records of operators for other hosts; empty before the first read.
  const protocol::OperatorRecords& operators() const {
    return operator_records_;
  }

  // Enters a later era of the store.
  void HandleEra(std::int64_t era);

  // Whether this host lacks entries of servers, and from which offset on. Like
  // records of operators, they are fetched from another host.
  std::optional<std::int64_t> MissingEntriesFrom(state::Instant now) const;
  // Handles the updates of another host. Returns whether this host lacked them.
  bool HandleEntryUpdates(state::Instant now,
                          const std::vector<protocol::EntryUpdate>& updates);
  // Returns the updates that another host lacks that has read the entries up to
  // `from`; empty if this host does not know them.
  std::vector<protocol::EntryUpdate> EntryUpdatesSince(std::int64_t from) const;

  // Whether the entries of servers have been read at least once.
  bool servers_known() const { return servers_known_; }
  // The number of entries read that could not be parsed.
  std::uint64_t unreadable_entries() const { return unreadable_entries_; }

 private:
  // The state of following one topic.
  struct TopicReader {
    TopicReader(asio::any_io_executor executor, std::string_view topic)
        : topic(topic), timer(executor) {}

    const std::string topic;
    // Cancelled to end the wait for the next read.
    asio::steady_timer timer;
    bool waiting = false;
    // Whether the last read failed, and when it ended.
    bool failing = false;
    state::Instant read_at{};
    // The offset of the next read; nothing before the first successful read.
    std::optional<std::int64_t> next;
    // The offset after the last relevant record that this host or the leader
    // has read. A host that becomes the leader announces it, so that hosts
    // which missed an update of the former leader find that they are behind.
    std::int64_t relevant_end = 0;
    // The leader's `relevant_end`, and since when it has been ahead of `next`;
    // nothing if it is not ahead.
    std::int64_t announced = 0;
    std::optional<state::Instant> behind_since;
    // When the leader read `announced`, and when this host last knew that it
    // had all records: from a read of its own or from `announced`.
    std::optional<state::Instant> announced_at;
    std::optional<state::Instant> confirmed_at;
    // Until the first read in an era has ended, what the store lacks may be
    // what it has lost.
    bool enters_era = false;
    // The number of consecutive failed reads.
    int failures = 0;
    // The next read is due at once if records are missing.
    bool read_now = false;
    // Until when the leader's progress replaces this host's own reads; nothing
    // before the first heartbeat.
    std::optional<state::Instant> relied_until;
    // Whether the host relied on the leader's progress when that was logged
    // last.
    bool relies_on_leader = false;
  };

  // When a change of an entry is applied, and the time at which the store held
  // what it says.
  struct EntryTimes {
    state::Instant now;
    state::Instant as_of;
  };

  // Forgets the offsets of the topic.
  static void ResetOffsets(TopicReader* reader);
  awaitable<void> FollowOperators();
  awaitable<void> FollowServers();
  // Waits until Tick() finds the next read due.
  awaitable<void> WaitUntilReadDue(TopicReader* reader);
  // Whether the next read is due. `interval` applies if the host cannot rely on
  // the leader's progress.
  bool ReadDue(state::Instant now,
               const TopicReader& reader,
               state::Duration interval) const;
  // Whether the leader's progress replaces this host's own reads.
  bool ReliesOnLeader(state::Instant now, const TopicReader& reader) const;
  // Logs when this host begins or ends to rely on the leader.
  void LogReliance(state::Instant now, TopicReader* reader);
  // Records the result of a read that began at `started`; no page means that it
  // failed. Returns whether the page is to be applied. It is not if newer
  // records came from another host while it was under way.
  bool RecordRead(TopicReader* reader,
                  state::Instant started,
                  const std::optional<TopicPage>& page);
  // Records that this host had all records at `time`.
  static void Confirm(state::Instant time, TopicReader* reader);
  // Relies on the leader, which knew `age` ago that it had all records.
  static void RelyOnLeader(state::Instant now,
                           state::Duration age,
                           TopicReader* reader);
  // Records that the leader's relevant records end at `announced`.
  static void RecordAnnounced(state::Instant now,
                              std::int64_t announced,
                              TopicReader* reader);
  // Applies the server entries in one part of the leader's update. All parts
  // together reach up to offset `end`. A part out of order is ignored.
  void HandleEntries(const EntryTimes& times,
                     const protocol::HeartbeatUpdate& update,
                     std::int64_t end);
  void RememberEntries(protocol::EntryUpdate update);
  // Whether this host lacks several records of operators, or all, so that it
  // reads only the newest of each key. Each configuration is a whole one.
  bool ReadsNewestOperators() const;
  // `source` tells where the records come from: "store" or "host".
  void ApplyOperators(TopicPage page, std::string_view source);
  // Replaces in `page` what the store has put back or lost by what this host
  // knows.
  void KeepKnownRecords(TopicPage* page);
  // From now on, what the store lacks has been deleted.
  void EndKeeping();
  // Whether this is a configuration of a lower version than that in force.
  bool IsOlderConfig(const std::string& text) const;
  // Applies the newest of the configurations, given from the oldest on, that
  // can be read.
  void ApplyNewestConfig(const std::vector<const std::string*>& configs,
                         std::string_view source);
  // Returns whether the configuration can be read. Only a newer one than that
  // in force takes effect.
  bool ApplyConfig(const std::string& text, std::string_view source);
  void ApplyServers(state::Instant now, const TopicPage& page);
  // Whether this is an entry that its server wrote before it was gone.
  bool IsOfGoneServer(const platform::KeyedRecord& record) const;
  // Applies the entry of server `id`, or its removal. Returns whether that
  // changed the server pool.
  bool ApplyEntry(const EntryTimes& times,
                  const std::string& id,
                  const std::optional<std::string>& entry);
  // Logs why the entry cannot be read, once as long as the reason is the same.
  // A server that was in use before stays as its last readable entry says.
  void ReportUnreadable(const std::string& id,
                        const protocol::Findings& findings);
  // Removes the servers whose entry has been missing for too long.
  void RemoveGone(state::Instant now);

  const asio::any_io_executor executor_;
  StoreClient& store_;
  coordination::ServerPool& pool_;
  EventLog& log_;
  const Hooks hooks_;
  std::int64_t era_ = 0;
  TopicReader operator_reader_;
  TopicReader server_reader_;
  bool leading_ = false;
  // The term and the number of the latest heartbeat.
  std::pair<std::int64_t, std::int64_t> last_heartbeat_{0, 0};
  protocol::OperatorRecords operator_records_;
  // Records that this host knew when it entered the era, by key, as far as no
  // record of the era has replaced them, and until when they are kept.
  std::map<std::string, std::string> kept_records_;
  state::Instant kept_until_{};
  std::int64_t config_version_ = 0;
  // Whether the newest configuration could not be read, so that an earlier one
  // is in force.
  bool config_unreadable_ = false;
  std::set<std::string> evacuated_;
  bool servers_known_ = false;
  coordination::MissingEntries missing_entries_;
  // The update whose parts are arriving, and the next part. The base offset is
  // -1 if there is none.
  protocol::EntryUpdate arriving_update_{-1, -1, {}};
  std::int64_t next_update_part_ = 0;
  // Recent updates, kept for other hosts. Invariant: each continues the one
  // before it.
  std::deque<protocol::EntryUpdate> recent_updates_;
  // On the leader: relevant entries after offset `published_end_` that no
  // heartbeat has carried yet.
  std::int64_t published_end_ = 0;
  std::vector<std::pair<std::string, std::optional<std::string>>>
      unpublished_entries_;
  std::uint64_t unreadable_entries_ = 0;
  // Keys of entries that cannot be read, with the problem that was logged.
  std::map<std::string, std::string> unreadable_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_STORE_WATCH_H_
