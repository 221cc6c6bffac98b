// The receiving side of orders: decides which requests an owner of key ranges
// may accept.
//
// An entry host uses a GrantRegistry for the routing duties that it is granted.
// The backend server stand-in and the ownership fuzzer use it as the model of a
// backend server that checks fences.

#ifndef MUSTARDFLOW_STATE_GRANT_REGISTRY_H_
#define MUSTARDFLOW_STATE_GRANT_REGISTRY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "state/grant.h"
#include "state/key_range.h"
#include "state/time.h"

namespace mustardflow::state {

// Whether a request for a key is accepted, or why it is rejected.
enum class Admission {
  kAccepted,
  kNotOwner,
  kStaleFence,
};

// Holds the grants of one owner for one service.
class GrantRegistry {
 public:
  // `started` is the reading of the server's clock at process start.
  GrantRegistry(BootId boot, ServerInstant started);

  // Accepts `order` if its pair of term and sequence is higher than that of
  // each order accepted before. Replaces the grants if the order has an
  // assignment for this process run.
  OrderAck Apply(const Order& order, ServerInstant now);

  // Decides on a request for `key` that carries `fence`.
  Admission Admit(KeyHash key, Fence fence, ServerInstant now) const;

  // The fence under which work for `key` is accepted at `now`, if any.
  std::optional<Fence> AcceptingFence(KeyHash key, ServerInstant now) const;

  // Whether the server's lease is in force at `now`.
  bool IsLeaseValid(ServerInstant now) const { return now < lease_until_; }

  // Count running work per key, so that released keys with running work are
  // reported as draining.
  void BeginWork(KeyHash key);
  void EndWork(KeyHash key);

 private:
  const Grant* FindGrant(KeyHash key) const;
  bool HoldsUnderSameFence(const Grant& grant) const;
  void Replace(const Assignment& assignment, ServerInstant now);
  std::vector<KeyRange> DrainingRanges(ServerInstant now) const;

  const BootId boot_;
  const ServerInstant started_;
  // Invariant: the highest term that was accepted and the highest sequence
  // within that term.
  Term term_;
  std::uint64_t sequence_ = 0;
  // Valid only before lease_until_.
  std::vector<Grant> grants_;
  ServerInstant lease_until_;
  // The number of running requests by key.
  std::map<KeyHash, int> running_;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_GRANT_REGISTRY_H_
