// Grants the keys of one service to its backend servers.
//
// Each key has at most one holder, because the leader sends a grant for a range
// only after both conditions hold:
//   1. The store has confirmed a record that names the server as the holder.
//   2. Each server named before has released the range, has restarted, or its
//      lease has expired. The lease counts from the latest moment at which a
//      grant of this leader or of its predecessor can have arrived. For a grant
//      with an answer that is the arrival of the answer. For one without, it is
//      the arrival of anything else that this host wrote after it gave the
//      grant up: when this host itself wrote the grant or gave it up says
//      nothing about when it left.
// A fence is the leader's term in the high bits and a counter in the low bits,
// so fences rise across all leaders.

#ifndef MUSTARDFLOW_COORDINATION_KEYSPACE_COORDINATOR_H_
#define MUSTARDFLOW_COORDINATION_KEYSPACE_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "coordination/key_shares.h"
#include "coordination/server_loads.h"
#include "coordination/shard_load.h"
#include "state/ownership_table.h"
#include "state/time.h"

namespace mustardflow::coordination {

// Duration of a lease, counted from the arrival of its grant at the server. The
// keys of a lost server are unavailable for about this long. A change of leader
// has to take less, or leases expire meanwhile.
inline constexpr state::Duration kKeyLease = std::chrono::milliseconds(2500);

// The longest time from the arrival of a grant until its lease ends by the
// leader's clock. A server's clock may run 2 % slow; 60 ms allow for the
// transmission of the answer to the leader.
inline constexpr state::Duration kMaxLeaseDuration =
    kKeyLease + kKeyLease / 50 + std::chrono::milliseconds(60);

// An order without an answer times out after this duration, which allows for
// several round trips. The connection is then reset, so that the order cannot
// arrive later than kMaxTransitTime after the reset has left.
inline constexpr state::Duration kOrderTimeout = std::chrono::milliseconds(300);

// The longest time that an order takes from leaving this host to its arrival.
inline constexpr state::Duration kMaxTransitTime =
    std::chrono::milliseconds(300);

// A backend server that the coordinator may assign ranges to.
struct KeyServer {
  state::ServerIncarnation incarnation;
  // The rate of requests that the server can process, relative to other
  // servers; derived from its slots and its measured speed.
  double capacity = 1;
  // Whether the server may hold keys: it is neither leaving nor in an evacuated
  // zone.
  bool eligible = true;
  // The requests per second that the server accepts, if it has announced a
  // limit.
  std::optional<double> rate_limit = std::nullopt;
  // The requests per second that the server should get at most for now, since
  // its limit has ended only lately.
  std::optional<double> recovery_rate = std::nullopt;
};

enum class OrderKind {
  kGrant,
  kRelease,
};

// An order to a server to hold or to release a range.
struct KeyOrder {
  std::uint64_t id = 0;
  OrderKind kind = OrderKind::kGrant;
  state::ServerIncarnation server;
  std::int32_t first = 0;
  std::int32_t last = 0;
  std::int64_t fence = 0;
  // In a grant: the data that the last holder handed over; empty if none.
  std::string handover;
};

enum class OrderOutcome {
  kAccepted,
  // The server has seen a higher fence and did not carry the order out.
  kRefused,
  // No byte of the order can have reached the server. This includes an order
  // that was not sent because the connection was found to be lost.
  kNotSent,
  // The server may have carried the order out, or may still do so. The order
  // may not even have left this host yet.
  kUnknown,
  // The server has reset the connection without an answer. It may have carried
  // the order out, or may still do so, but the order cannot arrive any more.
  kReset,
  // This host decided not to send the order, for example because it may not
  // grant at present. That says nothing about the server.
  kWithheld,
};

// The last grant to a server that has ended, and when it ended.
struct GrantResult {
  // Id of the order; 0 if this leader has not granted anything.
  std::uint64_t order = 0;
  OrderOutcome outcome = OrderOutcome::kNotSent;
  state::Instant at{};
};

// A range that was given on because the lease of its former holder had run out.
struct ExpiredLease {
  state::ServerIncarnation server;
  std::int32_t first = 0;
  std::int32_t last = 0;
  // The grant from which the lease was counted.
  GrantResult last_grant;
};

// Assigns the shard keys of one service to its servers: grants and renews
// leases, moves ranges away from servers that may not hold them, and balances
// the load. Runs at the leader. It does no I/O: the caller sends the orders
// that Tick() returns, writes RecordedRanges() to the store and reports
// results.
class KeyspaceCoordinator {
 public:
  // `recorded` holds the ranges recorded in the store; empty for a new service.
  // Earlier leaders may renew leases until `predecessor_end`.
  KeyspaceCoordinator(state::Instant now,
                      std::int64_t term,
                      const state::ServiceRanges& recorded,
                      state::Instant predecessor_end);

  // Replaces the list of servers. A server that is listed with a later
  // incarnation has lost the ranges that it held, but may have been granted
  // them again since it restarted.
  void SetServers(state::Instant now, std::vector<KeyServer> servers);

  // Whether this coordinator begins moves of ranges. A leader whose table the
  // store cannot confirm would leave them unfinished, and its next term would
  // have to wait for the leases of their former holders.
  void SetBeginsMoves(bool begins) { begins_moves_ = begins; }

  // Sets the mean execution time of a request, in seconds, if it is known.
  void SetExecutionTime(std::optional<double> seconds) {
    execution_seconds_ = seconds;
  }

  // The predecessor sends no order after `end`. If `end` is earlier than the
  // `predecessor_end` of the constructor, the leases that the predecessor may
  // have granted are assumed to end correspondingly earlier.
  void HandlePredecessorEnd(state::Instant end);

  // Whether the order may be sent over a connection that is yet to be opened.
  // Behind it there may be a later incarnation of the server than behind the
  // connection before, so a grant needs a fence that was issued since then.
  bool MayConnect(const KeyOrder& order) const;

  // The connection to the server was closed although no order failed.
  void HandleConnectionClosed(state::Instant now,
                              const state::ServerIncarnation& server);

  // `order` has ended with `outcome`. `handover` holds the data that the server
  // handed over in an accepted release.
  void HandleOrderOutcome(state::Instant now,
                          const KeyOrder& order,
                          OrderOutcome outcome,
                          const std::string& handover);

  // The store has confirmed the write of what RecordedRanges() returned when
  // recorded_change() was `change`.
  void HandleRecordConfirmed(std::uint64_t change);

  // It is proven that this host led at `sent`: the store has confirmed a write
  // of this term that was sent then, or most hosts have received a heartbeat.
  void HandleProof(state::Instant sent);

  // Something that this host wrote at `written` has arrived, as is known at
  // `now`. So all that it wrote or reset before has left it by now.
  void HandleDelivery(state::Instant now, state::Instant written);

  // Plans moves and returns the orders to send. If many are due, it returns
  // those with the earliest deadlines; the others follow at the next calls.
  std::vector<KeyOrder> Tick(state::Instant now);

  // Returns the ranges given on without a release since the last call, for the
  // log.
  std::vector<ExpiredLease> TakeExpiredLeases();

  ShardLoad& load() { return load_; }

  // The ranges that the store has to record, and a counter that rises with each
  // change of them.
  state::ServiceRanges RecordedRanges() const;
  std::uint64_t recorded_change() const { return recorded_change_; }
  // Whether orders wait for the record to be confirmed.
  bool waits_for_record() const {
    // A slice leaves Phase::kRecording only once its record is confirmed.
    return last_awaited_change_ > confirmed_change_;
  }
  // Whether grants wait for a proof of leadership, which any confirmed write of
  // this term gives.
  bool waits_for_proof() const;
  // Whether orders wait for a write of either kind.
  bool record_urgent() const { return waits_for_record() || waits_for_proof(); }

  // The ranges that hosts route by, and a counter that rises with each change
  // of them.
  state::ServiceRanges RoutedRanges() const;
  std::uint64_t routed_change() const { return routed_change_; }
  // Whether each key has a server that hosts may send its requests to.
  bool serves_all_keys() const;

  // Servers that have not answered orders for a while. The caller probes each
  // of them with an order that changes nothing and reports an answer to
  // HandleResponsive().
  std::vector<state::ServerIncarnation> UnresponsiveServers() const;
  void HandleResponsive(const state::ServerIncarnation& server);

  // Whether a server has refused a grant because it has seen a higher fence.
  // Only a successor issues such a fence, so nothing may be granted under this
  // term any more.
  bool superseded() const { return superseded_; }

  // The number of keys that changed holders, as a multiple of the key space.
  // Counts a key again each time it moves.
  double moved_share() const { return moved_share_; }

  // The number of slices, servers and single keys that planning has looked at,
  // a measure of the work of a turn.
  std::uint64_t steps() const { return steps_; }

 private:
  enum class Phase {
    // The holder has accepted a grant, or the range has no holder.
    kSteady,
    // The range is to move to `next`, but the store has not confirmed the
    // record of that yet. The present holder keeps the range.
    kRecording,
    // The leases of former holders have to end before the new holder gets a
    // grant.
    kEnding,
    // The holder gets a grant; it has not accepted one yet.
    kGranting,
  };

  // The lease that a server may have on a range.
  struct Lease {
    state::ServerIncarnation server;
    // The latest moment at which a lease that this leader granted can expire.
    state::Instant end{};
    // Until this moment, a grant of this leader without an answer may still
    // arrive at the server and give it a valid lease. A release does not rule
    // that out; an accepted grant with a higher fence does.
    state::Instant late_grant_end{};
    // When a grant of this leader was last given up without an answer, as long
    // as it is not known when it left. The lease and the wait for a late grant
    // do not end while this is set.
    std::optional<state::Instant> given_up_at;
    // Whether earlier leaders may have granted the lease, and may renew it.
    bool inherited = false;
    // Whether the server has released the range.
    bool released = false;
    // The id of the release that has no answer yet; 0 if there is none. The
    // answer to a release of an earlier lease says nothing about this one.
    std::uint64_t pending_release = 0;
    state::Instant next_release{};
    GrantResult last_grant;
  };

  // A range of keys with one holder.
  struct Slice {
    std::int32_t first = 0;
    std::int32_t last = 0;
    Phase phase = Phase::kSteady;
    // The server's id is empty if the range has no holder.
    Lease holder;
    // The server that the range moves to, in Phase::kRecording.
    state::ServerIncarnation next;
    // Earlier holders whose leases may still be valid.
    std::vector<Lease> former;
    std::int64_t fence = 0;
    // Whether the holder has accepted a grant of this term.
    bool accepted = false;
    // The id of the grant that has not ended yet; 0 if there is none. The lease
    // of the holder is not known while there is one.
    std::uint64_t pending_grant = 0;
    state::Instant next_grant{};
    // When the holder last accepted a grant of this term, if it has.
    state::Instant accepted_at{};
    // The change count of the record that has to be confirmed before `next`
    // gets a grant.
    std::uint64_t awaited_change = 0;
    // The data that the last holder handed over, for the next grant.
    std::string handover;
  };

  // A listed server and the results of its recent orders.
  struct ServerState {
    KeyServer server;
    // The server's part of the load, relative to other servers; see
    // UpdateCapacities().
    double capacity = 1;
    // When the first of the unbroken run of failed orders was reported.
    std::optional<state::Instant> failing_since;
    bool unresponsive = false;
    // When an order to the server last failed, or when its new incarnation was
    // read: the server may have restarted and forgotten the fences that it has
    // seen. The server gets no grant until the store has confirmed a write of
    // this term that was sent after that moment.
    std::optional<state::Instant> needs_proof_after;
    // The last fence that was issued before a connection to the server was last
    // lost. The grants of all its ranges get higher ones from then on, so that
    // a later incarnation gets no fence of the one before.
    std::int64_t lost_fence = 0;
  };

  // By holder, in order of keys: the steady slices without a grant under way.
  using MovableSlices = std::map<state::ServerIncarnation, std::vector<Slice*>>;

  // A slice that an order is due for, and the time by which it should be sent.
  using DueSlice = std::pair<state::Instant, Slice*>;

  const ServerState* FindServer(
      const state::ServerIncarnation& incarnation) const;
  // Sets the capacities of the servers so that the balance, in which all have
  // the same ratio of load and capacity, keeps to the rates of the servers.
  void UpdateCapacities();
  ServerRates RatesOf(const KeyServer& server) const;
  // The load that a move may add to the server whose load is `load`, if `mean`
  // is the ratio of load and capacity of all servers together.
  double SpareLoad(const state::ServerIncarnation& server,
                   double load,
                   double mean) const;
  static bool IsUsable(const ServerState& state) {
    return state.server.eligible && !state.unresponsive;
  }
  // Whether the server is listed, eligible and not unresponsive.
  bool IsUsable(const state::ServerIncarnation& incarnation) const;
  // Replaces restarted servers in the slice by their new incarnations.
  void UpdateIncarnations(state::Instant now, Slice* slice);
  // The last fence that was issued.
  std::int64_t LastFence() const;
  std::int64_t NextFence();

  // The server that the slice has or moves to.
  static const state::ServerIncarnation& PlannedServer(const Slice& slice);
  static bool IsServing(const Slice& slice);
  void StartMove(Slice* slice, const state::ServerIncarnation& to);
  // Starts a move of each range whose server is missing or not usable to the
  // least loaded server. Splits wide ranges first. This includes the initial
  // assignment.
  void MoveFromUnusable(state::Instant now);
  // The slices whose server is missing or not usable, in order of keys.
  std::vector<Slice*> SlicesWithoutServer();
  // Splits the slice into at most `parts` of about the same load, if it is wide
  // enough and steady. Returns all parts, `slice` included.
  std::vector<Slice*> SplitLost(Slice* slice, std::int32_t parts);
  // Whether no key has been assigned yet.
  bool IsInitialAssignment() const;
  // The number of slices that are not in Phase::kSteady.
  std::size_t MovingSlices() const;
  // Balancing starts moves only while fewer slices than this are moving.
  // `ratio` is the load of the most loaded server relative to its fair share.
  std::size_t MaxMovingSlices(double ratio) const;
  // The fraction of the mean load by which a server has to exceed the mean
  // before it gives keys away.
  double OverloadThreshold() const;
  void Balance(state::Instant now);
  // Moves a hot key, whose load is close to or above a server's fair share, to
  // the server with the highest capacity among those without a hot key.
  // Balancing then moves the other keys of the target server away.
  void PlaceHotKeys(state::Instant now);
  // The usable server of the highest capacity that is not in `excluded`.
  const ServerState* FastestServer(
      const std::set<state::ServerIncarnation>& excluded) const;
  MovableSlices FindMovableSlices();
  // Starts a move from an overloaded server to the least loaded one. Returns
  // false if nothing is to move.
  bool MoveToLeastLoaded(double mean,
                         ServerLoads* loads,
                         MovableSlices* movable);
  // Takes a slice with about `amount` of load, in requests per second, and at
  // most `max_load` from `slices`. Splits a slice if needed. Returns null if no
  // slice or part of a slice carries about that load.
  Slice* TakeLoad(double amount, double max_load, std::vector<Slice*>* slices);
  // Takes a slice whose move brings the loads of two servers closer together,
  // although the target then exceeds its fair share. This spreads keys that
  // carry more than a fair share each.
  Slice* TakeToEqualize(const ServerLoads::Entry& from,
                        const ServerLoads::Entry& to,
                        std::vector<Slice*>* slices);
  // The load of the keys from `first` to `last`, inclusive, and that assumed
  // for each of them in addition.
  double LoadOf(std::int32_t first, std::int32_t last) const;
  // Returns the last key of a prefix of the slice that carries about `amount`.
  // A prefix that carries at least a fifth of `amount` ends before a key that
  // would raise it above `amount` by more than a tenth.
  std::int32_t FindCut(const Slice& slice, double amount) const;
  // Splits the slice after the key `last`. Returns the slice that follows.
  Slice* SplitAfter(Slice* slice, std::int32_t last);
  Slice& SliceOf(std::int32_t key);
  // Splits the slice so that `key` is a slice of its own, and returns that.
  Slice* IsolateKey(Slice* slice, std::int32_t key);
  // Merges adjacent steady slices of the same holder.
  void MergeSteady();
  // The loads of the usable servers.
  ServerLoads LoadByServer() const;

  // Whether `next` may become the holder of the slice.
  bool MayReplaceHolder(state::Instant now, const Slice& slice) const;
  // Until when a grant without an answer, of any leader, may still arrive;
  // Instant::max() if that is not known.
  state::Instant LateGrantEnd(const Lease& lease) const;
  // Whether the lease can no longer be valid.
  bool LeaseEnded(state::Instant now, const Lease& lease) const;
  bool MayGrant(state::Instant now, const Slice& slice) const;
  static bool MayRelease(state::Instant now, const Lease& lease);
  // The time by which the order that is due for the slice should be sent;
  // nothing if none is due.
  std::optional<state::Instant> OrderDeadline(state::Instant now,
                                              const Slice& slice) const;
  // The number of slices that get orders in one turn.
  std::size_t MaxOrders(state::Instant now) const;
  // Keeps the `count` slices with the earliest deadlines.
  static void KeepEarliest(std::size_t count, std::vector<DueSlice>* due);
  void RecordExpiredLeases(const Slice& slice);
  // Moves the slice to its next phase if the conditions of that phase hold.
  void Advance(state::Instant now, Slice* slice);
  // Adds the orders that are due for the slice.
  void AddOrders(state::Instant now,
                 Slice* slice,
                 std::vector<KeyOrder>* orders);
  void HandleReleaseOutcome(state::Instant now,
                            const KeyOrder& order,
                            OrderOutcome outcome,
                            const std::string& handover);
  void HandleGrantOutcome(state::Instant now,
                          const KeyOrder& order,
                          OrderOutcome outcome,
                          Slice* slice);
  // Sets what `outcome` proves of the holder's lease.
  void UpdateLease(state::Instant now, OrderOutcome outcome, Lease* holder);
  // A connection to the server was lost; the server may have restarted.
  void RecordLostConnection(state::Instant now, ServerState* server) const;
  void RecordFailure(state::Instant now,
                     const state::ServerIncarnation& server);
  void ChangeRecorded() { ++recorded_change_; }
  void ChangeRouted() { ++routed_change_; }

  const std::int64_t term_;
  // The latest moment at which a lease that an earlier leader granted can
  // expire.
  state::Instant predecessor_lease_end_;
  std::int64_t fence_count_ = 0;
  std::uint64_t order_count_ = 0;
  // By first key. Invariant: each key is in exactly one slice.
  std::map<std::int32_t, Slice> slices_;
  // Whether SetServers() has been called with a non-empty list.
  bool has_servers_ = false;
  std::map<std::string, ServerState> servers_;
  // Whether a slice may have a server that is missing or not usable.
  bool usability_changed_ = true;
  std::optional<double> execution_seconds_;
  ShardLoad load_;
  // The latest Lease::given_up_at; nothing if no lease has one.
  std::optional<state::Instant> last_given_up_;
  std::vector<ExpiredLease> expired_leases_;
  std::uint64_t recorded_change_ = 1;
  std::uint64_t confirmed_change_ = 0;
  // The latest Slice::awaited_change.
  std::uint64_t last_awaited_change_ = 0;
  std::uint64_t routed_change_ = 1;
  // When the number of servers last rose.
  state::Instant server_count_rose_at_;
  state::Instant start_time_;
  bool begins_moves_ = true;
  state::Instant next_balance_;
  state::Instant next_hot_move_;
  std::optional<state::Instant> last_tick_;
  bool superseded_ = false;
  double moved_share_ = 0;
  mutable std::uint64_t steps_ = 0;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_KEYSPACE_COORDINATOR_H_
