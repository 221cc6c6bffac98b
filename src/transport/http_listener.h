// An HTTP server for requests with small bodies: control messages, operator
// pages, and the programs that stand in for the platform and backend servers.

#ifndef MUSTARDFLOW_TRANSPORT_HTTP_LISTENER_H_
#define MUSTARDFLOW_TRANSPORT_HTTP_LISTENER_H_

#include <cstddef>
#include <functional>
#include <map>
#include <string>

#include "state/document.h"
#include "state/time.h"
#include "transport/asio.h"
#include "transport/http_client.h"

namespace mustardflow::transport {

// A request as it is passed to a handler.
struct HttpRequest {
  http::verb method = http::verb::get;
  // The request target without its query.
  std::string path;
  // The decoded parameters of the query.
  std::map<std::string, std::string> query;
  std::string body;
  http::fields fields;
};

// Limits on connections and requests.
struct ListenerLimits {
  // Invariant: at most kMaxHeldFieldBytes, since handlers get no longer fields.
  std::size_t max_header_bytes = 16 << 10;
  std::size_t max_body_bytes = 16 << 20;
  std::size_t max_connections = 1000;
  // Maximum time for a request to arrive, including the idle time before it.
  // Also the maximum time for writing a reply.
  state::Duration read_timeout = std::chrono::seconds(60);
};

// Listens on an address and passes each request to a handler. A connection
// carries one request at a time.
class HttpListener {
 public:
  using Handler = std::function<awaitable<HttpReply>(HttpRequest)>;

  // Starts to listen; throws boost::system::system_error if that fails.
  HttpListener(asio::any_io_executor executor,
               const state::Address& address,
               const ListenerLimits& limits,
               Handler handler);

  // Accepts connections until Stop(). The listener must outlive the executor's
  // event loop.
  void Start();

  // Stops accepting connections. Each connection closes after its current
  // request; an idle one closes after its next request or at its read timeout.
  void Stop();

 private:
  awaitable<void> AcceptLoop();
  // Serves the requests of one connection until it closes.
  awaitable<void> Serve(tcp::socket socket);

  const asio::any_io_executor executor_;
  tcp::acceptor acceptor_;
  const ListenerLimits limits_;
  const Handler handler_;
  // Number of open connections.
  std::size_t connections_ = 0;
  bool stopping_ = false;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_HTTP_LISTENER_H_
