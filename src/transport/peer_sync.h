// Fetches from other hosts what this host has missed of the leader's updates,
// and serves the same to them.

#ifndef MUSTARDFLOW_TRANSPORT_PEER_SYNC_H_
#define MUSTARDFLOW_TRANSPORT_PEER_SYNC_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <utility>

#include "coordination/byte_rate.h"
#include "coordination/table_follower.h"
#include "state/ownership_table.h"
#include "transport/asio.h"
#include "transport/event_log.h"
#include "transport/http_client.h"
#include "transport/http_listener.h"
#include "transport/store_watch.h"

namespace mustardflow::transport {

// A host that has missed an update asks the host that passed the heartbeat on,
// and then the leader, in turn. So the hosts do not all ask the leader, which
// could not serve them in time.
class PeerSync {
 public:
  // `random` returns uniformly distributed numbers in [0, 1). `table_changed`
  // is called when a fetch has changed `table`, which `follower` keeps.
  // `link_mbps` is the bandwidth of this host's link, in megabits per second.
  PeerSync(asio::any_io_executor executor,
           double link_mbps,
           const state::OwnershipTable& table,
           coordination::TableFollower& follower,
           StoreWatch& watch,
           EventLog& log,
           std::function<double()> random,
           std::function<void()> table_changed);

  // A heartbeat of the leader has arrived from `sender`.
  void HandleHeartbeat(const state::Address& sender,
                       const state::Address& leader) {
    sources_ = {sender, leader};
  }

  // Starts the fetches that are due, if the leader can be heard.
  void Tick(state::Instant now);

  // Answers a fetch of another host.
  HttpReply Answer(const HttpRequest& request);

 private:
  // A kind of state that is fetched.
  enum class Topic { kTable, kOperators, kServers };
  static constexpr std::size_t kTopics = 3;

  // The fetches of one topic.
  struct FetchState {
    bool pending = false;
    // The number of fetches since the last one that brought something new.
    int attempts = 0;
    // Whether the last one was declined and its topic is still needed.
    bool declined = false;
    state::Instant next{};
  };

  // Whether this host lacks something of the topic.
  bool IsNeeded(state::Instant now, Topic topic) const;
  // The path and query that ask for what this host lacks.
  std::string Target(state::Instant now, Topic topic) const;
  // The part of a query that names the era of this host's offsets, if any.
  std::string EraQuery() const;
  // Whether the offsets in a request of another host are of this host's era.
  bool IsOfOwnEra(const HttpRequest& request) const;
  awaitable<void> Fetch(Topic topic, state::Address source, std::string target);
  // Applies a reply. Returns whether it brought something new.
  bool Apply(Topic topic, const std::string& body);
  HttpReply AnswerTable(const HttpRequest& request);
  // Declines if the link would be busy with it: the other host then reads the
  // store.
  HttpReply AnswerOperators(const HttpRequest& request);
  HttpReply AnswerServers(const HttpRequest& request) const;
  FetchState& StateOf(Topic topic) {
    return fetches_[static_cast<std::size_t>(topic)];
  }

  const asio::any_io_executor executor_;
  const state::OwnershipTable& table_;
  coordination::TableFollower& follower_;
  StoreWatch& watch_;
  EventLog& log_;
  const std::function<double()> random_;
  const std::function<void()> table_changed_;
  HttpClient client_;
  // The host that passed the last heartbeat on, and the leader, which may be
  // the same; nullopt before the first heartbeat.
  std::optional<std::pair<state::Address, state::Address>> sources_;
  std::array<FetchState, kTopics> fetches_;
  state::Instant next_stale_report_{};
  // The whole table as served to other hosts, and its term and revision. It is
  // encoded only if another host fetches it.
  std::string encoded_table_;
  std::pair<std::int64_t, std::int64_t> encoded_revision_{-1, -1};
  // The same of the operators' records, and their era and the offset after
  // them.
  std::string encoded_operators_;
  std::pair<std::int64_t, std::int64_t> encoded_position_{-1, -1};
  coordination::ByteRate operators_rate_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_PEER_SYNC_H_
