// Sends calls to the platform's store.

#ifndef MUSTARDFLOW_TRANSPORT_STORE_CLIENT_H_
#define MUSTARDFLOW_TRANSPORT_STORE_CLIENT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "platform/store_protocol.h"
#include "state/time.h"
#include "transport/asio.h"
#include "transport/event_log.h"
#include "transport/http_client.h"

namespace mustardflow::transport {

// What a topic holds, or what has been added to it.
struct TopicPage {
  // Whether the records are the newest of all keys, not an addition.
  bool whole = false;
  std::vector<platform::KeyedRecord> records;
  // Where to read on.
  std::int64_t next = 0;
};

class StoreClient {
 public:
  StoreClient(asio::any_io_executor executor,
              state::Address address,
              EventLog& log);

  // The newest record of each key; nothing if the store does not answer.
  awaitable<std::optional<TopicPage>> ReadNewest(std::string topic);

  // The records from `from` on, at most `wait` later; the newest of all keys if
  // the store has dropped records that are asked for.
  awaitable<std::optional<TopicPage>> ReadFrom(std::string topic,
                                               std::int64_t from,
                                               state::Duration wait);

  awaitable<platform::AppendOutcome> Append(
      std::string topic,
      std::vector<platform::KeyedRecord> records,
      platform::ProducerToken token,
      std::optional<std::int64_t> at);

  // For how long the store has answered no call; 0 while it answers.
  state::Duration OutageDuration(state::Instant now) const {
    return failing_since_ ? now - *failing_since_ : state::Duration(0);
  }
  std::uint64_t calls() const { return calls_; }

 private:
  awaitable<std::optional<HttpReply>> Send(platform::StoreCall call,
                                           state::Duration timeout);

  HttpClient client_;
  const state::Address address_;
  EventLog& log_;
  std::optional<state::Instant> failing_since_;
  std::uint64_t calls_ = 0;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_STORE_CLIENT_H_
