// Tests the internal HTTP client with a peer that does not answer.

#include <array>
#include <catch2/catch.hpp>

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
  bool sent = false;
  bool failed = false;
  const auto port = acceptor.local_endpoint().port();
  const auto send_request = [&]() -> transport::awaitable<void> {
    transport::HttpSendOptions options;
    options.sent = &sent;
    const state::Address address{"127.0.0.1", port};
    const auto reply =
        co_await client.Send(address, transport::http::verb::post, "/grant",
                             "{}", milliseconds(50), std::move(options));
    failed = !reply;
  };
  asio::co_spawn(context, send_request(), asio::detached);
  context.run();
  CHECK(sent);
  CHECK(failed);

  std::array<char, 4096> buffer{};
  boost::system::error_code error;
  while (!error) {
    peer.read_some(asio::buffer(buffer), error);
  }
  CHECK(error == asio::error::connection_reset);
}

TEST_CASE("a request without a connection is reported as not sent") {
  asio::io_context context;
  transport::HttpClient client(context.get_executor(), 1000);
  bool sent = false;
  bool failed = false;
  const auto send_request = [&]() -> transport::awaitable<void> {
    transport::HttpSendOptions options;
    options.sent = &sent;
    const state::Address address{"127.0.0.1", 1};
    const auto reply =
        co_await client.Send(address, transport::http::verb::post, "/grant",
                             "{}", milliseconds(50), std::move(options));
    failed = !reply;
  };
  asio::co_spawn(context, send_request(), asio::detached);
  context.run();
  CHECK(failed);
  CHECK_FALSE(sent);
}

}  // namespace mustardflow::tests
