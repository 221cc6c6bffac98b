// A host's part in the detection of requests that crash backend servers: the
// evidence that it finds, and the requests that it refuses.

#ifndef MUSTARDFLOW_COORDINATION_CRASH_WATCH_H_
#define MUSTARDFLOW_COORDINATION_CRASH_WATCH_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "coordination/answered_requests.h"
#include "coordination/crash_report.h"
#include "coordination/server_pool.h"
#include "state/time.h"

namespace mustardflow::coordination {

// A crash counts as evidence against a request that has not been answered from
// this long before the crash on.
inline constexpr state::Duration kAnswerLifetime = std::chrono::seconds(30);
// How long evidence is kept.
inline constexpr state::Duration kCrashLifetime = std::chrono::minutes(10);

// A lost connection does not prove that the server has crashed. The store does:
// a server that has crashed renews its entry no more, so that the entry expires
// or is replaced by that of the server's next start. A server that announced
// its leaving, or whose entry was removed before the connection was lost, has
// left as planned. Neither is evidence against the requests that it had.
//
// Requests that were only present at a crash are told apart by their answers:
// a request that crashes servers never gets one.
class CrashWatch {
 public:
  // How a request without an answer ended at a server.
  enum class End {
    // The connection was lost.
    kLost,
    // This host gave the request up.
    kGivenUp,
  };

  explicit CrashWatch(const ServerPool& pool) : pool_(pool) {}

  // Sets how often servers renew their entries.
  void SetCheckInInterval(state::Duration interval) {
    check_in_interval_ = interval;
  }

  // An attempt at the server has ended without an answer.
  void RecordUnanswered(state::Instant now,
                        RequestFingerprint request,
                        const state::ServerIncarnation& server,
                        End end);
  // A server has answered the request.
  void RecordAnswered(state::Instant now, RequestFingerprint request);
  // Finds out which servers have crashed. `known_at` is the time as of which
  // this host knows the store's entries, if it does. Called about every 20 ms.
  void Tick(state::Instant now, std::optional<state::Instant> known_at);

  // Replaces the list of requests that may crash servers by the leader's.
  void HandleList(state::Instant now, const std::vector<CrashingRequest>& list);
  // The list as of now, with which this host begins to lead.
  std::vector<CrashingRequest> List(state::Instant now) const;
  // The requests that have become refused since the last call, or are refused
  // no longer.
  std::vector<CrashingRequest> TakeChanges();

  // Whether the request is refused, except as a trial; see IsTrialOpen().
  bool IsRefused(state::Instant now, RequestFingerprint request) const;
  // Whether the refused request may be sent as a trial.
  bool IsTrialOpen(state::Instant now, RequestFingerprint request) const;
  // The request has been sent as a trial.
  void RecordTrial(state::Instant now, RequestFingerprint request);
  // How long the refused request will not be sent.
  state::Duration RetryAfter(state::Instant now,
                             RequestFingerprint request) const;
  // The number of requests that are refused when they come.
  std::size_t refused_count() const;

  // Whether the leader should get a report without delay.
  bool has_news() const { return has_news_; }
  // Returns the report to the leader of this term. Call only to send it.
  // Reports are not acknowledged, so each item is in several of them.
  CrashReport MakeReport(state::Instant now, std::int64_t term);

 private:
  // A request that ended without an answer at a server.
  struct Unanswered {
    RequestFingerprint request = 0;
    state::Instant at{};
  };
  // The same for a server that has crashed.
  struct Crash {
    RequestFingerprint request = 0;
    state::ServerIncarnation server;
    state::Instant at{};
    // In how many reports to the leader it was, and when in the last one.
    int reports = 0;
    state::Instant reported_at{};
  };
  // Whether the crash has to be in the next report.
  static bool IsReportDue(state::Instant now, const Crash& crash);
  // An entry of the leader's list, and what this host has told the leader.
  struct Entry {
    CrashingRequest request;
    // When the list arrived.
    state::Instant at{};
    bool answer_reported = false;
    // The trial that this host has begun, and when; 0 if none.
    int trial = 0;
    state::Instant trial_at{};
  };

  enum class Fate { kUnknown, kLives, kCrashed };
  // The latest start time of the servers at each address.
  using LatestStarts = std::map<state::Address, std::int64_t>;
  LatestStarts FindLatestStarts() const;
  // What the store said at `known_at` of the server, which was last known to be
  // alive before `since`. A later start at its address proves its end.
  Fate FateOf(const state::ServerIncarnation& server,
              state::Instant since,
              std::optional<state::Instant> known_at,
              const LatestStarts& latest_starts) const;
  // The time after which the entry of a crashed server has expired.
  state::Duration ConfirmTime() const;
  void RecordCrash(const state::ServerIncarnation& server,
                   const Unanswered& unanswered);
  // Whether an answer rules out that the request caused a crash at `crash`.
  bool IsCleared(RequestFingerprint request, state::Instant crash) const;
  const Entry* Find(state::Instant now, RequestFingerprint request) const;

  const ServerPool& pool_;
  state::Duration check_in_interval_ = std::chrono::seconds(1);
  AnsweredRequests answered_;
  // Invariant: unanswered_count_ requests in all, kMaxUnanswered at most, and
  // none of the lists is empty.
  std::map<state::ServerIncarnation, std::vector<Unanswered>> unanswered_;
  std::size_t unanswered_count_ = 0;
  // The change count of the pool at the last check, and its time.
  std::uint64_t pool_change_ = 0;
  state::Instant checked_at_{};
  // Invariant: in the order in which the crashes were found.
  std::deque<Crash> crashes_;
  std::map<RequestFingerprint, Entry> list_;
  std::vector<CrashingRequest> changes_;
  std::int64_t report_term_ = 0;
  bool has_news_ = false;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_CRASH_WATCH_H_
