// Calls of the platform's log store: targets, bodies and replies.
//
// A call is an HTTP request; sending it is left to the transport layer.

#ifndef MUSTARDFLOW_PLATFORM_STORE_PROTOCOL_H_
#define MUSTARDFLOW_PLATFORM_STORE_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/time.h"

namespace mustardflow::platform {

struct StoreCall {
  // "GET" or "POST".
  std::string_view method;
  std::string target;
  std::string body;
};

// A record of a keyed topic. Without a value the key is dropped.
struct KeyedRecord {
  std::string key;
  std::optional<std::string> value;
  std::int64_t offset = 0;
};

// Topics with one partition and one record kept for each key. The operators
// write the first, the backend servers the second, this system the others.
inline constexpr std::string_view kOperatorTopic = "keyed.op";
inline constexpr std::string_view kServerTopic = "keyed.servers";
inline constexpr std::string_view kOwnershipTopic = "keyed.mustardflow";
// One record for each host: its name and where it takes messages.
inline constexpr std::string_view kHostTopic = "keyed.mustardflow-hosts";

// Keys of the operators' topic.
inline constexpr std::string_view kConfigKey = "config";
inline constexpr std::string_view kEvacuationPrefix = "evacuate/";

// Sets apart the writes of successive writers. The store refuses a lower epoch
// than one that it has seen, and within an epoch a sequence with gaps.
struct ProducerToken {
  std::string_view producer;
  std::int64_t epoch = 0;
  std::int64_t sequence = 0;
};

// Appends all records or none. With `at`, only if the partition ends there.
StoreCall AppendCall(std::string_view topic,
                     const std::vector<KeyedRecord>& records,
                     const ProducerToken& token,
                     std::optional<std::int64_t> at);

// Reads records from an offset on; waits for one at most `wait`.
StoreCall ReadCall(std::string_view topic,
                   std::int64_t from,
                   state::Duration wait);

// Reads the newest record of each key, from after `after` on.
StoreCall NewestCall(std::string_view topic, std::string_view after);

enum class AppendOutcome {
  kDone,
  // A writer with a higher epoch has written.
  kFenced,
  // The partition ends elsewhere, or the sequence does not follow.
  kConflict,
  // The store says that it has done nothing.
  kRefused,
  // Lost, or not understood.
  kUnknown,
};

AppendOutcome ParseAppendReply(int status, std::string_view body);

struct ReadReply {
  // The offset after the last record that the partition holds.
  std::int64_t end = 0;
  std::vector<KeyedRecord> records;
};

// Nothing if the body is damaged. The records begin at offset `from`.
std::optional<ReadReply> ParseReadReply(std::string_view body,
                                        std::int64_t from);

// The status of a read whose first records have been deleted.
inline constexpr int kReadGoneStatus = 410;

struct NewestReply {
  std::vector<KeyedRecord> records;
  bool more = false;
  std::int64_t end = 0;
};

std::optional<NewestReply> ParseNewestReply(std::string_view body);

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_STORE_PROTOCOL_H_
