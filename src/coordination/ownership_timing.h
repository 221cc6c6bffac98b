// Timing constants of key ownership, and the waiting times derived from them.

#ifndef MUSTARDFLOW_COORDINATION_OWNERSHIP_TIMING_H_
#define MUSTARDFLOW_COORDINATION_OWNERSHIP_TIMING_H_

#include <cstddef>

#include "state/time.h"

namespace mustardflow::coordination {

// All hosts and all services must use the same values: the waiting times of a
// coordinator must cover the leases that the coordinator before it granted.
struct OwnershipTiming {
  // The duration of a lease. It begins at the time on the server's clock that
  // the server reported in its answer.
  state::Duration lease = std::chrono::milliseconds(800);
  // The time between the starts of two rounds.
  state::Duration round_period = std::chrono::milliseconds(150);
  // An acknowledgement that arrives later than this after the start of its
  // round does not count for the round.
  state::Duration round_timeout = std::chrono::milliseconds(300);
  // The maximum difference in rate between two monotonic clocks, in
  // thousandths.
  int clock_rate_error_permille = 10;
  // The number of slices of a keyspace that has never been assigned, for
  // request keys and for routing duties. Both are powers of two.
  std::size_t initial_slices = 256;
  std::size_t initial_routing_slices = 64;
  // The maximum number of owned slices that move to another owner at the same
  // time. Every unacknowledged grant counts towards this limit, but slices
  // without an owner are granted even above it.
  int concurrent_moves = 16;
  // A server that lost its lease or restarted gets no slices until it has
  // answered for this long. The delay doubles with each further loss, up to
  // `max_rejoin_delay`.
  state::Duration rejoin_delay = std::chrono::milliseconds(500);
  state::Duration max_rejoin_delay = std::chrono::seconds(16);
  // After a server has kept its lease for this long, its next loss counts as
  // the first one.
  state::Duration rejoin_delay_reset_time = std::chrono::seconds(60);

  // The maximum duration on this host's clock of a time span that lasts `span`
  // on another clock.
  state::Duration WithClockError(state::Duration span) const {
    return span + span * clock_rate_error_permille / 1000;
  }
  // After this time without a successful round, a coordinator must step down
  // and campaign under a higher term.
  state::Duration authority_timeout() const { return round_timeout + lease; }
  // This long after a coordinator is established, all leases of earlier
  // coordinators have ended, except those that this coordinator has renewed.
  state::Duration takeover_wait() const {
    return WithClockError(round_timeout + lease);
  }
  // A server does not count as a witness until its process has run for this
  // long: it may not know a term that its earlier incarnation accepted.
  state::Duration witness_min_uptime() const {
    return WithClockError(2 * round_timeout + lease);
  }
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_OWNERSHIP_TIMING_H_
