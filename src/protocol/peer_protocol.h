// HTTP header fields that entry hosts exchange, and those that callers send or
// receive.

#ifndef MUSTARDFLOW_PROTOCOL_PEER_PROTOCOL_H_
#define MUSTARDFLOW_PROTOCOL_PEER_PROTOCOL_H_

#include <string_view>

namespace mustardflow::protocol {

// Header fields with this prefix are removed from callers' requests, because
// only hosts may set them.
inline constexpr std::string_view kInternalHeaderPrefix = "Mustardflow-";

// On a forwarded request: the duty that the receiving host performs for it,
// which is kGateDuty or kLedgerDuty.
inline constexpr std::string_view kDutyField = "Mustardflow-Duty";
// The receiver queues the request in front of the backend server and sends it.
inline constexpr std::string_view kGateDuty = "gate";
// The receiver records the request id in its ledger.
inline constexpr std::string_view kLedgerDuty = "ledger";
// On a forwarded request: its service and request class, the backend server if
// the sender has chosen one, and the key if the request has one.
inline constexpr std::string_view kServiceField = "Mustardflow-Service";
inline constexpr std::string_view kClassField = "Mustardflow-Class";
inline constexpr std::string_view kServerField = "Mustardflow-Server";
inline constexpr std::string_view kKeyField = "Mustardflow-Key";
// Time that remains until the request's deadline, in milliseconds.
inline constexpr std::string_view kDeadlineField = "Mustardflow-Deadline-Ms";

// On responses to hosts and to callers: the outcome of the request and, if the
// request failed, the reason.
inline constexpr std::string_view kOutcomeField = "Mustardflow-Outcome";
inline constexpr std::string_view kReasonField = "Mustardflow-Reason";

// The caller's request id, a version 7 UUID.
inline constexpr std::string_view kRequestIdField = "Idempotency-Key";

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_PEER_PROTOCOL_H_
