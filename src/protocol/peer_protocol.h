// Header fields between entry hosts, and those that callers see.

#ifndef MUSTARDFLOW_PROTOCOL_PEER_PROTOCOL_H_
#define MUSTARDFLOW_PROTOCOL_PEER_PROTOCOL_H_

#include <string_view>

namespace mustardflow::protocol {

// Fields that begin with this are removed from callers' requests.
inline constexpr std::string_view kInternalHeaderPrefix = "Mustardflow-";

// On a forwarded request: which duty of the receiver is asked for.
inline constexpr std::string_view kDutyField = "Mustardflow-Duty";
// The receiver holds the queue in front of the backend server.
inline constexpr std::string_view kGateDuty = "gate";
// The receiver remembers the request's id.
inline constexpr std::string_view kLedgerDuty = "ledger";
inline constexpr std::string_view kServiceField = "Mustardflow-Service";
inline constexpr std::string_view kClassField = "Mustardflow-Class";
inline constexpr std::string_view kServerField = "Mustardflow-Server";
inline constexpr std::string_view kKeyField = "Mustardflow-Key";
// Milliseconds that remain until the request's deadline.
inline constexpr std::string_view kDeadlineField = "Mustardflow-Deadline-Ms";

// On answers, also to callers: what is known about the request, and why.
inline constexpr std::string_view kOutcomeField = "Mustardflow-Outcome";
inline constexpr std::string_view kReasonField = "Mustardflow-Reason";

// The caller's request id, a UUID of version 7.
inline constexpr std::string_view kRequestIdField = "Idempotency-Key";

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_PEER_PROTOCOL_H_
