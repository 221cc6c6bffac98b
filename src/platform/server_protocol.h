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
// The time for which the caller still waits, in milliseconds.
inline constexpr std::string_view kDeadlineField = "X-Deadline-Ms";
// The id of the intended server. Any other server responds with status 421.
inline constexpr std::string_view kServerIdField = "X-Target-Instance";
// Shows that the backend server itself sent the response. A success or a
// rejection (3xx, 4xx) without this field is not trusted.
inline constexpr std::string_view kSignatureField = "X-Server-Signature";
// States that the server did not run the request.
inline constexpr std::string_view kNotExecutedField = "X-Not-Executed";
// The load of the server: the numbers of running requests, waiting requests and
// slots, and optionally the duration of work in percent of the usual duration.
// The numbers are separated by commas.
inline constexpr std::string_view kLoadField = "X-Server-Load";
// In any answer: the requests per second that the server accepts from all hosts
// together, as a decimal number. In force as long as answers have the field.
inline constexpr std::string_view kRateLimitField = "Server-Limit";
// In all answers of a server that is about to end: kLeavingValue.
inline constexpr std::string_view kLeavingField = "Server-Leaving";
inline constexpr std::string_view kLeavingValue = "1";
// The time until the server's warm-up ends, in milliseconds.
inline constexpr std::string_view kWarmupField = "X-Warmup-Ms";
// The key of the caller's organisation. Hosts take it and never pass it on, if
// the configuration names organisations.
inline constexpr std::string_view kCredentialField = "X-Credential";
// The name of the organisation whose key the request has.
inline constexpr std::string_view kOrganisationField = "X-Tenant";
// The shard key of the request.
inline constexpr std::string_view kShardKeyField = "X-Shard-Key";
// Passes hand-off data from the previous holder of keys to the next holder.
inline constexpr std::string_view kHandoverField = "X-Handover";

// The paths at which a backend server accepts grants and releases.
inline constexpr std::string_view kGrantPath = "/grant";
inline constexpr std::string_view kReleasePath = "/release";
// The path at which an entry host answers the platform's readiness probes.
inline constexpr std::string_view kReadyPath = "/readiness";

// The load that a server reports with a response.
struct LoadReport {
  // Numbers of requests.
  int running = 0;
  int waiting = 0;
  // Requests that the server runs at the same time.
  int slots = 1;
  // The duration of work relative to the usual duration.
  double slowness = 1;
};

// Parses a value of X-Server-Load. Returns nullopt if it is invalid. Numbers
// after the fourth are ignored.
std::optional<LoadReport> ParseLoadReport(std::string_view text);

// Parses a value of Server-Limit: a decimal number that is not negative.
std::optional<double> ParseRateLimit(std::string_view text);

// The body of a call that grants the keys from `first` to `last`, both
// included, for the period `lease`. `handover` is the hand-off data of the
// previous holder; it is omitted if empty.
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
