// One host's share of a limit on requests per second that applies to all hosts
// together.

#ifndef MUSTARDFLOW_ADMISSION_RATE_SHARE_H_
#define MUSTARDFLOW_ADMISSION_RATE_SHARE_H_

#include <cstddef>
#include <optional>

#include "state/time.h"

namespace mustardflow::admission {

// What a host may send: on average `per_second` requests, and `burst` requests
// at once.
struct RateAllowance {
  double per_second = 0;
  double burst = 0;
};

// The part that a host has in the requests to a limited server.
enum class SenderRole {
  // No host is the server's gate: all hosts share the limit equally.
  kEqual,
  // The gate sends all requests.
  kGate,
  // The host has just become the gate; the former gate may not know it yet.
  kNewGate,
  // Another host is the gate. This host sends directly only when the gate
  // fails.
  kOther,
};

// Divides `limit`, in requests per second, among `hosts` hosts. In any four
// seconds, the allowances of all hosts add up to no more than six times the
// limit and five requests, also while the gate changes.
RateAllowance DivideRate(double limit, SenderRole role, std::size_t hosts);

// Decides when a host may send a request under an allowance.
//
// A burst of one request or more is a token bucket. With less, hosts that save
// up a request each could all send it at the same moment, which the limit does
// not allow. Such a host may send one request in each of its slots. Slots are
// shorter than the intervals between them and begin at a random phase.
class RateShare {
 public:
  // `phase` in [0, 1) differs between hosts.
  explicit RateShare(double phase = 0) : phase_(phase) {}

  bool MaySend(state::Instant now, const RateAllowance& allowance) const;
  void RecordSent(state::Instant now, const RateAllowance& allowance);

 private:
  double Tokens(state::Instant now, const RateAllowance& allowance) const;
  // When the host's current slot began; nullopt between slots.
  std::optional<state::Instant> SlotBegin(state::Instant now,
                                          double per_second) const;

  double phase_;
  // The tokens left at `tokens_at_`. Nullopt before the first request: the
  // bucket is full.
  double tokens_ = 0;
  std::optional<state::Instant> tokens_at_;
};

}  // namespace mustardflow::admission

#endif  // MUSTARDFLOW_ADMISSION_RATE_SHARE_H_
