// What backend servers announce about themselves, as all hosts report it to the
// leader.

#ifndef MUSTARDFLOW_COORDINATION_REPORTED_ANNOUNCEMENTS_H_
#define MUSTARDFLOW_COORDINATION_REPORTED_ANNOUNCEMENTS_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "coordination/announced_state.h"
#include "state/ownership_table.h"
#include "state/server_record.h"
#include "state/time.h"

namespace mustardflow::coordination {

// What one host knows of the announcements of one server.
struct AnnouncementReport {
  state::ServerIncarnation server;
  // The limit in force, in requests per second; nullopt if there is none.
  std::optional<double> rate_limit;
  // The time since an answer last stated the limit or its end; nullopt if the
  // server has announced no limit yet.
  std::optional<state::Duration> limit_age;
  bool leaving = false;
  // How much longer the server wants no requests from this host.
  state::Duration pause{0};
};

// Returns the report of a server's state; nullopt if the server has announced
// nothing that still matters.
std::optional<AnnouncementReport> MakeReport(
    state::Instant now,
    const state::ServerIncarnation& server,
    const AnnouncedState& announced);

// Merges the reports of all hosts: the newest statement of a limit counts.
class ReportedAnnouncements {
 public:
  void Record(state::Instant now,
              const std::string& host,
              const std::vector<AnnouncementReport>& reports);

  // The limit of the server in requests per second, if one is in force.
  std::optional<double> RateLimit(state::Instant now,
                                  const state::ServerIncarnation& server) const;
  // What the server has stated of its limit, or of the end of its limit, in the
  // last kLimitLifetime.
  std::optional<state::ServerLimit> Statement(
      state::Instant now,
      const state::ServerIncarnation& server) const;
  // The requests per second that the server should get at most, for some time
  // after its limit has ended; nullopt before and after that time. It grows
  // from the former limit, so that a server whose limit comes and goes does not
  // lose and get its keys each time.
  std::optional<double> RecoveryRate(
      state::Instant now,
      const state::ServerIncarnation& server) const;
  bool IsLeaving(const state::ServerIncarnation& server) const;
  // Whether the server wants no requests for a while from at least `hosts`
  // hosts.
  bool IsPaused(state::Instant now,
                const state::ServerIncarnation& server,
                std::size_t hosts) const;
  // Forgets the servers for which `forgotten` holds.
  void Prune(const std::function<bool(const std::string&)>& forgotten);
  // Increases with each change of a limit, and when a server begins to leave or
  // to pause.
  std::uint64_t change() const { return change_; }

 private:
  struct Server {
    state::ServerIncarnation incarnation;
    std::optional<double> rate_limit;
    state::Instant limit_stated_at{};
    // The last limit whose end was stated, and the time of that statement.
    std::optional<double> former_limit;
    state::Instant limit_ended_at{};
    bool leaving = false;
    // By host: the end of its pause. Short pauses are left out.
    std::map<std::string, state::Instant> paused_until;
  };

  void RecordServer(state::Instant now,
                    const std::string& host,
                    const AnnouncementReport& report);
  const Server* Find(const state::ServerIncarnation& server) const;

  // By server id.
  std::map<std::string, Server> servers_;
  std::uint64_t change_ = 0;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_REPORTED_ANNOUNCEMENTS_H_
