// Chooses and expires idle connections.

#include "transport/server_links.h"

#include <algorithm>

namespace mustardflow::transport {

using state::Duration;
using state::Instant;
using state::ServerIncarnation;

namespace {

// Maximum idle time for servers that do not announce their own in Keep-Alive.
constexpr Duration kDefaultMaxIdleTime = std::chrono::milliseconds(4000);
// Maximum idle time of a connection for a request that must not run twice. If
// the server closes the connection while such a request is on its way, the
// outcome of the request stays unknown.
constexpr Duration kMaxFreshIdleTime = std::chrono::milliseconds(3000);
// How long a server's close may take to arrive. A connection is no longer used
// when no more than this is left of the idle timeout that the server announces.
constexpr Duration kServerCloseDelay = std::chrono::milliseconds(700);

Duration MaxIdleTime(const ServerConnection& connection) {
  if (!connection.keep_alive()) {
    return kDefaultMaxIdleTime;
  }
  return std::max(Duration(0), *connection.keep_alive() - kServerCloseDelay);
}

bool Contains(const UsedConnections& used,
              const std::shared_ptr<ServerConnection>& connection) {
  return std::any_of(used.begin(), used.end(), [&](const auto& entry) {
    return entry.lock() == connection;
  });
}

}  // namespace

std::shared_ptr<ServerConnection> ServerConnectionPool::Take(
    Instant now,
    const state::ServerRecord& server,
    bool only_fresh,
    const UsedConnections& used) {
  const auto found = idle_.find(server.incarnation);
  if (found != idle_.end()) {
    std::vector<std::shared_ptr<ServerConnection>>& connections = found->second;
    for (std::size_t i = connections.size(); i-- > 0;) {
      std::shared_ptr<ServerConnection> connection = connections[i];
      if (Contains(used, connection)) {
        continue;
      }
      const Duration idle = now - connection->idle_since();
      const Duration max_idle =
          only_fresh ? std::min(kMaxFreshIdleTime, MaxIdleTime(*connection))
                     : MaxIdleTime(*connection);
      connections.erase(connections.begin() + static_cast<std::ptrdiff_t>(i));
      if (idle < max_idle) {
        return connection;
      }
      connection->Abort();
    }
  }
  ++opened_;
  return std::make_shared<ServerConnection>(context_, server.address, memory_,
                                            open_);
}

void ServerConnectionPool::Return(
    const ServerIncarnation& server,
    const std::shared_ptr<ServerConnection>& connection) {
  if (!connection->reusable()) {
    return;
  }
  idle_[server].push_back(connection);
  connection->WatchIdle(
      [this, server, raw = connection.get()] { Remove(server, raw); });
}

void ServerConnectionPool::Remove(const ServerIncarnation& server,
                                  const ServerConnection* connection) {
  const auto found = idle_.find(server);
  if (found != idle_.end()) {
    std::erase_if(found->second, [connection](const auto& entry) {
      return entry.get() == connection;
    });
  }
}

bool ServerConnectionPool::HasIdle() const {
  return std::any_of(idle_.begin(), idle_.end(),
                     [](const auto& entry) { return !entry.second.empty(); });
}

bool ServerConnectionPool::CloseIdle() {
  auto oldest = idle_.end();
  std::size_t index = 0;
  for (auto entry = idle_.begin(); entry != idle_.end(); ++entry) {
    for (std::size_t i = 0; i < entry->second.size(); ++i) {
      if (oldest == idle_.end() || entry->second[i]->idle_since() <
                                       oldest->second[index]->idle_since()) {
        oldest = entry;
        index = i;
      }
    }
  }
  if (oldest == idle_.end()) {
    return false;
  }
  oldest->second[index]->Abort();
  oldest->second.erase(oldest->second.begin() +
                       static_cast<std::ptrdiff_t>(index));
  return true;
}

void ServerConnectionPool::Tick(Instant now) {
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::erase_if(entry->second, [now](const auto& connection) {
      const bool expired =
          now - connection->idle_since() >= MaxIdleTime(*connection);
      if (expired) {
        connection->Abort();
      }
      return expired;
    });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

}  // namespace mustardflow::transport
