// Merges what hosts report of servers' announcements.

#include "coordination/reported_announcements.h"

#include <algorithm>
#include <cmath>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;
using state::ServerIncarnation;

namespace {

// Moving keys away takes about as long as a shorter pause.
constexpr Duration kMinPause = std::chrono::seconds(1);
// After the end of its limit, the rate of a server doubles in each
// kRecoveryDoubling, from the limit or kMinRecoveryRate on. After kRecoveryTime
// it is not bounded any more.
constexpr Duration kRecoveryDoubling = std::chrono::seconds(5);
constexpr Duration kRecoveryTime = std::chrono::seconds(60);
constexpr double kMinRecoveryRate = 1;

}  // namespace

std::optional<AnnouncementReport> MakeReport(Instant now,
                                             const ServerIncarnation& server,
                                             const AnnouncedState& announced) {
  AnnouncementReport report;
  report.server = server;
  if (const auto stated_at = announced.limit_stated_at();
      stated_at && now - *stated_at <= kLimitLifetime) {
    report.rate_limit = announced.stated_limit();
    report.limit_age = now - *stated_at;
  }
  report.leaving = announced.leaving_since().has_value();
  report.pause = std::max(Duration(0), announced.paused_until() - now);
  const bool matters =
      report.limit_age || report.leaving || report.pause > Duration(0);
  return matters ? std::optional(std::move(report)) : std::nullopt;
}

void ReportedAnnouncements::Record(
    Instant now,
    const std::string& host,
    const std::vector<AnnouncementReport>& reports) {
  for (const AnnouncementReport& report : reports) {
    RecordServer(now, host, report);
  }
}

void ReportedAnnouncements::RecordServer(Instant now,
                                         const std::string& host,
                                         const AnnouncementReport& report) {
  Server& server = servers_[report.server.id];
  if (report.server.start_time_ms < server.incarnation.start_time_ms) {
    return;
  }
  if (report.server != server.incarnation) {
    server = Server();
    server.incarnation = report.server;
  }
  if (report.limit_age && now - *report.limit_age >= server.limit_stated_at) {
    change_ += server.rate_limit != report.rate_limit ? 1 : 0;
    if (!report.rate_limit && server.rate_limit) {
      server.former_limit = server.rate_limit;
      server.limit_ended_at = now - *report.limit_age;
    }
    server.rate_limit = report.rate_limit;
    server.limit_stated_at = now - *report.limit_age;
  }
  if (report.leaving && !server.leaving) {
    server.leaving = true;
    ++change_;
  }
  std::erase_if(server.paused_until,
                [now](const auto& entry) { return now >= entry.second; });
  if (report.pause >= kMinPause) {
    change_ += server.paused_until.contains(host) ? 0 : 1;
    server.paused_until[host] = now + report.pause;
  }
}

const ReportedAnnouncements::Server* ReportedAnnouncements::Find(
    const ServerIncarnation& server) const {
  const auto found = servers_.find(server.id);
  return found != servers_.end() && found->second.incarnation == server
             ? &found->second
             : nullptr;
}

std::optional<double> ReportedAnnouncements::RateLimit(
    Instant now,
    const ServerIncarnation& server) const {
  const Server* found = Find(server);
  return found != nullptr && now - found->limit_stated_at <= kLimitLifetime
             ? found->rate_limit
             : std::nullopt;
}

std::optional<state::ServerLimit> ReportedAnnouncements::Statement(
    Instant now,
    const ServerIncarnation& server) const {
  const Server* found = Find(server);
  if (found == nullptr || found->limit_stated_at == Instant() ||
      now - found->limit_stated_at > kLimitLifetime) {
    return std::nullopt;
  }
  return state::ServerLimit{server.start_time_ms, found->rate_limit};
}

std::optional<double> ReportedAnnouncements::RecoveryRate(
    Instant now,
    const ServerIncarnation& server) const {
  const Server* found = Find(server);
  if (found == nullptr || RateLimit(now, server)) {
    return std::nullopt;
  }
  // A limit that no answer has stated for its lifetime ends without a
  // statement.
  const bool expired = found->rate_limit.has_value();
  const std::optional<double> limit =
      expired ? found->rate_limit : found->former_limit;
  const Duration age = now - (expired ? found->limit_stated_at + kLimitLifetime
                                      : found->limit_ended_at);
  if (!limit || age > kRecoveryTime) {
    return std::nullopt;
  }
  const double doublings =
      std::chrono::duration<double>(age) / kRecoveryDoubling;
  return std::max(kMinRecoveryRate, *limit) * std::exp2(doublings);
}

bool ReportedAnnouncements::IsLeaving(const ServerIncarnation& server) const {
  const Server* found = Find(server);
  return found != nullptr && found->leaving;
}

bool ReportedAnnouncements::IsPaused(Instant now,
                                     const ServerIncarnation& server,
                                     std::size_t hosts) const {
  const Server* found = Find(server);
  if (found == nullptr) {
    return false;
  }
  const auto paused =
      std::count_if(found->paused_until.begin(), found->paused_until.end(),
                    [now](const auto& entry) { return now < entry.second; });
  return static_cast<std::size_t>(paused) >= std::max<std::size_t>(1, hosts);
}

void ReportedAnnouncements::Prune(
    const std::function<bool(const std::string&)>& forgotten) {
  std::erase_if(servers_, [&forgotten](const auto& entry) {
    return forgotten(entry.first);
  });
}

}  // namespace mustardflow::coordination
