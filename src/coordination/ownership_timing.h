// The settings on which key ownership rests, and the waits derived from them.

#ifndef MUSTARDFLOW_COORDINATION_OWNERSHIP_TIMING_H_
#define MUSTARDFLOW_COORDINATION_OWNERSHIP_TIMING_H_

#include <cstddef>

#include "state/time.h"

namespace mustardflow::coordination {

// Every host and every service uses the same values: a successor's waits cover
// the leases that its predecessor handed out.
struct OwnershipTiming {
  // How long a lease lasts from the server's clock reading that it is based on.
  state::Duration lease = std::chrono::milliseconds(800);
  // The time between the starts of two rounds.
  state::Duration round_period = std::chrono::milliseconds(150);
  // An acknowledgement that arrives later than this after the start of its
  // round is ignored.
  state::Duration round_timeout = std::chrono::milliseconds(300);
  // The largest difference in rate between two monotonic clocks, in
  // thousandths.
  int clock_rate_error_permille = 10;
  // Slices of a keyspace that has never been assigned. Powers of two.
  std::size_t initial_slices = 256;
  std::size_t initial_routing_slices = 64;
  // How many slices change owner at the same time by choice. Slices without an
  // owner are not counted.
  int concurrent_moves = 16;
  // A server that lost its lease gets no slices until it has answered for this
  // long, doubled with each further loss up to the maximum.
  state::Duration rejoin_delay = std::chrono::milliseconds(500);
  state::Duration max_rejoin_delay = std::chrono::seconds(16);
  // A server that kept its lease for this long starts over with no delay.
  state::Duration rejoin_delay_reset_time = std::chrono::seconds(60);

  // An upper bound, on this host's clock, of a span measured on another clock.
  state::Duration WithClockError(state::Duration span) const {
    return span + span * clock_rate_error_permille / 1000;
  }
  // After this time without a successful round a coordinator must campaign
  // again under a higher term.
  state::Duration authority_timeout() const { return round_timeout + lease; }
  // After this time from its establishment, no lease of an earlier coordinator
  // remains unless this coordinator renewed it.
  state::Duration takeover_wait() const {
    return WithClockError(round_timeout + lease);
  }
  // A server process younger than this does not count as a witness, because it
  // may have forgotten a term that its predecessor accepted.
  state::Duration witness_min_uptime() const {
    return WithClockError(2 * round_timeout + lease);
  }
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_OWNERSHIP_TIMING_H_
