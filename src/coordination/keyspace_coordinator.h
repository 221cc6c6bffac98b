// Grants the keys of one service to its backend servers.
//
// A key has one holder because a grant to a server is sent only after
//   1. the store has confirmed a record that names the server for the range,
//   and
//   2. each server that was named before has released the range, has started
//      anew, or its lease has run out, counted from the latest moment at which
//      a grant of this leader or of its predecessor can have arrived.
// Fences carry the leader's term above a count, so they rise over all leaders.

#ifndef MUSTARDFLOW_COORDINATION_KEYSPACE_COORDINATOR_H_
#define MUSTARDFLOW_COORDINATION_KEYSPACE_COORDINATOR_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "coordination/shard_load.h"
#include "state/ownership_table.h"
#include "state/time.h"

namespace mustardflow::coordination {

// How long a grant lasts from its arrival. A lost server's keys are dark for
// about this long; a change of leader has to take less.
inline constexpr state::Duration kKeyLease = std::chrono::milliseconds(2500);

// An order without an answer is given up after this time; some round trips. The
// connection is then reset, so that the order cannot arrive later.
inline constexpr state::Duration kOrderTimeout = std::chrono::milliseconds(300);

// A server as the coordinator sees it.
struct KeyServer {
  state::ServerLife incarnation;
  // Relative; from slots and measured speed.
  double capacity = 1;
  // Whether it may hold keys: neither leaving nor in an evacuated zone.
  bool eligible = true;
};

enum class OrderKind {
  kGrant,
  kRelease,
};

// An order to a server. The range, holder and fence identify it.
struct KeyOrder {
  std::uint64_t id = 0;
  OrderKind kind = OrderKind::kGrant;
  state::ServerLife server;
  std::int32_t first = 0;
  std::int32_t last = 0;
  std::int64_t fence = 0;
  // For a grant, what the last holder handed over, if anything.
  std::string handover;
};

enum class OrderOutcome {
  kAccepted,
  // The server has seen a higher fence.
  kRefused,
  // No byte of the order can have reached the server; also where the connection
  // of earlier orders turned out to be lost.
  kNotSent,
  // The order may have been carried out.
  kUnknown,
};

class KeyspaceCoordinator {
 public:
  // `recorded` is what the store names; empty for a service that is new.
  // Leases of predecessors may be renewed until `predecessor_end`.
  KeyspaceCoordinator(state::Instant now,
                      std::int64_t term,
                      const state::ServiceRanges& recorded,
                      state::Instant predecessor_end);

  // The servers of the service. A server whose id is listed with a later life
  // has lost what it held, but may have been granted it again since.
  void SetServers(state::Instant now, std::vector<KeyServer> servers);

  // The predecessor sends no order after `end`.
  void HandlePredecessorEnd(state::Instant end);

  void HandleOrder(state::Instant now,
                   const KeyOrder& order,
                   OrderOutcome outcome,
                   const std::string& handover);

  // The store has confirmed the record that Recorded() gave at `change`.
  void HandleRecordConfirmed(std::uint64_t change);

  // The store has confirmed that this host led at `sent`.
  void HandleProof(state::Instant sent);

  // Returns the orders to send. Plans moves.
  std::vector<KeyOrder> Tick(state::Instant now);

  ShardLoad& load() { return load_; }

  // What the store has to name, and a count that rises with each change of it.
  state::ServiceRanges RecordedRanges() const;
  std::uint64_t recorded_change() const { return recorded_change_; }
  // Whether orders wait for the record, or for the proof that its writing is.
  bool record_urgent() const;

  // What hosts route by, and a count that rises with each change of it.
  state::ServiceRanges RoutedRanges() const;
  std::uint64_t routed_change() const { return routed_change_; }

  // Servers that have not answered orders for a while; an order that changes
  // nothing shows whether they answer again.
  std::vector<state::ServerLife> UnresponsiveServers() const;
  void HandleResponsive(const state::ServerLife& server);

  // Whether a server has refused a grant, since it has seen a higher fence:
  // only a successor's. Nothing may be granted any more under this term.
  bool superseded() const { return superseded_; }

  // The share of all keys that changed hands.
  double moved_share() const { return moved_share_; }

 private:
  enum class Phase {
    // The holder has accepted, or nobody holds the range.
    kSteady,
    // `next` is to hold the range; the store has not confirmed that yet. The
    // holder goes on.
    kRecording,
    // Former holders have to end.
    kEnding,
    // The holder is being given the range.
    kGranting,
  };

  // A server that may hold a lease.
  struct Lease {
    state::ServerLife server;
    // The latest moment at which it can run out.
    state::Instant end{};
    // Until then, a grant whose answer is missing may still be applied and be
    // valid; a release does not rule that out, an accepted grant with a higher
    // fence does.
    state::Instant late_grant_end{};
    // The server has released the range.
    bool released = false;
    bool release_pending = false;
    state::Instant next_release{};
  };

  struct Slice {
    std::int32_t first = 0;
    std::int32_t last = 0;
    Phase phase = Phase::kSteady;
    // An empty id for none.
    Lease holder;
    state::ServerLife next;
    std::vector<Lease> former;
    std::int64_t fence = 0;
    // The holder has accepted a grant of this term.
    bool accepted = false;
    bool grant_pending = false;
    // The holder's lease end if the pending grant turns out not to be sent.
    state::Instant lease_end_if_not_sent{};
    state::Instant next_grant{};
    // The recorded change that has to be confirmed before `next` gets a grant.
    std::uint64_t awaited_change = 0;
    std::string handover;
  };

  struct ServerState {
    KeyServer server;
    std::optional<state::Instant> failing_since;
    bool unresponsive = false;
    // A connection to the server was lost then, or its start was read: it may
    // have forgotten the fences that it has seen. It gets no grant until the
    // store has confirmed, after that moment, that this host leads.
    std::optional<state::Instant> needs_proof_after;
  };

  const ServerState* FindServer(const state::ServerLife& incarnation) const;
  bool IsUsable(const state::ServerLife& incarnation) const;
  void UpdateIncarnations(state::Instant now, Slice* slice);
  std::int64_t NextFence();

  void StartMove(Slice* slice, const state::ServerLife& to);
  void MoveFromUnusable(state::Instant now);
  // Whether nobody holds any key yet.
  bool IsInitialAssignment() const;
  // Slices that are not steady.
  std::size_t MovingSlices() const;
  std::size_t MaxMovingSlices() const;
  // By which part of the mean load a server has too much.
  double OverloadThreshold() const;
  void Balance(state::Instant now);
  // A key that would fill a server alone goes to the fastest one that has no
  // such key; balancing then moves that server's other keys away.
  void PlaceHotKeys(state::Instant now);
  // Moves about `amount` of load; false if no part fits.
  bool MoveLoad(const state::ServerLife& from,
                const state::ServerLife& to,
                double amount);
  // The last key of the part at the slice's start that carries `amount`,
  // without a hot key that would carry far more.
  std::int32_t FindCut(const Slice& slice, double amount, double idle) const;
  void SplitAfter(std::size_t index, std::int32_t last);
  std::size_t SliceIndexOf(std::int32_t key) const;
  // Makes the key a slice of its own; returns its index.
  std::size_t IsolateKey(std::size_t index, std::int32_t key);
  void MergeSteady();
  std::map<state::ServerLife, double> LoadByServer() const;
  state::ServerLife LeastLoadedServer(
      const std::map<state::ServerLife, double>& loads) const;

  // Whether `next` may take the holder's place.
  bool MayReplaceHolder(state::Instant now, const Slice& slice) const;
  bool LeaseEnded(state::Instant now, const Lease& lease) const;
  bool MayGrant(state::Instant now, const Slice& slice) const;
  void Advance(state::Instant now, Slice* slice);
  void AddOrders(state::Instant now,
                 Slice* slice,
                 std::vector<KeyOrder>* orders);
  void RecordFailure(state::Instant now, const state::ServerLife& server);
  void ChangeRecorded() { ++recorded_change_; }
  void ChangeRouted() { ++routed_change_; }

  const std::int64_t term_;
  std::int64_t fence_count_ = 0;
  std::uint64_t order_count_ = 0;
  // Invariant: in order, covering all keys once.
  std::vector<Slice> slices_;
  // Whether a list of servers has been given.
  bool has_servers_ = false;
  std::map<std::string, ServerState> servers_;
  ShardLoad load_;
  std::uint64_t recorded_change_ = 1;
  std::uint64_t confirmed_change_ = 0;
  std::uint64_t routed_change_ = 1;
  // Since when no further server has come.
  state::Instant servers_settled_;
  state::Instant start_time_;
  state::Instant next_balance_;
  state::Instant next_hot_move_;
  bool superseded_ = false;
  double moved_share_ = 0;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_KEYSPACE_COORDINATOR_H_
