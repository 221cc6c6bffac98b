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
  // The era of the store to which the offsets belong.
  std::int64_t era = 0;
};

// A place in a topic. Offsets of different eras cannot be compared.
struct TopicPosition {
  std::int64_t era = 0;
  std::int64_t offset = 0;
};

// One client serves all components of a host. A call counts as failed if there
// is no reply, or one with status 429 or 5xx. Failed calls are not retried
// here; the component that made the call decides when to retry.
//
// The client keeps the highest era of the store that it knows of. A reply of a
// lower era was sent before the store lost records, so it proves nothing about
// what the store holds: a read then fails, and an append has an unknown
// outcome.
class StoreClient {
 public:
  StoreClient(asio::any_io_executor executor,
              state::Address address,
              EventLog& log);

  // The highest known era of the store; 0 as long as no answer names an era.
  std::int64_t era() const { return era_; }
  // Another host has learned of this era.
  void HandleEra(std::int64_t era);

  // Reads the newest record of each key. Returns nothing if a call fails, or if
  // the era changes meanwhile.
  awaitable<std::optional<TopicPage>> ReadNewest(std::string topic);

  // Reads the records from `from` on; waits up to `wait` if there are none yet.
  // If the store has already dropped some of these records, reads the newest
  // record of each key instead. Returns nothing if a call fails, or if the
  // store is in a later era than `from`; era() then tells that era.
  awaitable<std::optional<TopicPage>> ReadFrom(std::string topic,
                                               TopicPosition from,
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
  // Returns nothing if there was no reply within `timeout`, or if it is of an
  // earlier era than era().
  awaitable<std::optional<HttpReply>> Send(platform::StoreCall call,
                                           state::Duration timeout);
  // Handles the era that the reply names. Returns whether the reply is of the
  // highest known era; one that names none is.
  bool RecordEra(const HttpReply& reply);

  HttpClient client_;
  const state::Address address_;
  EventLog& log_;
  // When the first of the latest failed calls ended; nothing if the last call
  // succeeded.
  std::optional<state::Instant> failing_since_;
  std::uint64_t calls_ = 0;
  std::int64_t era_ = 0;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_STORE_CLIENT_H_
