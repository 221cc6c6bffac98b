// The small client against a peer that does not answer.

#include <array>
#include <catch2/catch.hpp>

#include "transport/http_client.h"

namespace mustardflow::tests {

namespace {

using transport::asio::ip::tcp;
namespace asio = transport::asio;
using std::chrono::milliseconds;

}  // namespace

// Seen on ppcc-gateway, mix --seed 18703933206: a grant that had been given up
// arrived when a cut healed, five seconds later, and counted from then.
TEST_CASE("a call that is given up resets its connection", "[O1]") {
  asio::io_context context;
  tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
  tcp::socket peer(context);
  acceptor.async_accept(peer, [](const boost::system::error_code&) {});

  transport::HttpClient client(context.get_executor(), 1000);
  bool sent = false;
  bool failed = false;
  const auto port = acceptor.local_endpoint().port();
  const auto call = [&]() -> transport::awaitable<void> {
    transport::HttpSendOptions options;
    options.sent = &sent;
    const state::Address address{"127.0.0.1", port};
    const auto reply =
        co_await client.Send(address, transport::http::verb::post, "/grant",
                             "{}", milliseconds(50), std::move(options));
    failed = !reply;
  };
  asio::co_spawn(context, call(), asio::detached);
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

TEST_CASE("a call without a connection has sent nothing") {
  asio::io_context context;
  transport::HttpClient client(context.get_executor(), 1000);
  bool sent = false;
  bool failed = false;
  const auto call = [&]() -> transport::awaitable<void> {
    transport::HttpSendOptions options;
    options.sent = &sent;
    const state::Address address{"127.0.0.1", 1};
    const auto reply =
        co_await client.Send(address, transport::http::verb::post, "/grant",
                             "{}", milliseconds(50), std::move(options));
    failed = !reply;
  };
  asio::co_spawn(context, call(), asio::detached);
  context.run();
  CHECK(failed);
  CHECK_FALSE(sent);
}

}  // namespace mustardflow::tests
