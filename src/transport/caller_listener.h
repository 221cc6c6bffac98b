// Accepts connections of callers, or of other hosts that forward requests.

#ifndef MUSTARDFLOW_TRANSPORT_CALLER_LISTENER_H_
#define MUSTARDFLOW_TRANSPORT_CALLER_LISTENER_H_

#include <cstddef>
#include <map>
#include <memory>

#include "state/document.h"
#include "transport/asio.h"
#include "transport/caller_connection.h"

namespace mustardflow::transport {

class CallerListener {
 public:
  // Listens at once; throws boost::system::system_error if it cannot.
  CallerListener(asio::io_context& context,
                 const state::Address& address,
                 const state::RoutingView& view,
                 RequestRelay& relay,
                 EventLog& log,
                 RequestSource source = RequestSource::kCaller);

  // Enforces time limits; call some times a second.
  void Tick(state::Instant now);

  // Answers announce the end of their connections from now on.
  void Drain();
  // Accepts and reads nothing more; connections end with what they carry.
  void StopReading();

  tcp::endpoint local_endpoint() const { return acceptor_.local_endpoint(); }

  std::size_t connections() const { return connections_.size(); }

 private:
  void Accept();

  asio::io_context& context_;
  tcp::acceptor acceptor_;
  const state::RoutingView& view_;
  RequestRelay& relay_;
  EventLog& log_;
  const RequestSource source_;
  bool draining_ = false;
  asio::steady_timer accept_retry_timer_;
  std::map<CallerConnection*, std::shared_ptr<CallerConnection>> connections_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_CALLER_LISTENER_H_
