// The protocol between mustardflowd and backend servers: paths and header
// fields.

#ifndef MUSTARDFLOW_PLATFORM_BACKEND_PROTOCOL_H_
#define MUSTARDFLOW_PLATFORM_BACKEND_PROTOCOL_H_

#include <optional>
#include <string>
#include <string_view>

#include "coordination/attempt.h"
#include "state/fence.h"

namespace mustardflow::platform {

// The path at which a backend server accepts orders as JSON.
inline constexpr std::string_view kOrdersPath = "/control/orders";

// Sent with each keyed request: the fence of the grant under which the server
// owns the key, and the key. The server rejects a request whose fence differs
// from that of its own grant.
inline constexpr std::string_view kFenceField = "X-Fence";
inline constexpr std::string_view kKeyField = "X-Key";
// Sent with each request: the time until its deadline, in milliseconds. The
// server rejects a request whose deadline has passed.
inline constexpr std::string_view kDeadlineField = "X-Deadline-Ms";
// Sent with each request: a random number, which the server echoes. A response
// with another number belongs to another request.
inline constexpr std::string_view kExchangeField = "X-Exchange";
// Sent by a server that has not run the request. The value is the reason.
inline constexpr std::string_view kNotRunField = "X-Not-Run";
inline constexpr std::string_view kNotRunShed = "shed";
inline constexpr std::string_view kNotRunNotOwner = "not-owner";
inline constexpr std::string_view kNotRunDeadline = "deadline";

// Converts a fence to text and back. The text holds four decimal numbers
// separated by dots: the witness revision, number and instance of the term, and
// the sequence.
std::string FormatFence(state::Fence fence);
std::optional<state::Fence> ParseFence(std::string_view text);

// Maps a value of X-Not-Run to a reason. Unknown values count as load shedding.
coordination::AttemptReason ReasonFromNotRun(std::string_view value);

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_BACKEND_PROTOCOL_H_
