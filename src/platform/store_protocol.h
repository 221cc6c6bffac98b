// Requests to the platform's log store, and parsing of its responses.
//
// The transport layer sends the requests over HTTP.

#ifndef MUSTARDFLOW_PLATFORM_STORE_PROTOCOL_H_
#define MUSTARDFLOW_PLATFORM_STORE_PROTOCOL_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/time.h"

namespace mustardflow::platform {

// An HTTP request to the store.
struct StoreCall {
  // "GET" or "POST".
  std::string_view method;
  std::string target;
  std::string body;
};

// The longest key of a record.
inline constexpr std::size_t kMaxKeyBytes = 255;

// A record of a keyed topic. A record without a value deletes its key. The wire
// format does not distinguish an empty value from a missing one.
struct KeyedRecord {
  // At most kMaxKeyBytes.
  std::string key;
  std::optional<std::string> value;
  // The offset in the partition. Ignored in appended records.
  std::int64_t offset = 0;
};

// The header of the store's answers that carries its era. The era rises by one
// each time the store has come back from a copy and has lost recent records.
inline constexpr std::string_view kEraHeader = "Store-Era";

// Parses the value of kEraHeader. Returns nullopt if it is not an integer that
// an era can have.
std::optional<std::int64_t> ParseEra(std::string_view text);

// Topics with one partition that retain the newest record of each key. The
// operators write kOperatorTopic, the backend servers kServerTopic, and the
// entry hosts the other topics.
inline constexpr std::string_view kOperatorTopic = "keyed.op";
inline constexpr std::string_view kServerTopic = "keyed.servers";
inline constexpr std::string_view kOwnershipTopic = "keyed.mustardflow";
// One record for each host: its name and the address of its listener for
// messages of other hosts.
inline constexpr std::string_view kHostTopic = "keyed.mustardflow-hosts";

// Keys of kOperatorTopic: the configuration, and the prefix of one key for each
// evacuated zone.
inline constexpr std::string_view kConfigKey = "config";
inline constexpr std::string_view kEvacuationPrefix = "evacuate/";

// Identifies an append, so that the store can reject appends of a writer that
// has been replaced. The store rejects an epoch lower than the highest one of
// the producer, and a gap in the sequence of an epoch.
struct ProducerToken {
  std::string_view producer;
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;
};

// Appends all records or none. If `at` is set, appends only if the partition
// ends at this offset.
StoreCall AppendCall(std::string_view topic,
                     const std::vector<KeyedRecord>& records,
                     const ProducerToken& token,
                     std::optional<std::int64_t> at);

// Reads records from offset `from` on. Waits for a record for at most `wait`.
StoreCall ReadCall(std::string_view topic,
                   std::int64_t from,
                   state::Duration wait);

// Reads a page of the newest records of the keys that follow the key `after`,
// or of all keys if `after` is empty.
StoreCall NewestCall(std::string_view topic, std::string_view after);

// The result of an append.
enum class AppendOutcome {
  kDone,
  // A writer with a higher epoch has appended records.
  kFenced,
  // The partition ends at another offset, or the sequence has a gap.
  kConflict,
  // The store reports that it has not appended the records.
  kRefused,
  // The response is lost or unexpected. The records may have been appended.
  kUnknown,
};

AppendOutcome ParseAppendReply(int status, std::string_view body);

// The response to a ReadCall.
struct ReadReply {
  // The offset after the last record of the partition.
  std::int64_t end = 0;
  std::vector<KeyedRecord> records;
};

// Returns nullopt if the body is too short for its header. The first record has
// the offset `from`. A truncated last record is ignored.
std::optional<ReadReply> ParseReadReply(std::string_view body,
                                        std::int64_t from);

// The HTTP status of a read from an offset whose record has been deleted.
inline constexpr int kReadGoneStatus = 410;

// The response to a NewestCall.
struct NewestReply {
  std::vector<KeyedRecord> records;
  // Whether further keys follow the key of the last record.
  bool has_more = false;
  // The offset after the last record of the partition.
  std::int64_t end = 0;
};

// Returns nullopt if the body is not a valid response. Omits items without a
// key or with an invalid value.
std::optional<NewestReply> ParseNewestReply(std::string_view body);

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_STORE_PROTOCOL_H_
