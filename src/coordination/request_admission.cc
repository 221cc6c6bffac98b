// Orders waiting requests and forecasts when they reach a server.

#include "coordination/request_admission.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace mustardflow::coordination {

using admission::Decision;
using admission::RequestFigures;
using admission::ServerOutlook;
using admission::ShortagePolicy;
using admission::WaitingRequest;
using state::Duration;
using state::Instant;

namespace {

// The most requests that wait in one queue. A server with three slots runs
// fewer requests within half of a common target latency.
constexpr std::size_t kMaxQueueSize = 64;

// The delay of a final refusal, as a fraction of the time that the caller has
// left. Two hosts scale the delay by at least 0.75 each, and the result has to
// exceed a third.
constexpr double kFinalDelayFraction = 0.7;
// No capacity is expected for a priority if the work that arrives with it and
// with more urgent ones exceeds this fraction of the capacity. At 0.9, requests
// of the middle priority were refused more often in bursts (0.12 of them, 0.09
// at 0.6), since more of the refused ones came back.
constexpr double kSaturation = 0.6;
// Less urgent requests may cause at most this part of the wait with which more
// urgent ones meet their targets. Half of the wait left 0.12 of the most urgent
// requests refused in a burst of theirs, a quarter 0.10.
constexpr int kLessUrgentDivisor = 4;
// The shortest delay. A slot becomes free about as often.
constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
// The factor by which two hosts together spread the delay at most.
constexpr double kMaxSpread = 1.6;

Duration Scale(Duration span, double factor) {
  return Duration(
      static_cast<Duration::rep>(static_cast<double>(span.count()) * factor));
}

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(seconds, 1000.0)));
}

}  // namespace

void RequestAdmission::Enter(Instant now,
                             Id id,
                             const std::string& name,
                             const RequestFigures& figures,
                             bool is_new) {
  Leave(id);
  Queue& queue =
      queues_
          .try_emplace(
              name, Queue{{}, admission::WaitingQueue(kMaxQueueSize), {}, {}})
          .first->second;
  if (is_new) {
    queue.policy.RecordArrival(now, figures);
  }
  const WaitingRequest entry{queue.policy.Rank(now, figures),
                             ShortagePolicy::LatestStart(figures, figures.work),
                             figures.work, id};
  waiting_[id] = {name, figures, entry};
  queue.entered.push_back(id);
  ready_.insert(name);
  const auto removed = queue.waiting.Add(entry);
  if (removed) {
    waiting_.erase(removed->id);
    evicted_.push_back(removed->id);
  }
}

std::vector<RequestAdmission::Id> RequestAdmission::TakeEvicted() {
  return std::exchange(evicted_, {});
}

void RequestAdmission::Leave(Id id) {
  const auto found = waiting_.find(id);
  if (found == waiting_.end()) {
    return;
  }
  queues_.at(found->second.queue).waiting.Remove(found->second.entry);
  waiting_.erase(found);
}

void RequestAdmission::LeaveToServer(Instant now, Id id) {
  const auto found = waiting_.find(id);
  if (found != waiting_.end()) {
    queues_.at(found->second.queue)
        .policy.RecordSent(now, found->second.figures);
    Leave(id);
  }
}

void RequestAdmission::MarkReady(const std::string& name) {
  if (queues_.contains(name)) {
    ready_.insert(name);
  }
}

void RequestAdmission::MarkAllReady() {
  for (const auto& [name, queue] : queues_) {
    if (!queue.waiting.requests().empty()) {
      ready_.insert(name);
    }
  }
}

std::optional<std::string> RequestAdmission::TakeReady() {
  return ready_.empty() ? std::nullopt
                        : std::optional(ready_.extract(ready_.begin()).value());
}

std::optional<RequestAdmission::Id> RequestAdmission::First(
    const std::string& name) const {
  const auto queue = queues_.find(name);
  const auto first =
      queue == queues_.end() ? std::nullopt : queue->second.waiting.First();
  return first ? std::optional(first->id) : std::nullopt;
}

Decision RequestAdmission::Decide(Instant now,
                                  Id id,
                                  const ServerOutlook* outlook) {
  const Waiting& request = waiting_.at(id);
  Queue& queue = queues_.at(request.queue);
  if (outlook == nullptr) {
    queue.outlook.reset();
    return now < ShortagePolicy::WaitEnd(request.figures, request.figures.work)
               ? Decision::kWait
               : Decision::kRefuse;
  }
  queue.outlook = *outlook;
  return queue.policy.Decide(now, request.figures, request.entry.rank,
                             *outlook);
}

std::optional<Duration> RequestAdmission::TimeToServer(
    Instant now,
    const Queue& queue,
    const Waiting& request) const {
  const double ahead = Seconds(queue.waiting.WorkBefore(request.entry));
  if (queue.outlook && queue.outlook->exact) {
    return queue.outlook->wait +
           FromSeconds(ahead * queue.outlook->relative_time /
                       queue.outlook->slots);
  }
  const double rate = queue.policy.SentWorkRate(now);
  return rate > 0 ? std::optional(FromSeconds(ahead / rate)) : std::nullopt;
}

std::vector<RequestAdmission::Id> RequestAdmission::TakeHopeless(
    Instant now,
    const std::string& name) {
  std::vector<Id> hopeless;
  const auto queue = queues_.find(name);
  if (queue == queues_.end()) {
    return hopeless;
  }
  for (const Id id : std::exchange(queue->second.entered, {})) {
    const auto request = waiting_.find(id);
    if (request == waiting_.end() || request->second.queue != name) {
      continue;
    }
    const auto time = TimeToServer(now, queue->second, request->second);
    const RequestFigures& figures = request->second.figures;
    if (time && now + *time > ShortagePolicy::WaitEnd(figures, figures.work)) {
      hopeless.push_back(id);
    }
  }
  return hopeless;
}

std::vector<RequestAdmission::Id> RequestAdmission::Expired(Instant now) const {
  std::vector<Id> expired;
  for (const auto& [id, request] : waiting_) {
    const RequestFigures& figures = request.figures;
    if (now >= ShortagePolicy::WaitEnd(figures, figures.work)) {
      expired.push_back(id);
    }
  }
  return expired;
}

std::vector<RequestAdmission::Id> RequestAdmission::AllWaiting() const {
  std::vector<Id> ids;
  for (const auto& [id, request] : waiting_) {
    ids.push_back(id);
  }
  return ids;
}

Duration RequestAdmission::LongestWait(Instant now,
                                       const std::string& name,
                                       int priority) const {
  const auto queue = queues_.find(name);
  if (queue == queues_.end()) {
    return std::chrono::hours(1);
  }
  const ShortagePolicy& policy = queue->second.policy;
  const auto before = policy.LongestWaitBefore(now, priority);
  return before ? *before / kLessUrgentDivisor
                : policy.LongestWaitBefore(now, priority + 1)
                      .value_or(std::chrono::hours(1));
}

double RequestAdmission::Capacity(Instant now, const Queue& queue) {
  return queue.outlook && queue.outlook->exact
             ? queue.outlook->slots / queue.outlook->relative_time
             : queue.policy.SentWorkRate(now);
}

std::optional<Duration> RequestAdmission::RetryAfter(
    Instant now,
    const std::string& name,
    const RequestFigures& figures) const {
  const auto found = queues_.find(name);
  if (found == queues_.end()) {
    return std::nullopt;
  }
  const Queue& queue = found->second;
  const double capacity = Capacity(now, queue);
  const int rank = queue.policy.Rank(now, figures);
  const double arrived = queue.policy.ArrivedWorkRate(now, rank);
  const Duration final_delay = Scale(figures.end - now, kFinalDelayFraction);
  if (arrived >= kSaturation * capacity) {
    return final_delay;
  }
  Duration backlog{0};
  for (const WaitingRequest& waiting : queue.waiting.requests()) {
    backlog += waiting.rank <= rank ? waiting.work : Duration(0);
  }
  const Duration delay = std::max(
      kMinRetryAfter, FromSeconds(Seconds(backlog) / (capacity - arrived)));
  const Instant latest = ShortagePolicy::LatestUsefulStart(figures);
  return now + Scale(delay, kMaxSpread) <= latest ? std::min(delay, final_delay)
                                                  : final_delay;
}

void RequestAdmission::Prune(Instant now) {
  std::erase_if(queues_, [now](const auto& entry) {
    return entry.second.waiting.requests().empty() &&
           entry.second.policy.IsIdle(now);
  });
}

}  // namespace mustardflow::coordination
