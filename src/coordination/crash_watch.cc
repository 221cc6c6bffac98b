// Confirms crashes by the store's entries, and applies the leader's list.

#include "coordination/crash_watch.h"

#include <algorithm>
#include <utility>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;
using state::ServerIncarnation;

namespace {

// An entry that is not renewed for this number of check-in intervals expires. A
// server lives if the store still has its entry after that time and a margin
// for reads of the store.
constexpr int kExpiryIntervals = 3;
constexpr Duration kExpiryMargin = std::chrono::seconds(3);
// The time between two checks of the servers, after a change and without one.
constexpr Duration kMinCheckInterval = std::chrono::milliseconds(100);
constexpr Duration kMaxCheckInterval = std::chrono::milliseconds(500);
// Bounds on what is kept.
constexpr std::size_t kMaxUnanswered = 1024;
constexpr std::size_t kMaxCrashes = 64;
// Each crash is in the next three reports and then in one report in this time,
// and each trial in all reports for a while.
constexpr int kReportsAtOnce = 3;
constexpr Duration kReportAgainInterval = std::chrono::seconds(10);
constexpr Duration kTrialReportTime = std::chrono::seconds(2);
// A host that hears no leader refuses requests for this long.
constexpr Duration kListLifetime = std::chrono::minutes(10);
// The retry delay while a trial is under way.
constexpr Duration kTrialRetryAfter = std::chrono::seconds(1);

bool AnnouncedLeaving(const ServerPool::ServerState& server) {
  return server.record.draining || server.announced.leaving_since();
}

}  // namespace

void CrashWatch::RecordUnanswered(Instant now,
                                  RequestFingerprint request,
                                  const ServerIncarnation& server,
                                  End end) {
  const auto found = pool_.servers().find(server.id);
  if (found == pool_.servers().end()) {
    return;
  }
  // A server that has left as planned has closed its connections before it
  // starts anew under its id.
  const bool started_anew = found->second.record.incarnation != server;
  const bool removed = found->second.gone || found->second.unconfirmed;
  const bool left_as_planned =
      AnnouncedLeaving(found->second) || (end == End::kLost && removed);
  if (!started_anew && left_as_planned) {
    return;
  }
  // In an overload, many requests are given up.
  const std::size_t limit =
      end == End::kLost ? kMaxUnanswered : kMaxUnanswered / 2;
  if (unanswered_count_ >= limit) {
    return;
  }
  unanswered_[server].push_back({request, now});
  ++unanswered_count_;
}

void CrashWatch::RecordAnswered(Instant now, RequestFingerprint request) {
  answered_.Record(now, request);
  const auto entry = list_.find(request);
  has_news_ =
      has_news_ || (entry != list_.end() && !entry->second.answer_reported);
}

bool CrashWatch::IsCleared(RequestFingerprint request, Instant crash) const {
  const auto answer = answered_.LastAnswer(request);
  return answer && crash - *answer <= kAnswerLifetime;
}

CrashWatch::LatestStarts CrashWatch::FindLatestStarts() const {
  LatestStarts latest;
  for (const auto& [id, server] : pool_.servers()) {
    std::int64_t& start = latest[server.record.address];
    start = std::max(start, server.record.incarnation.start_time_ms);
  }
  return latest;
}

CrashWatch::Fate CrashWatch::FateOf(const ServerIncarnation& server,
                                    Instant since,
                                    std::optional<Instant> known_at,
                                    const LatestStarts& latest_starts) const {
  const auto found = pool_.servers().find(server.id);
  if (found == pool_.servers().end() ||
      found->second.record.incarnation != server) {
    return Fate::kCrashed;
  }
  if (AnnouncedLeaving(found->second)) {
    return Fate::kLives;
  }
  const bool replaced =
      latest_starts.at(found->second.record.address) > server.start_time_ms;
  if (found->second.gone || replaced) {
    return Fate::kCrashed;
  }
  const bool renewed = !found->second.unconfirmed && known_at &&
                       *known_at - since > ConfirmTime();
  return renewed ? Fate::kLives : Fate::kUnknown;
}

Duration CrashWatch::ConfirmTime() const {
  return kExpiryIntervals * check_in_interval_ + kExpiryMargin;
}

void CrashWatch::Tick(Instant now, std::optional<Instant> known_at) {
  const Duration interval =
      pool_.change() == pool_change_ ? kMaxCheckInterval : kMinCheckInterval;
  if (unanswered_.empty() || now - checked_at_ < interval) {
    return;
  }
  pool_change_ = pool_.change();
  checked_at_ = now;
  const LatestStarts latest_starts = FindLatestStarts();
  for (auto server = unanswered_.begin(); server != unanswered_.end();) {
    auto& [incarnation, requests] = *server;
    switch (FateOf(incarnation, requests.front().at, known_at, latest_starts)) {
      case Fate::kUnknown:
        ++server;
        continue;
      case Fate::kCrashed:
        for (const Unanswered& request : requests) {
          RecordCrash(incarnation, request);
        }
        unanswered_count_ -= requests.size();
        requests.clear();
        break;
      case Fate::kLives:
        unanswered_count_ -=
            std::erase_if(requests, [&](const Unanswered& request) {
              return known_at && *known_at - request.at > ConfirmTime();
            });
        break;
    }
    server = requests.empty() ? unanswered_.erase(server) : std::next(server);
  }
}

void CrashWatch::RecordCrash(const ServerIncarnation& server,
                             const Unanswered& unanswered) {
  const bool known =
      std::any_of(crashes_.begin(), crashes_.end(), [&](const Crash& crash) {
        return crash.request == unanswered.request && crash.server == server;
      });
  if (known || IsCleared(unanswered.request, unanswered.at)) {
    return;
  }
  crashes_.push_back({unanswered.request, server, unanswered.at});
  if (crashes_.size() > kMaxCrashes) {
    crashes_.pop_front();
  }
  has_news_ = true;
}

void CrashWatch::HandleList(Instant now,
                            const std::vector<CrashingRequest>& list) {
  if (list.empty() && list_.empty()) {
    return;
  }
  std::map<RequestFingerprint, Entry> next;
  for (const CrashingRequest& request : list) {
    Entry& entry = next[request.request];
    const auto known = list_.find(request.request);
    const bool refused = known != list_.end() && known->second.request.refused;
    if (known != list_.end()) {
      entry = known->second;
    }
    if (refused != request.refused) {
      changes_.push_back(request);
    }
    if (known == list_.end() || refused != request.refused) {
      entry.answer_reported = false;
      has_news_ = has_news_ || answered_.LastAnswer(request.request);
    }
    entry.request = request;
    entry.at = now;
  }
  for (const auto& [request, entry] : list_) {
    if (entry.request.refused && !next.contains(request)) {
      changes_.push_back(entry.request);
      changes_.back().refused = false;
    }
  }
  list_ = std::move(next);
}

std::vector<CrashingRequest> CrashWatch::List(Instant now) const {
  std::vector<CrashingRequest> list;
  for (const auto& [request, entry] : list_) {
    list.push_back(entry.request);
    list.back().retry_after =
        std::max(Duration(0), entry.at + entry.request.retry_after - now);
  }
  return list;
}

std::vector<CrashingRequest> CrashWatch::TakeChanges() {
  return std::exchange(changes_, {});
}

const CrashWatch::Entry* CrashWatch::Find(Instant now,
                                          RequestFingerprint request) const {
  const auto entry = list_.find(request);
  return entry == list_.end() || now - entry->second.at > kListLifetime
             ? nullptr
             : &entry->second;
}

bool CrashWatch::IsRefused(Instant now, RequestFingerprint request) const {
  const Entry* entry = Find(now, request);
  return entry != nullptr && entry->request.refused;
}

bool CrashWatch::IsTrialOpen(Instant now, RequestFingerprint request) const {
  const Entry* entry = Find(now, request);
  return entry != nullptr && entry->request.refused &&
         entry->request.retry_after <= Duration(0) &&
         entry->trial <= entry->request.trials;
}

void CrashWatch::RecordTrial(Instant now, RequestFingerprint request) {
  const auto entry = list_.find(request);
  if (entry != list_.end()) {
    entry->second.trial = entry->second.request.trials + 1;
    entry->second.trial_at = now;
    has_news_ = true;
  }
}

Duration CrashWatch::RetryAfter(Instant now, RequestFingerprint request) const {
  const Entry* entry = Find(now, request);
  if (entry == nullptr) {
    return kTrialRetryAfter;
  }
  const Instant next_trial = entry->at + entry->request.retry_after;
  return std::max<Duration>(kTrialRetryAfter, next_trial - now);
}

std::size_t CrashWatch::refused_count() const {
  return static_cast<std::size_t>(std::count_if(
      list_.begin(), list_.end(),
      [](const auto& entry) { return entry.second.request.refused; }));
}

bool CrashWatch::IsReportDue(Instant now, const Crash& crash) {
  return crash.reports < kReportsAtOnce ||
         now - crash.reported_at >= kReportAgainInterval;
}

CrashReport CrashWatch::MakeReport(Instant now, std::int64_t term) {
  has_news_ = false;
  std::erase_if(crashes_, [now](const Crash& crash) {
    return now - crash.at > kCrashLifetime;
  });
  if (term != report_term_) {
    // The new leader knows nothing of what the former one was told.
    report_term_ = term;
    for (Crash& crash : crashes_) {
      crash.reports = 0;
    }
    for (auto& [request, entry] : list_) {
      entry.answer_reported = false;
    }
  }
  CrashReport report;
  // The newest crashes come first.
  for (auto crash = crashes_.rbegin();
       crash != crashes_.rend() && report.crashes.size() < kMaxReportedCrashes;
       ++crash) {
    if (IsReportDue(now, *crash) && !IsCleared(crash->request, crash->at)) {
      ++crash->reports;
      crash->reported_at = now;
      report.crashes.push_back(
          {crash->request, crash->server, now - crash->at});
    }
  }
  for (auto& [request, entry] : list_) {
    if (const auto answer = answered_.LastAnswer(request)) {
      entry.answer_reported = true;
      report.answers.push_back({request, now - *answer});
    }
    if (entry.trial > 0 && now - entry.trial_at < kTrialReportTime) {
      report.trials.push_back({request, entry.trial});
    }
  }
  return report;
}

}  // namespace mustardflow::coordination
