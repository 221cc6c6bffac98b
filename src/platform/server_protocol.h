// Header fields of requests, and the calls that grant keys to a backend server.

#ifndef MUSTARDFLOW_PLATFORM_SERVER_PROTOCOL_H_
#define MUSTARDFLOW_PLATFORM_SERVER_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "state/time.h"

namespace mustardflow::platform {

// Identifies one attempt of a caller; echoed in the answer.
inline constexpr std::string_view kRequestIdField = "X-Attempt-Id";
// What is left of the time that the caller waits, in milliseconds.
inline constexpr std::string_view kDeadlineField = "X-Deadline-Ms";
// The id of the server that is meant; any other answers 421.
inline constexpr std::string_view kServerIdField = "X-Target-Instance";
// Proves that an answer is a backend server's own.
inline constexpr std::string_view kSignatureField = "X-Server-Signature";
// Says that the server did not run the request.
inline constexpr std::string_view kNotRunField = "X-Not-Executed";
// Running, waiting, slots, and how long work takes in percent of the usual.
inline constexpr std::string_view kLoadField = "X-Server-Load";
// How long the server stays cold, in milliseconds.
inline constexpr std::string_view kWarmupField = "X-Warmup-Ms";
// The key that the request is about.
inline constexpr std::string_view kShardKeyField = "X-Shard-Key";
// Passes what the former holder of keys knows to the next one.
inline constexpr std::string_view kHandoverField = "X-Handover";

inline constexpr std::string_view kGrantPath = "/grant";
inline constexpr std::string_view kReleasePath = "/release";
inline constexpr std::string_view kReadyPath = "/readiness";

// The server's view of its load, at the moment of an answer.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  // 1 means that work takes as long as usual.
  double slowness = 1;
};

std::optional<LoadReport> ParseLoadReport(std::string_view text);

std::string GrantBody(std::int32_t first,
                      std::int32_t last,
                      std::int64_t fence,
                      state::Duration lease,
                      const std::string& handover);
std::string ReleaseBody(std::int32_t first,
                        std::int32_t last,
                        std::int64_t fence);

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_SERVER_PROTOCOL_H_
