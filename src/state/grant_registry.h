// The receiving side of orders: what the owner of key ranges may accept.
//
// An entry host uses it for the routing duties that it is granted. It is also
// the model of a backend server that checks fences, and as such part of the
// backend server stand-in and of the ownership fuzzer.

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

// Why a request for a key was or was not accepted.
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

  // Applies `order` if it is newer than every order accepted before.
  OrderAck Apply(const Order& order, ServerInstant now);

  // Decides on a request for `key` that was routed by `fence`.
  Admission Admit(KeyHash key, Fence fence, ServerInstant now) const;

  // The fence under which work for `key` is accepted at `now`, if any.
  std::optional<Fence> AcceptingFence(KeyHash key, ServerInstant now) const;

  // Whether the server's lease is in force at `now`.
  bool IsLeaseValid(ServerInstant now) const { return now < lease_until_; }

  // Counts accepted work, so that released ranges are reported as draining.
  void BeginWork(KeyHash key);
  void EndWork(KeyHash key);

 private:
  const Grant* FindGrant(KeyHash key) const;
  bool HoldsUnderSameFence(const Grant& grant) const;
  void Replace(const Assignment& assignment, ServerInstant now);
  std::vector<KeyRange> DrainingRanges(ServerInstant now) const;

  const BootId boot_;
  const ServerInstant started_;
  // Invariant: the highest term and, within it, sequence ever accepted.
  Term term_;
  std::uint64_t sequence_ = 0;
  // Meaningful only while the lease lasts.
  std::vector<Grant> grants_;
  ServerInstant lease_until_;
  std::map<KeyHash, int> running_;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_GRANT_REGISTRY_H_
