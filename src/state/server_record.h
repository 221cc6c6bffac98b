// What a backend server says of itself in the platform's store.

#ifndef MUSTARDFLOW_STATE_SERVER_RECORD_H_
#define MUSTARDFLOW_STATE_SERVER_RECORD_H_

#include <cstdint>
#include <string>

#include "state/document.h"
#include "state/time.h"

namespace mustardflow::state {

// One start of a backend server. A server may start again under its id; it then
// holds no keys.
struct ServerIncarnation {
  std::string id;
  // Milliseconds since the Unix epoch; only compared for equality.
  std::int64_t start_time_ms = 0;

  auto operator<=>(const ServerIncarnation&) const = default;
};

struct ServerRecord {
  ServerIncarnation incarnation;
  // Counts the entries of one life.
  std::int64_t sequence = 0;
  std::string service;
  Address address;
  std::string zone;
  int slots = 1;
  bool draining = false;
  // How long the server stayed cold from when it wrote the entry.
  Duration warmup_left = Duration(0);

  bool operator==(const ServerRecord&) const = default;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_SERVER_RECORD_H_
