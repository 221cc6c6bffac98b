// When a host may tell a caller for good that the configuration does not allow
// a request.

#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using transport::asio::ip::tcp;

// A configuration whose only route leads to these services. Of the services,
// "shelf" is keyed and "desk" is not.
std::shared_ptr<const state::RoutingConfig> ConfigOf(
    std::vector<state::WeightedService> services,
    bool complete = true) {
  state::Route route;
  route.name = "route";
  route.hostname = "a.example";
  route.prefix = "/desk/";
  route.services = std::move(services);
  state::ServiceRules keyed;
  keyed.keyed = true;
  return std::make_shared<state::RoutingConfig>(
      2, std::vector<state::Route>{route},
      std::map<std::string, state::ServiceRules>{{"desk", {}},
                                                 {"shelf", keyed}},
      state::IngressLimits(), complete);
}

constexpr std::string_view kRequestWithoutKey =
    "GET /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n\r\n";
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
  SECTION("it could not read all of the configuration") {
    host.view().config = ConfigOf({{"desk", 1}}, false);
  }
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kUnknownRoute);
  const std::string answer = host.Receive(caller);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(Count(answer, "Retry-After: 0.50") == 1);
  CHECK(Count(host.LogText(), R"("reason":"configuration-unconfirmed")") == 1);
}

// Guards against 400 for requests that were on their way when their route was
// moved to a keyed service.
TEST_CASE("a request that lacks a key since a change may come again", "[Z7]") {
  RelayFixture host;
  host.view().config = ConfigOf({{"shelf", 1}});
  tcp::socket caller = host.ConnectCaller();

  SECTION("as long as callers may not know of the change") {
    host.view().config_since = transport::Now();
    Send(caller, kRequestWithoutKey);
    CHECK(host.Receive(caller).starts_with("HTTP/1.1 503"));
    CHECK(Count(host.LogText(), R"("reason":"configuration-recent")") == 1);
  }
  SECTION("but not later") {
    host.view().config_since = transport::Now() -
                               host.profile().bounds.config_apply -
                               std::chrono::milliseconds(1);
    Send(caller, kRequestWithoutKey);
    CHECK(host.Receive(caller).starts_with("HTTP/1.1 400"));
    CHECK(Count(host.LogText(), R"("event":"no-key")") == 1);
  }
}

// Guards against 413 and 431 by limits that a newer configuration has raised.
TEST_CASE("a host that may lack a configuration does not reject by its limits",
          "[Z7]") {
  RelayFixture host;
  state::IngressLimits limits;
  limits.header_bytes = 500;
  limits.body_bytes = 1000;
  host.SetLimits(limits);
  host.view().config_confirmed_at.reset();
  tcp::socket caller = host.ConnectCaller();
  std::string request = "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\n";
  SECTION("of a header") {
    request += "X-Long: " + std::string(500, 'x') + "\r\n\r\n";
  }
  SECTION("of a body") {
    request += "Content-Length: 1001\r\n\r\n";
  }
  Send(caller, request);
  const std::string answer = host.Receive(caller);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(Count(answer, "Retry-After: 0.50") == 1);
  CHECK(Count(answer, "Connection: close") == 1);
}

TEST_CASE("a request of a route that could not be read may come again",
          "[Z7]") {
  RelayFixture host;
  host.view().config = ConfigOf({});
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequestWithoutKey);
  CHECK(host.Receive(caller).starts_with("HTTP/1.1 503"));
  CHECK(Count(host.LogText(), R"("reason":"route-unreadable")") == 1);
}

TEST_CASE("a host with the newest configuration rejects at once", "[Z7]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kUnknownRoute);
  CHECK(host.Receive(caller).starts_with("HTTP/1.1 404"));
}

// Guards against 400 for some of the requests without a key while a route is
// split between a keyed service and another.
TEST_CASE("requests without a key go to the unkeyed part of a split", "[Z7]") {
  RelayFixture host;
  host.view().config = ConfigOf({{"desk", 1}, {"shelf", 3}});
  for (int i = 0; i < 8; ++i) {
    tcp::socket caller = host.ConnectCaller();
    Send(caller, kRequestWithoutKey);
    tcp::socket server = host.AcceptFromRelay();
    CHECK(Count(host.Receive(server), "GET /desk/1") == 1);
    Send(server,
         "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Signature: s\r\n"
         "Connection: close\r\nContent-Length: 0\r\n\r\n");
    CHECK(host.Receive(caller).starts_with("HTTP/1.1 200"));
  }
}

}  // namespace mustardflow::tests
