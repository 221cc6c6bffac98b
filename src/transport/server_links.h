// The idle connections to backend servers.

#ifndef MUSTARDFLOW_TRANSPORT_SERVER_LINKS_H_
#define MUSTARDFLOW_TRANSPORT_SERVER_LINKS_H_

#include <map>
#include <memory>
#include <vector>

#include "state/server_record.h"
#include "state/time.h"
#include "transport/asio.h"
#include "transport/server_connection.h"

namespace mustardflow::transport {

class ServerConnectionPool {
 public:
  explicit ServerConnectionPool(asio::io_context& context)
      : context_(context) {}

  // An idle connection to this life of the server, or a new one.
  // `only_fresh` leaves out idle ones that the server may be about to close.
  std::shared_ptr<ServerConnection> Take(state::Instant now,
                                         const state::ServerRecord& server,
                                         bool only_fresh);

  // Keeps the connection for a later request, if it can carry one.
  void Return(const state::ServerIncarnation& server,
              const std::shared_ptr<ServerConnection>& link);

  // Closes connections that have been idle for long.
  void Tick(state::Instant now);

  // Connections opened since the start.
  std::uint64_t opened() const { return opened_; }

 private:
  void Remove(const state::ServerIncarnation& server,
              const ServerConnection* link);

  asio::io_context& context_;
  std::map<state::ServerIncarnation,
           std::vector<std::shared_ptr<ServerConnection>>>
      idle_;
  std::uint64_t opened_ = 0;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_SERVER_LINKS_H_
