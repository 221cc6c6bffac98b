// Grants, and the orders and acknowledgements that carry them between a
// coordinator and a backend server.

#ifndef MUSTARDFLOW_STATE_GRANT_H_
#define MUSTARDFLOW_STATE_GRANT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "state/fence.h"
#include "state/key_range.h"
#include "state/time.h"

namespace mustardflow::state {

// The previous owner of a range, if it has acknowledged that it released the
// range.
struct Predecessor {
  // The name of the backend server or entry host. Empty if there was no such
  // acknowledgement, for instance since the previous lease expired instead.
  std::string member;
  // The process run that released the range.
  BootId boot = 0;

  bool operator==(const Predecessor&) const = default;
};

// The right of a backend server to accept work for the keys of a range.
struct Grant {
  KeyRange range;
  Fence fence;
  // A continued grant takes effect only if the server still holds the range
  // under the same fence. It does not revive an expired lease.
  bool continued = false;
  // The owner from which the new owner may fetch the state of the range.
  Predecessor predecessor = {};

  bool operator==(const Grant&) const = default;
};

// The complete set of grants of a backend server. It replaces the previous set.
struct Assignment {
  // The process run that the set is meant for. Any other run ignores the set.
  BootId for_boot = 0;
  // The server accepts work only before this instant of its own clock.
  ServerInstant lease_until;
  // Sorted by range; ranges do not overlap.
  std::vector<Grant> grants;

  bool operator==(const Assignment&) const = default;
};

// A message from a coordinator to a backend server. An order without an
// assignment only announces the term and requests the server's state.
struct Order {
  std::string service;
  Term term;
  // Increases with each order to the same server within a term.
  std::uint64_t sequence = 0;
  // The number of the round to which the order belongs. In a round, the
  // coordinator sends an order to each server and counts the answers.
  std::uint64_t round = 0;
  std::optional<Assignment> assignment;
};

// A backend server's answer to an order.
struct OrderAck {
  bool accepted = false;
  // The term of the acknowledged order.
  Term term;
  // The highest term that the server has accepted, including this order.
  Term highest_term;
  std::uint64_t sequence = 0;
  std::uint64_t round = 0;
  BootId boot = 0;
  // The time since the server's process started.
  Duration uptime{0};
  // The reading of the server's clock when it answered.
  ServerInstant clock;
  // The grants under which the server accepts work until its lease ends.
  std::vector<Grant> held;
  // Released ranges for which accepted work is still running.
  std::vector<KeyRange> draining;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_GRANT_H_
