// Records orders, acknowledgements and lease renewals of one member.

#include "coordination/server_ledger.h"

#include <algorithm>

namespace mustardflow::coordination {

using state::Grant;
using state::Instant;
using state::KeyRange;

namespace {

// Returns whether any of `grants` overlaps `range`. `grants` must be sorted by
// range and must not overlap each other.
bool AnyOverlap(const std::vector<Grant>& grants, const KeyRange& range) {
  const auto candidate =
      std::lower_bound(grants.begin(), grants.end(), range.first,
                       [](const Grant& grant, state::KeyHash first) {
                         return grant.range.last < first;
                       });
  return candidate != grants.end() && candidate->range.Overlaps(range);
}

}  // namespace

ServerLedger::ServerLedger(const OwnershipTiming& timing) : timing_(&timing) {}

void ServerLedger::RecordSent(const state::Order& order) {
  last_sent_ = order.sequence;
  if (order.assignment) {
    unacknowledged_.push_back({order.sequence, order.assignment->grants});
  }
}

bool ServerLedger::RecordAck(Instant now, const state::OrderAck& ack) {
  if (last_ack_ && ack.sequence <= last_ack_->sequence) {
    return false;
  }
  const bool restarted = last_ack_ && ack.boot != last_ack_->boot;
  if (restarted) {
    // The leases of the old incarnation ended with its process. The new one has
    // no grants and ignores assignments for the old one.
    lease_until_ = {};
    lease_bound_ = now;
    unacknowledged_.clear();
  }
  std::erase_if(unacknowledged_, [&](const SentAssignment& sent) {
    return sent.sequence <= ack.sequence;
  });
  last_ack_ = ack;
  return true;
}

void ServerLedger::Renew(state::BootId boot,
                         state::ServerInstant clock,
                         Instant received) {
  if (!last_ack_ || last_ack_->boot != boot) {
    return;
  }
  lease_until_ = std::max(lease_until_, clock + timing_->lease);
  lease_bound_ = std::max(lease_bound_,
                          received + timing_->WithClockError(timing_->lease));
}

bool ServerLedger::CertainlyFree(std::optional<Instant> last_success,
                                 const KeyRange& range) const {
  if (last_success && *last_success > lease_bound_) {
    return true;
  }
  if (!last_ack_) {
    return false;
  }
  if (AnyOverlap(last_ack_->held, range)) {
    return false;
  }
  for (const KeyRange& draining : last_ack_->draining) {
    if (draining.Overlaps(range)) {
      return false;
    }
  }
  for (const SentAssignment& sent : unacknowledged_) {
    if (AnyOverlap(sent.grants, range)) {
      return false;
    }
  }
  return true;
}

}  // namespace mustardflow::coordination
