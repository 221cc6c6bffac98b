// Applies orders, and checks fences and the lease.

#include "state/grant_registry.h"

#include <algorithm>

namespace mustardflow::state {

GrantRegistry::GrantRegistry(BootId boot, ServerInstant started)
    : boot_(boot), started_(started) {}

OrderAck GrantRegistry::Apply(const Order& order, ServerInstant now) {
  const bool newer =
      order.term > term_ || (order.term == term_ && order.sequence > sequence_);
  if (newer) {
    term_ = order.term;
    sequence_ = order.sequence;
    if (order.assignment && order.assignment->for_boot == boot_) {
      Replace(*order.assignment, now);
    }
  }
  OrderAck ack;
  ack.accepted = newer;
  ack.term = order.term;
  ack.highest_term = term_;
  ack.sequence = order.sequence;
  ack.round = order.round;
  ack.boot = boot_;
  ack.uptime = now - started_;
  ack.clock = now;
  if (now < lease_until_) {
    ack.held = grants_;
    for (Grant& held : ack.held) {
      held.predecessor = {};
    }
  }
  ack.draining = DrainingRanges(now);
  return ack;
}

void GrantRegistry::Replace(const Assignment& assignment, ServerInstant now) {
  if (now >= lease_until_) {
    grants_.clear();
  }
  std::vector<Grant> accepted;
  for (const Grant& grant : assignment.grants) {
    if (!grant.continued || HoldsUnderSameFence(grant)) {
      accepted.push_back(grant);
    }
  }
  grants_ = std::move(accepted);
  lease_until_ = assignment.lease_until;
}

bool GrantRegistry::HoldsUnderSameFence(const Grant& grant) const {
  const Grant* held = FindGrant(grant.range.first);
  return held && held->range.last >= grant.range.last &&
         held->fence == grant.fence;
}

const Grant* GrantRegistry::FindGrant(KeyHash key) const {
  const auto found =
      std::find_if(grants_.begin(), grants_.end(),
                   [&](const Grant& each) { return each.range.Contains(key); });
  return found == grants_.end() ? nullptr : &*found;
}

Admission GrantRegistry::Admit(KeyHash key,
                               Fence fence,
                               ServerInstant now) const {
  const auto held = AcceptingFence(key, now);
  if (!held) {
    return Admission::kNotOwner;
  }
  return *held == fence ? Admission::kAccepted : Admission::kStaleFence;
}

std::optional<Fence> GrantRegistry::AcceptingFence(KeyHash key,
                                                   ServerInstant now) const {
  if (now >= lease_until_) {
    return std::nullopt;
  }
  const Grant* grant = FindGrant(key);
  if (!grant) {
    return std::nullopt;
  }
  return grant->fence;
}

void GrantRegistry::BeginWork(KeyHash key) {
  ++running_[key];
}

void GrantRegistry::EndWork(KeyHash key) {
  const auto found = running_.find(key);
  if (found != running_.end() && --found->second == 0) {
    running_.erase(found);
  }
}

std::vector<KeyRange> GrantRegistry::DrainingRanges(ServerInstant now) const {
  std::vector<KeyRange> ranges;
  for (const auto& [key, count] : running_) {
    if (!AcceptingFence(key, now)) {
      ranges.push_back({key, key});
    }
  }
  return ranges;
}

}  // namespace mustardflow::state
