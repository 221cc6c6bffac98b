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

// The result of reading a topic: the newest record of each key, or the records
// after an offset.
struct TopicPage {
  // Whether `records` has the newest record of each key, so that a key without
  // a record is not in the topic.
  bool covers_all_keys = false;
  std::vector<platform::KeyedRecord> records;
  // The offset at which the next read continues.
  std::int64_t next = 0;
  // Whether the page reaches the end that the topic had at the time `as_of`. If
  // not, further records follow.
  bool reaches_end = true;
  state::Instant as_of{};
};

// One client serves all components of a host. A call counts as failed if there
// is no reply, or one with status 429 or 5xx. Failed calls are not retried
// here; the component that made the call decides when to retry.
class StoreClient {
 public:
  StoreClient(asio::any_io_executor executor,
              state::Address address,
              EventLog& log);

  // Reads the newest record of each key. Returns nothing if a call fails.
  awaitable<std::optional<TopicPage>> ReadNewest(std::string topic);

  // Reads the records from offset `from`; waits up to `wait` if there are none
  // yet. If the store has already dropped some of these records, reads the
  // newest record of each key instead. Returns nothing if a call fails.
  awaitable<std::optional<TopicPage>> ReadFrom(std::string topic,
                                               std::int64_t from,
                                               state::Duration wait);

  // Appends the records. If `expected_end` is set, the store appends them only
  // if the topic ends at that offset.
  awaitable<platform::AppendOutcome> Append(
      std::string topic,
      std::vector<platform::KeyedRecord> records,
      platform::ProducerToken token,
      std::optional<std::int64_t> expected_end);

  // Time since the first of the latest failed calls ended; 0 if the last call
  // succeeded.
  state::Duration OutageDuration(state::Instant now) const {
    return failing_since_ ? now - *failing_since_ : state::Duration(0);
  }
  // The number of calls sent.
  std::uint64_t calls() const { return calls_; }

 private:
  // Sends a call and logs when calls begin to fail and when they succeed again.
  // Returns nothing if there was no reply within `timeout`.
  awaitable<std::optional<HttpReply>> Send(platform::StoreCall call,
                                           state::Duration timeout);

  HttpClient client_;
  const state::Address address_;
  EventLog& log_;
  // When the first of the latest failed calls ended; nothing if the last call
  // succeeded.
  std::optional<state::Instant> failing_since_;
  std::uint64_t calls_ = 0;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_STORE_CLIENT_H_
