// Tests the internal HTTP client with a peer that does not answer.

#include <array>
#include <catch2/catch.hpp>
#include <string>

#include "transport/http_client.h"

namespace mustardflow::tests {

namespace {

using transport::asio::ip::tcp;
namespace asio = transport::asio;
using std::chrono::milliseconds;

}  // namespace

// Guards against a grant that arrives after its request timed out: without the
// reset it arrived five seconds late, when a network partition healed, and its
// duration was counted from that moment.
TEST_CASE("a request that times out resets its connection", "[O1]") {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket peer(context);
  acceptor.async_accept(peer, [](const boost::system::error_code&) {});

  transport::HttpClient client(context.get_executor(), 1000);
  transport::HttpSendTrace trace;
  bool failed = false;
  const auto port = acceptor.local_endpoint().port();
  const auto send_request = [&]() -> transport::awaitable<void> {
    transport::HttpSendOptions options;
    options.trace = &trace;
    const state::Address address{"127.0.0.1", port};
    const auto reply =
        co_await client.Send(address, transport::http::verb::post, "/grant",
                             "{}", milliseconds(50), std::move(options));
    failed = !reply;
  };
  asio::co_spawn(context, send_request(), asio::detached);
  context.run();
  CHECK(trace.sent);
  CHECK(failed);

  std::array<char, 4096> buffer{};
  boost::system::error_code error;
  while (!error) {
    peer.read_some(asio::buffer(buffer), error);
  }
  CHECK(error == asio::error::connection_reset);
}

// Guards against a long reply over a busy link that is cut off shortly before
// its end, again and again.
TEST_CASE("a reply that keeps arriving may take longer than the timeout",
          "[L1]") {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  const int parts = GENERATE(6, 3);
  const auto pause = GENERATE(milliseconds(40), milliseconds(120));
  const bool arrives_in_time = pause == milliseconds(40);
  const auto serve = [&]() -> transport::awaitable<void> {
    tcp::socket peer = co_await acceptor.async_accept(asio::use_awaitable);
    std::string head = "HTTP/1.1 200 OK\r\nContent-Length: ";
    head += std::to_string(parts) + "\r\n\r\n";
    co_await asio::async_write(peer, asio::buffer(head), transport::kNoThrow);
    boost::system::error_code error;
    for (int part = 0; part < parts && !error; ++part) {
      asio::steady_timer timer(context, pause);
      co_await timer.async_wait(transport::kNoThrow);
      const auto [write_error, written] = co_await asio::async_write(
          peer, asio::buffer("x", 1), transport::kNoThrow);
      error = write_error;
    }
  };
  std::string body;
  const auto fetch = [&]() -> transport::awaitable<void> {
    transport::HttpClient client(context.get_executor(), 1000);
    transport::HttpSendOptions options;
    options.transfer_time = std::chrono::seconds(1);
    const state::Address address{"127.0.0.1", acceptor.local_endpoint().port()};
    const auto reply =
        co_await client.Send(address, transport::http::verb::get, "/", "",
                             milliseconds(80), std::move(options));
    body = reply ? reply.value().body : "";
  };
  asio::co_spawn(context, serve(), asio::detached);
  asio::co_spawn(context, fetch(), asio::detached);
  context.run();
  CHECK(body == (arrives_in_time
                     ? std::string(static_cast<std::size_t>(parts), 'x')
                     : ""));
}

TEST_CASE("a request without a connection is reported as not sent") {
  asio::io_context context;
  transport::HttpClient client(context.get_executor(), 1000);
  transport::HttpSendTrace trace;
  bool failed = false;
  const auto send_request = [&]() -> transport::awaitable<void> {
    transport::HttpSendOptions options;
    options.trace = &trace;
    const state::Address address{"127.0.0.1", 1};
    const auto reply =
        co_await client.Send(address, transport::http::verb::post, "/grant",
                             "{}", milliseconds(50), std::move(options));
    failed = !reply;
  };
  asio::co_spawn(context, send_request(), asio::detached);
  context.run();
  CHECK(failed);
  CHECK_FALSE(trace.sent);
}

}  // namespace mustardflow::tests
