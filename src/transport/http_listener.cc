// Accepts connections and serves their requests.

#include "transport/http_listener.h"

#include <utility>

#include "protocol/url.h"
#include "transport/request_parser.h"

namespace mustardflow::transport {

namespace {

// Delay before accepting is retried after an error, for example when the
// process has no free file descriptor.
constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);

}  // namespace

HttpListener::HttpListener(asio::any_io_executor executor,
                           const state::Address& address,
                           const ListenerLimits& limits,
                           Handler handler)
    : executor_(std::move(executor)),
      acceptor_(executor_),
      limits_(limits),
      handler_(std::move(handler)) {
  const tcp::endpoint endpoint = ToEndpoint(address);
  acceptor_.open(endpoint.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(endpoint);
  acceptor_.listen();
}

void HttpListener::Start() {
  asio::co_spawn(executor_, AcceptLoop(), asio::detached);
}

void HttpListener::Stop() {
  stopping_ = true;
  beast::error_code ignored;
  acceptor_.close(ignored);
}

awaitable<void> HttpListener::AcceptLoop() {
  while (!stopping_) {
    auto [error, socket] = co_await acceptor_.async_accept(kNoThrow);
    if (error && !stopping_) {
      asio::steady_timer timer(executor_, kAcceptRetryDelay);
      co_await timer.async_wait(kNoThrow);
      continue;
    }
    if (error || connections_ >= limits_.max_connections) {
      continue;
    }
    asio::co_spawn(executor_, Serve(std::move(socket)), asio::detached);
  }
}

awaitable<void> HttpListener::Serve(tcp::socket socket) {
  ++connections_;
  beast::tcp_stream stream(std::move(socket));
  beast::error_code ignored;
  stream.socket().set_option(tcp::no_delay(true), ignored);
  beast::flat_buffer buffer(limits_.max_header_bytes + kMaxChunkLineBytes);
  bool keep = true;
  while (keep && !stopping_) {
    RequestParser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
    parser.body_limit(limits_.max_body_bytes);
    stream.expires_after(limits_.read_timeout);
    const auto [read_error, read] =
        co_await http::async_read(stream, buffer, parser, kNoThrow);
    if (read_error) {
      break;
    }
    auto message = parser.release();
    HttpRequest request;
    request.method = message.method();
    protocol::SplitRequestTarget(message.target(), &request.path,
                                 &request.query);
    request.body = std::move(message.body());
    request.fields = message.base();
    const bool keep_alive = message.keep_alive();
    stream.expires_never();
    HttpReply reply = co_await handler_(std::move(request));
    http::response<http::string_body> response(
        static_cast<http::status>(reply.status), message.version());
    response.set(http::field::content_type, reply.content_type);
    for (const auto& [name, value] : reply.fields) {
      response.set(name, value);
    }
    response.body() = std::move(reply.body);
    keep = keep_alive && !stopping_;
    response.keep_alive(keep);
    response.prepare_payload();
    stream.expires_after(limits_.read_timeout);
    const auto [write_error, written] =
        co_await http::async_write(stream, response, kNoThrow);
    if (write_error) {
      break;
    }
  }
  stream.socket().shutdown(tcp::socket::shutdown_both, ignored);
  --connections_;
}

}  // namespace mustardflow::transport
