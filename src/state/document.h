// The service document: the configuration of one service as its operators
// publish it.

#ifndef MUSTARDFLOW_STATE_DOCUMENT_H_
#define MUSTARDFLOW_STATE_DOCUMENT_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "state/time.h"

namespace mustardflow::state {

// An IP address and a port. Parsing validates both.
struct Address {
  std::string ip;
  std::uint16_t port = 0;

  auto operator<=>(const Address&) const = default;
};

// A backend server of the service.
struct ServerEntry {
  std::string name;
  Address address;
  std::string zone;
  // Requests that the server runs at the same time.
  int slots = 1;
  // Connections that the server accepts from all hosts together.
  int connections = 1;
  // Capacity relative to the other servers of the service.
  double weight = 1;

  bool operator==(const ServerEntry&) const = default;
};

// The request's key is the path segment with this zero-based index.
struct KeyInPath {
  int segment = 0;
  bool operator==(const KeyInPath&) const = default;
};

// The request's key is the value of this query parameter.
struct KeyInQuery {
  std::string parameter;
  bool operator==(const KeyInQuery&) const = default;
};

// The request's key is the value of this header field.
struct KeyInHeader {
  std::string field;
  bool operator==(const KeyInHeader&) const = default;
};

// The request has no key; any server may run it.
struct NoKey {
  bool operator==(const NoKey&) const = default;
};

using KeySource = std::variant<NoKey, KeyInPath, KeyInQuery, KeyInHeader>;

// A class of requests that share a method, a path prefix and their treatment.
struct RequestClass {
  std::string name;
  std::string method;
  // A prefix of the request path.
  std::string path;
  bool idempotent = false;
  KeySource key;
  // The maximum time from the arrival of the request until the response begins.
  Duration deadline = std::chrono::seconds(2);

  bool operator==(const RequestClass&) const = default;
};

// The backend servers and request classes of one service.
struct ServiceDocument {
  std::string service;
  // Whether the backend servers reject orders and requests with outdated
  // fences.
  bool fence_check = true;
  std::vector<std::string> zones;
  std::vector<ServerEntry> servers;
  std::vector<RequestClass> classes;

  bool operator==(const ServiceDocument&) const = default;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_DOCUMENT_H_
