// Accepts connections of callers or of other hosts that forward requests.

#ifndef MUSTARDFLOW_TRANSPORT_CALLER_LISTENER_H_
#define MUSTARDFLOW_TRANSPORT_CALLER_LISTENER_H_

#include <cstddef>
#include <map>
#include <memory>

#include "state/document.h"
#include "transport/asio.h"
#include "transport/caller_connection.h"

namespace mustardflow::transport {

// Owns the listening socket of an address and all connections accepted from it.
class CallerListener {
 public:
  // Starts to listen; throws boost::system::system_error if that fails.
  CallerListener(asio::io_context& context,
                 const state::Address& address,
                 const state::RoutingView& view,
                 RequestRelay& relay,
                 EventLog& log,
                 RequestSource source = RequestSource::kCaller);

  // Enforces the timeouts of the connections. Call several times a second.
  void Tick(state::Instant now);

  // Drains all connections, also those accepted later; see
  // CallerConnection::Drain().
  void Drain();
  // Stops accepting connections and reading requests. Connections close after
  // the requests that they have received.
  void StopReading();

  tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  std::size_t connections() const { return connections_.size(); }

 private:
  void Accept();
  // Closes a connection that others need more, if there is one.
  bool CloseOne();

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  const state::RoutingView& view_;
  RequestRelay& relay_;
  EventLog& log_;
  const RequestSource source_;
  // Maximum number of open connections. At the limit, an idle one is closed for
  // a new one; without an idle one, the new one is closed at once.
  const std::size_t max_connections_;
  bool draining_ = false;
  // Delays the next accept after a failed one.
  asio::steady_timer accept_retry_timer_;
  std::map<CallerConnection*, std::shared_ptr<CallerConnection>> connections_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_CALLER_LISTENER_H_
