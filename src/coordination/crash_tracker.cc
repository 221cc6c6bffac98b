// Counts crashes, schedules trials and forgets requests.

#include "coordination/crash_tracker.h"

#include <algorithm>
#include <array>
#include <utility>

#include "coordination/crash_watch.h"

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;

namespace {

// After these numbers of crashes, hosts report answers to the request, and
// refuse it.
constexpr int kListedCrashes = 2;
constexpr int kRefusedCrashes = 3;
// The time for hosts to report an answer before the request is refused. A
// heartbeat and a report of a host take less.
constexpr Duration kAnswerWait = std::chrono::milliseconds(500);
// From the refusal to the first trial, and from each trial to the next.
constexpr std::array<Duration, 3> kTrialDelays = {
    std::chrono::seconds(30), std::chrono::minutes(5), std::chrono::hours(1)};
// A request that no host takes for a trial in this time does not come any more.
constexpr Duration kUnusedTrialTime = std::chrono::minutes(10);
// Bounds on what is kept.
constexpr std::size_t kMaxTracked = 512;
constexpr std::size_t kMaxCrashes = 8;

Duration TrialDelay(int trials) {
  const auto index = std::min<std::size_t>(static_cast<std::size_t>(trials),
                                           kTrialDelays.size() - 1);
  return kTrialDelays[index];
}

}  // namespace

int CrashTracker::Request::CrashCount() const {
  return std::max(former_crashes, static_cast<int>(crashes.size()));
}

void CrashTracker::Begin(Instant now,
                         const std::vector<CrashingRequest>& list) {
  requests_.clear();
  for (const CrashingRequest& entry : list) {
    Request& request = Find(now, entry.request);
    request.former_crashes = entry.crashes;
    request.listed_at = now;
    request.refused = entry.refused;
    request.trials = entry.trials;
    request.trial_at = now + entry.retry_after;
  }
}

CrashTracker::Request& CrashTracker::Find(Instant now,
                                          RequestFingerprint fingerprint) {
  if (requests_.size() >= kMaxTracked && !requests_.contains(fingerprint)) {
    const auto oldest = std::min_element(
        requests_.begin(), requests_.end(), [](const auto& a, const auto& b) {
          return std::pair(a.second.refused, a.second.reported_at) <
                 std::pair(b.second.refused, b.second.reported_at);
        });
    requests_.erase(oldest);
  }
  Request& request = requests_[fingerprint];
  request.reported_at = now;
  return request;
}

bool CrashTracker::Record(Instant now, const CrashReport& report) {
  bool news = false;
  for (const RequestCrash& crash : report.crashes) {
    RecordCrash(now, crash);
    news = news || requests_[crash.request].CrashCount() >= kListedCrashes;
  }
  for (const RequestAnswer& answer : report.answers) {
    RecordAnswer(now, answer);
    news = true;
  }
  for (const RequestTrial& trial : report.trials) {
    news = RecordTrial(now, trial) || news;
  }
  return news;
}

void CrashTracker::RecordCrash(Instant now, const RequestCrash& crash) {
  const Instant at = now - crash.age;
  Request& request = Find(now, crash.request);
  const bool cleared =
      request.answered_at && at - *request.answered_at <= kAnswerLifetime;
  if (!cleared && request.crashes.size() < kMaxCrashes) {
    request.crashes.try_emplace(crash.server, at);
  }
}

void CrashTracker::RecordAnswer(Instant now, const RequestAnswer& answer) {
  const auto found = requests_.find(answer.request);
  if (found == requests_.end()) {
    return;
  }
  Request& request = found->second;
  const Instant at = now - answer.age;
  request.reported_at = now;
  request.answered_at = std::max(request.answered_at, std::optional(at));
  std::erase_if(request.crashes, [at](const auto& crash) {
    return crash.second - at <= kAnswerLifetime;
  });
  if (answer.age <= kAnswerLifetime) {
    request.former_crashes = 0;
  }
}

bool CrashTracker::RecordTrial(Instant now, const RequestTrial& trial) {
  const auto found = requests_.find(trial.request);
  if (found == requests_.end() || !found->second.refused ||
      trial.number <= found->second.trials) {
    return false;
  }
  found->second.trials = trial.number;
  found->second.trial_at = now + TrialDelay(trial.number);
  found->second.reported_at = now;
  return true;
}

void CrashTracker::Judge(Instant now,
                         RequestFingerprint fingerprint,
                         Request* request) {
  if (!request->refused) {
    std::erase_if(request->crashes, [now](const auto& crash) {
      return now - crash.second > kCrashLifetime;
    });
  }
  const int crashes = request->CrashCount();
  if (crashes < kListedCrashes) {
    request->listed_at.reset();
  } else if (!request->listed_at) {
    request->listed_at = now;
  }
  if (request->refused && crashes < kRefusedCrashes) {
    request->refused = false;
    request->trials = 0;
    Decide(now, fingerprint, *request);
  } else if (!request->refused && crashes >= kRefusedCrashes &&
             now - *request->listed_at >= kAnswerWait) {
    request->refused = true;
    request->trial_at = now + TrialDelay(0);
    Decide(now, fingerprint, *request);
  }
}

void CrashTracker::Decide(Instant now,
                          RequestFingerprint fingerprint,
                          const Request& request) {
  Decision& decision = decisions_.emplace_back();
  decision.request = fingerprint;
  decision.refused = request.refused;
  decision.trials = request.trials;
  for (const auto& [server, at] : request.crashes) {
    decision.servers.push_back(server);
    decision.first_crash_age =
        std::max(decision.first_crash_age, std::optional(now - at));
  }
  if (request.answered_at) {
    decision.answer_age = now - *request.answered_at;
  }
}

std::vector<CrashingRequest> CrashTracker::Update(Instant now) {
  std::vector<CrashingRequest> list;
  for (auto entry = requests_.begin(); entry != requests_.end();) {
    auto& [fingerprint, request] = *entry;
    Judge(now, fingerprint, &request);
    const bool forgotten = request.refused
                               ? now - request.trial_at > kUnusedTrialTime
                               : now - request.reported_at > kCrashLifetime;
    if (forgotten) {
      if (request.refused) {
        request.refused = false;
        Decide(now, fingerprint, request);
      }
      entry = requests_.erase(entry);
      continue;
    }
    if (request.listed_at) {
      list.push_back({fingerprint, request.CrashCount(), request.refused,
                      request.trials,
                      std::max(Duration(0), request.trial_at - now)});
    }
    ++entry;
  }
  std::stable_sort(list.begin(), list.end(), [](const auto& a, const auto& b) {
    return std::pair(a.refused, a.crashes) > std::pair(b.refused, b.crashes);
  });
  if (list.size() > kMaxCrashingRequests) {
    list.resize(kMaxCrashingRequests);
  }
  return list;
}

std::vector<CrashTracker::Decision> CrashTracker::TakeDecisions() {
  return std::exchange(decisions_, {});
}

}  // namespace mustardflow::coordination
