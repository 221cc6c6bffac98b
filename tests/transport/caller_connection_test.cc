// Tests callers' connections and the relay over real sockets, with the test in
// the roles of the caller and of the backend server.

#include <catch2/catch.hpp>
#include <string>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using transport::asio::ip::tcp;

constexpr std::string_view kRequest =
    "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
    "Content-Length: 2\r\n\r\nhi";
constexpr std::string_view kServerAnswer =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Signature: s\r\n"
    "Content-Length: 4\r\n\r\ndone";

}  // namespace

// Guards against a request that arrives on a busy connection late during a
// shutdown: if it were read, the end of the grace period would cut it off.
TEST_CASE("a stopping host reads no further request on a busy connection",
          "[A1]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket server = host.AcceptFromRelay();
  REQUIRE(Count(host.Receive(server), "POST ") == 1);

  host.callers().Drain();
  host.callers().StopReading();
  Send(caller, kRequest);
  CHECK(host.Receive(server).empty());
  CHECK_FALSE(host.HasNewConnection());
  Send(server, kServerAnswer);
  const std::string answer = host.Receive(caller);
  CHECK(Count(answer, "HTTP/1.1 200") == 1);
  CHECK(Count(answer, "Connection: close") == 1);
  CHECK(host.ended());
}

TEST_CASE("a stopping host answers a request that has arrived in part",
          "[A1]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest.substr(0, 20));
  host.Receive(caller);
  host.callers().Drain();
  host.callers().StopReading();
  Send(caller, kRequest.substr(20));
  tcp::socket server = host.AcceptFromRelay();
  REQUIRE(Count(host.Receive(server), "POST ") == 1);
  Send(server, kServerAnswer);
  CHECK(Count(host.Receive(caller), "HTTP/1.1 200") == 1);
  CHECK(host.ended());
}

TEST_CASE("a stop does not cut off an answer that closes the connection",
          "[A1]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket server = host.AcceptFromRelay();
  REQUIRE(Count(host.Receive(server), "POST ") == 1);
  host.callers().Drain();
  Send(server, kServerAnswer);
  // The answer is being written while the caller sends a further request.
  Send(caller, kRequest);
  host.Receive(server);
  host.callers().StopReading();
  CHECK(Count(host.Receive(caller), "HTTP/1.1 200") == 1);
}

// The answer to a request must not overtake or interleave with the interim
// response, whose write may still be in progress.
TEST_CASE("an answer follows the whole interim response", "[R4]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller,
       "POST /none/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
       "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  const std::string interim = host.Receive(caller);
  CHECK(interim == "HTTP/1.1 100 Continue\r\n\r\n");
  Send(caller, "hi");
  CHECK(host.Receive(caller).starts_with("HTTP/1.1 404"));
}

TEST_CASE("a stopping host closes idle connections", "[A1]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  host.Receive(caller);
  host.callers().StopReading();
  CHECK(host.Receive(caller).empty());
  CHECK(host.ended());
}

}  // namespace mustardflow::tests
