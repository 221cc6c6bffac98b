// What a coordinator knows about the grants and leases of one member.

#ifndef MUSTARDFLOW_COORDINATION_SERVER_LEDGER_H_
#define MUSTARDFLOW_COORDINATION_SERVER_LEDGER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "coordination/ownership_timing.h"
#include "state/grant.h"
#include "state/time.h"

namespace mustardflow::coordination {

// Tells which key ranges one member may still hold, from the orders sent to it
// and the acknowledgements received from it. If in doubt, the answer is that
// the member may hold the range. The member, here called the server, is a
// backend server or an entry host.
class ServerLedger {
 public:
  explicit ServerLedger(const OwnershipTiming& timing);

  // Records that `order` is about to be sent.
  void RecordSent(const state::Order& order);

  // Records an acknowledgement that arrived at `now`. Returns false if it is
  // not newer than the newest one recorded.
  bool RecordAck(state::Instant now, const state::OrderAck& ack);

  // Renews the lease until `clock` plus the lease duration. `clock` is what the
  // incarnation `boot` read on its own clock before `received`, in a round that
  // a majority of the witnesses answered. Does nothing if another incarnation
  // has answered last.
  void Renew(state::BootId boot,
             state::ServerInstant clock,
             state::Instant received);

  // Whether it is certain that the server neither accepts work nor still runs
  // accepted work for any key of `range`. `last_success` is when the
  // coordinator's latest successful round started. A lease counts as ended only
  // if that round started later than the lease's end: otherwise a coordinator
  // with a higher term could have renewed it.
  bool CertainlyFree(std::optional<state::Instant> last_success,
                     const state::KeyRange& range) const;

  // Sets the time by which all leases of earlier coordinators have ended.
  void BoundEarlierLeases(state::Instant ended) { lease_bound_ = ended; }

  // Whether the server's leases have ended, unless a coordinator with a higher
  // term has renewed them.
  bool LeasesExpired(state::Instant now) const { return now > lease_bound_; }

  // The time after which no lease is in force that this coordinator or an
  // earlier one has given to the server.
  state::Instant lease_bound() const { return lease_bound_; }

  // Whether the server has answered in this term.
  bool has_answered() const { return last_ack_.has_value(); }
  const state::OrderAck& last_ack() const { return *last_ack_; }
  // The end of the lease, on the server's clock, that the next assignment
  // carries.
  state::ServerInstant lease_until() const { return lease_until_; }
  // Whether the lease has been renewed in this term since the server's last
  // restart. Only then may an assignment be sent.
  bool renewed() const { return lease_until_ != state::ServerInstant(); }
  // The sequence of the next order to the server.
  std::uint64_t next_sequence() const { return last_sent_ + 1; }

 private:
  // The grants of an order that has been sent.
  struct SentAssignment {
    std::uint64_t sequence;
    std::vector<state::Grant> grants;
  };

  // Never null. A pointer rather than a reference, so that ledgers can be
  // assigned.
  const OwnershipTiming* timing_;
  // Invariant: ascending by sequence; contains every assignment that the server
  // may still apply, that is, all sent after the last acknowledged order.
  std::vector<SentAssignment> unacknowledged_;
  // The newest acknowledgement of this term, if any.
  std::optional<state::OrderAck> last_ack_;
  // Invariant: no assignment for the incarnation that answered last carries a
  // later end of the lease.
  state::ServerInstant lease_until_;
  // Invariant: on this host's clock, not earlier than the end of any lease that
  // this coordinator or an earlier one has given to the server.
  state::Instant lease_bound_ = state::Instant::max();
  // The sequence of the last order sent; 0 if none.
  std::uint64_t last_sent_ = 0;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_SERVER_LEDGER_H_
