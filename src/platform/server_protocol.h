// The protocol between mustardflow-entry and backend servers: header fields of
// requests and responses, and the calls that grant and release shard keys.

#ifndef MUSTARDFLOW_PLATFORM_SERVER_PROTOCOL_H_
#define MUSTARDFLOW_PLATFORM_SERVER_PROTOCOL_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "state/time.h"

namespace mustardflow::platform {

// Identifies one attempt of a caller. Echoed in the response.
inline constexpr std::string_view kAttemptIdField = "X-Attempt-Id";
// The remaining time that the caller waits, in milliseconds.
inline constexpr std::string_view kDeadlineField = "X-Deadline-Ms";
// The id of the intended server. Any other server responds with status 421.
inline constexpr std::string_view kServerIdField = "X-Target-Instance";
// Proves that a backend server itself sent the response.
inline constexpr std::string_view kSignatureField = "X-Server-Signature";
// States that the server did not run the request.
inline constexpr std::string_view kNotExecutedField = "X-Not-Executed";
// The load of the server: running requests, waiting requests, slots and,
// optionally, the duration of work in percent of the usual duration.
inline constexpr std::string_view kLoadField = "X-Server-Load";
// The rest of the server's warm-up, in milliseconds.
inline constexpr std::string_view kWarmupField = "X-Warmup-Ms";
// The shard key of the request.
inline constexpr std::string_view kShardKeyField = "X-Shard-Key";
// Passes hand-off data from the previous holder of keys to the next holder.
inline constexpr std::string_view kHandoverField = "X-Handover";

inline constexpr std::string_view kGrantPath = "/grant";
inline constexpr std::string_view kReleasePath = "/release";
inline constexpr std::string_view kReadyPath = "/readiness";

// The load that a server reports with a response.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 1;
  // The duration of work relative to the usual duration.
  double slowness = 1;
};

// Parses a value of X-Server-Load. Returns nullopt if it is invalid.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

// The body of a call that grants the keys from `first` to `last`, both
// included, for the period `lease`. An empty `handover` is omitted.
std::string GrantBody(std::int32_t first,
                      std::int32_t last,
                      std::int64_t fence,
                      state::Duration lease,
                      const std::string& handover);
// The body of a call that releases the keys from `first` to `last`, both
// included.
std::string ReleaseBody(std::int32_t first,
                        std::int32_t last,
                        std::int64_t fence);

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_SERVER_PROTOCOL_H_
