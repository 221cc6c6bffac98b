// Selects the header fields that are forwarded, and names the fields that only
// hosts exchange.

#ifndef MUSTARDFLOW_TRANSPORT_HEADER_FIELDS_H_
#define MUSTARDFLOW_TRANSPORT_HEADER_FIELDS_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "transport/asio.h"
#include "transport/request_parser.h"

namespace mustardflow::transport {

// The prefix of the fields that hosts add to requests that they forward to one
// another, and to the answers. Callers and servers neither set nor see them.
inline constexpr std::string_view kForwardingFieldPrefix = "X-Mustardflow-";
inline constexpr std::string_view kForwardServiceField =
    "X-Mustardflow-Service";
// The number of the request's state::RequestKind.
inline constexpr std::string_view kForwardKindField = "X-Mustardflow-Kind";
// The target latency of the request, in milliseconds.
inline constexpr std::string_view kForwardTargetLatencyField =
    "X-Mustardflow-Target-Ms";
// The maximum number of attempts at the request.
inline constexpr std::string_view kForwardMaxAttemptsField =
    "X-Mustardflow-Attempts";
// The name of the organisation whose key the request has; empty if its route
// needs none. Present if the forwarding host's configuration has organisations.
inline constexpr std::string_view kForwardOrganisationField =
    "X-Mustardflow-Organisation";
// The priority of the request and the name of its route. Sent only where
// requests are admitted by priority.
inline constexpr std::string_view kForwardPriorityField =
    "X-Mustardflow-Priority";
inline constexpr std::string_view kForwardRouteField = "X-Mustardflow-Route";
// What makes the request the same when it comes again, see FingerprintOf(), and
// whether the forwarding host sends it as a trial; kForwardTrialValue if so.
inline constexpr std::string_view kForwardFingerprintField =
    "X-Mustardflow-Fingerprint";
inline constexpr std::string_view kForwardTrialField = "X-Mustardflow-Trial";
inline constexpr std::string_view kForwardTrialValue = "1";
// The outcome of the request, as in the metrics' outcome label.
inline constexpr std::string_view kOutcomeField = "X-Mustardflow-Outcome";
// The server whose answer a gate passes on: its start time in milliseconds, a
// space and its id.
inline constexpr std::string_view kAnsweredByField = "X-Mustardflow-Server";
// The outcome of a forwarded request that the gate could not read. Hosts that
// do not know it treat the outcome as unknown.
inline constexpr std::string_view kUnreadableOutcome = "unreadable";

// Returns the host name of a Host field, in lower case and without the port.
std::string HostnameOf(std::string_view host_field);

inline void AppendText(beast::string_view text, std::string* bytes) {
  bytes->append(text.data(), text.size());
}

// Appends a header line with its line break.
void AppendField(std::string_view name,
                 std::string_view value,
                 std::string* bytes);

// Whether hosts read the field of a request or replace it, rather than just
// pass it on.
bool IsInterpreted(const LongField& field);

// Appends the request's end-to-end fields, which the next hop gets unchanged.
// Leaves out hop-by-hop fields, Content-Length, Expect, the fields that only
// hosts exchange, and the fields that the relay sets itself; with
// `drop_credentials` also an organisation's key and name. None of `long_fields`
// may be one that hosts interpret.
void AppendEndToEndFields(const http::fields& fields,
                          const LongFields& long_fields,
                          bool drop_credentials,
                          std::string* bytes);

// Copies the end-to-end fields of an answer. Leaves out hop-by-hop fields,
// Content-Length, Expect and the fields that only hosts exchange.
void CopyEndToEndFields(
    const http::fields& fields,
    std::vector<std::pair<std::string, std::string>>* copied);

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_HEADER_FIELDS_H_
