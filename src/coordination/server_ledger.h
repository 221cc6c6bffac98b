// What a coordinator knows about one backend server.

#ifndef MUSTARDFLOW_COORDINATION_SERVER_LEDGER_H_
#define MUSTARDFLOW_COORDINATION_SERVER_LEDGER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/ownership_timing.h"
#include "state/grant.h"
#include "state/time.h"

namespace mustardflow::coordination {

// Bounds what one backend server may hold, from the orders sent to it and the
// acknowledgements received from it. The bound only errs towards "may hold".
class ServerLedger {
 public:
  explicit ServerLedger(const OwnershipTiming& timing);

  // Records that `order` is about to be sent.
  void RecordSent(const state::Order& order);

  // Records an acknowledgement that arrived at `now`. Returns false if it is
  // older than one already seen.
  bool RecordAck(state::Instant now, const state::OrderAck& ack);

  // Allows leases until `clock` plus the lease duration, where `clock` was read
  // by the server before `received`, in a round that a majority answered.
  void Renew(state::BootId boot,
             state::ServerInstant clock,
             state::Instant received);

  // Whether the server certainly neither accepts work nor still runs accepted
  // work for any key of `range`. `last_success` is when the coordinator's
  // latest successful round started: a lease counts as ended only if the
  // coordinator was still in office afterwards, since a successor could have
  // renewed it.
  bool CertainlyFree(std::optional<state::Instant> last_success,
                     const state::KeyRange& range) const;

  // Sets the instant by which the leases of earlier coordinators have ended.
  void BoundEarlierLeases(state::Instant ended) { lease_bound_ = ended; }

  // Whether the server's leases have certainly ended.
  bool LeasesExpired(state::Instant now) const { return now > lease_bound_; }

  // The instant after which the server's leases have certainly ended.
  state::Instant lease_bound() const { return lease_bound_; }

  // Whether the server has answered in this term.
  bool has_answered() const { return last_ack_.has_value(); }
  const state::OrderAck& last_ack() const { return *last_ack_; }
  // The lease end that the next assignment carries.
  state::ServerInstant lease_until() const { return lease_until_; }
  // Whether an assignment may be sent to the server.
  bool renewed() const { return lease_until_ != state::ServerInstant(); }
  std::uint64_t next_sequence() const { return last_sent_ + 1; }

 private:
  struct SentAssignment {
    std::uint64_t sequence;
    std::vector<state::Grant> grants;
  };

  // Never null. A pointer, so that ledgers can be assigned.
  const OwnershipTiming* timing_;
  // Ascending by sequence. Invariant: holds every assignment sent that the
  // server may still apply, that is, all sent after the last acknowledged one.
  std::vector<SentAssignment> unacknowledged_;
  // Invariant: the newest acknowledgement of this term, if any.
  std::optional<state::OrderAck> last_ack_;
  // Invariant: no assignment sent or to be sent carries a later lease end.
  state::ServerInstant lease_until_;
  // Invariant: on this host's clock, not before any lease end that this
  // coordinator or an earlier one has given to the server.
  state::Instant lease_bound_ = state::Instant::max();
  std::uint64_t last_sent_ = 0;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SERVER_LEDGER_H_
