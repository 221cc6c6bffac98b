// Header fields that are passed on, and those that concern one connection.

#ifndef MUSTARDFLOW_TRANSPORT_HEADER_FIELDS_H_
#define MUSTARDFLOW_TRANSPORT_HEADER_FIELDS_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "transport/asio.h"

namespace mustardflow::transport {

// Fields of requests and answers that one host passes to another.
inline constexpr std::string_view kForwardingFieldPrefix = "X-Mustardflow-";
inline constexpr std::string_view kForwardServiceField =
    "X-Mustardflow-Service";
inline constexpr std::string_view kForwardKindField = "X-Mustardflow-Kind";
inline constexpr std::string_view kForwardTargetField =
    "X-Mustardflow-Target-Ms";
inline constexpr std::string_view kForwardAttemptsField =
    "X-Mustardflow-Attempts";
// How the request has ended, in the words of the metrics.
inline constexpr std::string_view kOutcomeField = "X-Mustardflow-Outcome";

// The host name of a Host field, in lower case and without the port.
std::string HostnameOf(std::string_view host_field);

inline void AppendText(beast::string_view text, std::string* bytes) {
  bytes->append(text.data(), text.size());
}

void AppendField(std::string_view name,
                 std::string_view value,
                 std::string* bytes);

// Appends the fields of a request that the next hop gets unchanged: not those
// that concern the connection, the body's length, or that this system sets.
void AppendEndToEndFields(const http::fields& fields, std::string* bytes);

// The same for an answer.
void CopyEndToEndFields(
    const http::fields& fields,
    std::vector<std::pair<std::string, std::string>>* copied);

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_HEADER_FIELDS_H_
