// Admits and queues requests, and adapts the limit.

#include "coordination/server_gate.h"

#include <algorithm>
#include <utility>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// The maximum number of waiting requests for each slot of the server.
constexpr std::size_t kMaxWaitingPerSlot = 16;
// The weight of the newest duration in the moving average is 1 / 2^kMeanShift.
constexpr int kMeanShift = 4;
// The estimated wait is multiplied by this factor; see CannotMeetDeadline().
constexpr int kWaitSafetyFactor = 2;

GateDecision Send(GateTicket ticket) {
  return {GateDecision::Kind::kSend, ticket, AttemptReason::kNone};
}

GateDecision Refuse(GateTicket ticket, AttemptReason reason) {
  return {GateDecision::Kind::kRefuse, ticket, reason};
}

}  // namespace

ServerGate::ServerGate(int slots) : slots_(slots) {}

void ServerGate::SetSlots(int slots) {
  slots_ = slots;
  limit_ = std::min<double>(limit_, slots);
}

void ServerGate::RecordBoot(state::BootId boot) {
  if (boot == 0 || boot == boot_) {
    return;
  }
  boot_ = boot;
  limit_ = 1;
}

std::vector<GateDecision> ServerGate::Submit(Instant now,
                                             GateTicket ticket,
                                             const std::string& request_class,
                                             Instant deadline) {
  std::vector<GateDecision> decisions;
  if (now >= deadline) {
    decisions.push_back(Refuse(ticket, AttemptReason::kDeadlinePassed));
    return decisions;
  }
  const bool free = in_flight_ < static_cast<std::size_t>(limit_);
  if (!free && CannotMeetDeadline(now, deadline)) {
    decisions.push_back(Refuse(ticket, AttemptReason::kQueueFull));
    return decisions;
  }
  queues_[request_class].push_back({ticket, deadline});
  ++waiting_;
  if (waiting_ > MaxWaiting()) {
    EvictFromLongestQueue(request_class, &decisions);
  }
  DispatchWaiting(now, &decisions);
  return decisions;
}

std::vector<GateDecision> ServerGate::HandleDone(Instant now,
                                                 GateTicket /*ticket*/,
                                                 GateResult result,
                                                 Duration duration) {
  --in_flight_;
  switch (result) {
    case GateResult::kCompleted:
      mean_duration_ += (duration - mean_duration_) / (1 << kMeanShift);
      limit_ = std::min<double>(limit_ + 1 / limit_, slots_);
      break;
    case GateResult::kShed:
      limit_ = std::max(limit_ / 2, 1.0);
      break;
    case GateResult::kFailed:
      break;
  }
  std::vector<GateDecision> decisions;
  DispatchWaiting(now, &decisions);
  return decisions;
}

void ServerGate::Cancel(GateTicket ticket) {
  for (auto& [name, queue] : queues_) {
    waiting_ -= std::erase_if(
        queue, [&](const Waiter& waiter) { return waiter.ticket == ticket; });
  }
}

std::vector<GateDecision> ServerGate::Tick(Instant now) {
  std::vector<GateDecision> decisions;
  for (auto& [name, queue] : queues_) {
    for (const Waiter& waiter : queue) {
      if (now >= waiter.deadline) {
        decisions.push_back(
            Refuse(waiter.ticket, AttemptReason::kDeadlinePassed));
      }
    }
    waiting_ -= std::erase_if(
        queue, [&](const Waiter& waiter) { return now >= waiter.deadline; });
  }
  return decisions;
}

std::vector<GateDecision> ServerGate::RefuseAll() {
  std::vector<GateDecision> decisions;
  for (const auto& [name, queue] : queues_) {
    for (const Waiter& waiter : queue) {
      decisions.push_back(Refuse(waiter.ticket, AttemptReason::kDutyMoved));
    }
  }
  queues_.clear();
  waiting_ = 0;
  return decisions;
}

// Returns whether the requests already waiting leave a new request too little
// time until its deadline. The estimated wait is multiplied by
// kWaitSafetyFactor, since a refusal on arrival is better than a refusal at the
// deadline.
bool ServerGate::CannotMeetDeadline(Instant now, Instant deadline) const {
  const auto ahead = static_cast<std::int64_t>(waiting_ + 1);
  const auto limit = static_cast<std::int64_t>(limit_);
  const Duration wait = mean_duration_ * ahead / limit;
  return now + kWaitSafetyFactor * wait + mean_duration_ >= deadline;
}

std::size_t ServerGate::MaxWaiting() const {
  return kMaxWaitingPerSlot * static_cast<std::size_t>(slots_);
}

// Refuses the newest request of the class with the most waiting requests. If
// the arriving class ties with others, its own request is refused.
void ServerGate::EvictFromLongestQueue(const std::string& arriving,
                                       std::vector<GateDecision>* decisions) {
  auto longest = queues_.find(arriving);
  for (auto each = queues_.begin(); each != queues_.end(); ++each) {
    if (each->second.size() > longest->second.size()) {
      longest = each;
    }
  }
  const GateTicket ticket = longest->second.back().ticket;
  longest->second.pop_back();
  --waiting_;
  decisions->push_back(Refuse(ticket, AttemptReason::kQueueFull));
}

void ServerGate::DispatchWaiting(Instant now,
                                 std::vector<GateDecision>* decisions) {
  while (waiting_ > 0 && in_flight_ < static_cast<std::size_t>(limit_)) {
    auto next = queues_.upper_bound(last_served_);
    while (next == queues_.end() || next->second.empty()) {
      next = next == queues_.end() ? queues_.begin() : std::next(next);
    }
    const Waiter waiter = next->second.front();
    next->second.pop_front();
    --waiting_;
    last_served_ = next->first;
    if (now + mean_duration_ >= waiter.deadline) {
      // The answer would arrive after the deadline, and the server's work would
      // be wasted.
      decisions->push_back(
          Refuse(waiter.ticket, AttemptReason::kDeadlinePassed));
      continue;
    }
    ++in_flight_;
    decisions->push_back(Send(waiter.ticket));
  }
}

}  // namespace mustardflow::coordination
