// Keeping and choosing idle connections.

#include "transport/server_links.h"

#include <algorithm>

namespace mustardflow::transport {

using state::Duration;
using state::Instant;
using state::ServerIncarnation;

namespace {

// For servers that do not say how long they keep idle connections.
constexpr Duration kDefaultMaxIdleTime = std::chrono::milliseconds(4000);
// A request that may run only once uses connections this fresh: a close of the
// server's that crosses it would leave its outcome unknown.
constexpr Duration kMaxFreshIdleTime = std::chrono::milliseconds(3000);
// What a server's close may take to arrive.
constexpr Duration kServerCloseDelay = std::chrono::milliseconds(700);

Duration MaxIdleTime(const ServerConnection& link) {
  if (!link.keep_alive()) {
    return kDefaultMaxIdleTime;
  }
  return std::max(Duration(0), *link.keep_alive() - kServerCloseDelay);
}

}  // namespace

std::shared_ptr<ServerConnection> ServerConnectionPool::Take(
    Instant now,
    const state::ServerRecord& server,
    bool only_fresh) {
  const auto found = idle_.find(server.incarnation);
  if (found != idle_.end()) {
    std::vector<std::shared_ptr<ServerConnection>>& links = found->second;
    while (!links.empty()) {
      std::shared_ptr<ServerConnection> link = links.back();
      const Duration idle = now - link->idle_since();
      const Duration longest =
          only_fresh ? std::min(kMaxFreshIdleTime, MaxIdleTime(*link))
                     : MaxIdleTime(*link);
      links.pop_back();
      if (idle < longest) {
        return link;
      }
      link->Abort();
    }
  }
  ++opened_;
  return std::make_shared<ServerConnection>(context_, server.address);
}

void ServerConnectionPool::Return(
    const ServerIncarnation& server,
    const std::shared_ptr<ServerConnection>& link) {
  if (!link->reusable()) {
    return;
  }
  idle_[server].push_back(link);
  link->WatchIdle([this, server, raw = link.get()] { Remove(server, raw); });
}

void ServerConnectionPool::Remove(const ServerIncarnation& server,
                                  const ServerConnection* link) {
  const auto found = idle_.find(server);
  if (found != idle_.end()) {
    std::erase_if(found->second,
                  [link](const auto& entry) { return entry.get() == link; });
  }
}

void ServerConnectionPool::Tick(Instant now) {
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::erase_if(entry->second, [now](const auto& link) {
      const bool old = now - link->idle_since() >= MaxIdleTime(*link);
      if (old) {
        link->Abort();
      }
      return old;
    });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

}  // namespace mustardflow::transport
