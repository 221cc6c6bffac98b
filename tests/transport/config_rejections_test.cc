// When a host may tell a caller for good that the configuration does not allow
// a request.

#include <catch2/catch.hpp>
#include <chrono>
#include <string_view>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using transport::asio::ip::tcp;

constexpr std::string_view kUnknownRoute =
    "GET /new/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n\r\n";

}  // namespace

// Guards against 404 for a route that was added while the host was out of touch
// with the store and the leader.
TEST_CASE("a host that may lack a configuration does not reject for good",
          "[Z7]") {
  RelayFixture host;
  SECTION("it has not heard of the configuration for too long") {
    host.view().config_confirmed_at = transport::Now() -
                                      host.profile().bounds.config_apply -
                                      std::chrono::milliseconds(1);
  }
  SECTION("it knows that there is a newer one") {
    host.view().config_confirmed_at.reset();
  }
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kUnknownRoute);
  const std::string answer = host.Receive(caller);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(Count(answer, "Retry-After: 0.50") == 1);
  CHECK(Count(host.LogText(), R"("reason":"configuration-unconfirmed")") == 1);
}

TEST_CASE("a host with the newest configuration rejects at once", "[Z7]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kUnknownRoute);
  CHECK(host.Receive(caller).starts_with("HTTP/1.1 404"));
}

}  // namespace mustardflow::tests
