// Selects the announcements of servers that a host reports to the leader.

#ifndef MUSTARDFLOW_COORDINATION_ANNOUNCEMENT_REPORTER_H_
#define MUSTARDFLOW_COORDINATION_ANNOUNCEMENT_REPORTER_H_

#include <cstddef>
#include <string>
#include <vector>

#include "coordination/reported_announcements.h"
#include "coordination/server_pool.h"
#include "state/time.h"

namespace mustardflow::coordination {

// The maximum number of servers in one report, which is sent as one datagram.
inline constexpr std::size_t kMaxReportedServers = 100;

// Takes the servers in turn if more than kMaxReportedServers have announced
// something.
class AnnouncementReporter {
 public:
  std::vector<AnnouncementReport> Report(state::Instant now,
                                         const ServerPool& pool);

 private:
  // The id of the last server in the last report.
  std::string last_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_ANNOUNCEMENT_REPORTER_H_
