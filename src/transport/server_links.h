// A pool of idle connections to backend servers or gates.

#ifndef MUSTARDFLOW_TRANSPORT_SERVER_LINKS_H_
#define MUSTARDFLOW_TRANSPORT_SERVER_LINKS_H_

#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "state/server_record.h"
#include "state/time.h"
#include "transport/asio.h"
#include "transport/server_connection.h"

namespace mustardflow::transport {

// The connections on which a request was sent. An answer on one of them that
// has the request's id may be a copy of the answer to an earlier attempt.
using UsedConnections = std::vector<std::weak_ptr<const ServerConnection>>;

// Reuses idle connections, but only with the same incarnation of a server, and
// only as long as the server is unlikely to be closing them.
class ServerConnectionPool {
 public:
  // The answers that the connections receive draw from `memory`. `open` counts
  // the connections of all pools with that counter.
  ServerConnectionPool(asio::io_context& context,
                       MemoryAccountPtr memory,
                       std::shared_ptr<std::size_t> open)
      : context_(context), memory_(std::move(memory)), open_(std::move(open)) {}

  // Returns an idle connection to this incarnation of the server, or a new one.
  // With `only_fresh`, connections that the server may be about to close are
  // not reused. `used` are the connections on which the same request was sent
  // before; they are left out.
  std::shared_ptr<ServerConnection> Take(state::Instant now,
                                         const state::ServerRecord& server,
                                         bool only_fresh,
                                         const UsedConnections& used);

  // Keeps the connection for a later request if it is reusable.
  void Return(const state::ServerIncarnation& server,
              const std::shared_ptr<ServerConnection>& connection);

  // Closes connections that have reached their maximum idle time.
  void Tick(state::Instant now);

  bool HasIdle() const;
  // Closes the connection that has been idle for longest. Returns whether there
  // was one.
  bool CloseIdle();

  // Connections opened since the process started.
  std::uint64_t opened() const { return opened_; }

 private:
  // Removes a connection that has closed while idle.
  void Remove(const state::ServerIncarnation& server,
              const ServerConnection* connection);

  asio::io_context& context_;
  const MemoryAccountPtr memory_;
  const std::shared_ptr<std::size_t> open_;
  std::map<state::ServerIncarnation,
           std::vector<std::shared_ptr<ServerConnection>>>
      idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_SERVER_LINKS_H_
