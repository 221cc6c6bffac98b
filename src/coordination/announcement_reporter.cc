// Goes through the servers in the order of their ids.

#include "coordination/announcement_reporter.h"

#include <utility>

namespace mustardflow::coordination {

std::vector<AnnouncementReport> AnnouncementReporter::Report(
    state::Instant now,
    const ServerPool& pool) {
  std::vector<AnnouncementReport> reports;
  const auto& servers = pool.servers();
  auto entry = servers.upper_bound(last_);
  for (std::size_t i = 0;
       i < servers.size() && reports.size() < kMaxReportedServers; ++i) {
    if (entry == servers.end()) {
      entry = servers.begin();
    }
    const ServerPool::ServerState& server = entry->second;
    auto report = MakeReport(now, server.record.incarnation, server.announced);
    if (report && !server.gone) {
      reports.push_back(*std::move(report));
      last_ = entry->first;
    }
    ++entry;
  }
  return reports;
}

}  // namespace mustardflow::coordination
