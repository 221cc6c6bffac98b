// The record that a backend server publishes about itself in the platform's
// store.

#ifndef MUSTARDFLOW_STATE_SERVER_RECORD_H_
#define MUSTARDFLOW_STATE_SERVER_RECORD_H_

#include <cstdint>
#include <string>

#include "state/document.h"
#include "state/time.h"

namespace mustardflow::state {

// One start of a backend server. A server that restarts keeps its id, gets a
// later start time and holds no keys.
struct ServerIncarnation {
  std::string id;
  // Milliseconds since the Unix epoch. Only compared with the start times of
  // other incarnations of the same server.
  std::int64_t start_time_ms = 0;

  auto operator<=>(const ServerIncarnation&) const = default;
};

// The content of one entry of a backend server in the store.
struct ServerRecord {
  ServerIncarnation incarnation;
  // Increases with each entry that an incarnation writes.
  std::int64_t sequence = 0;
  std::string service;
  Address address;
  std::string zone;
  // Requests that the server runs at the same time.
  int slots = 1;
  bool draining = false;
  // The time until the warm-up ends, measured from the time when the server
  // wrote the entry.
  Duration warmup_left = Duration(0);

  bool operator==(const ServerRecord&) const = default;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_SERVER_RECORD_H_
