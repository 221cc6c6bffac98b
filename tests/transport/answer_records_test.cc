// What the log and the metrics tell of answers that reject a request.

#include <catch2/catch.hpp>
#include <string>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using transport::asio::ip::tcp;

std::string Request(const std::string& path) {
  return "GET " + path +
         " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 7\r\n\r\n";
}

}  // namespace

TEST_CASE("the records tell apart who rejected a request, and why") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();

  SECTION("the configuration") {
    Send(caller, Request("/none/1"));
    CHECK(host.Receive(caller).starts_with("HTTP/1.1 404"));
    const std::string log = host.LogText();
    CHECK(Count(log, R"("event":"no-route","id":"7")") == 1);
    CHECK(Count(log, R"("reason":"a.example/none/1")") == 1);
    CHECK(Count(log, R"("status":404)") == 1);
    CHECK(Count(log, R"("config":1,"config_age_ms":)") == 1);
    CHECK(Count(host.MetricsPage(),
                R"({origin="host",reason="no-route",status="404"} 1)") == 1);
  }
  SECTION("the connection, before the request was complete") {
    Send(caller,
         "GET /desk/1 HTTP/1.1\r\nX-Attempt-Id: 7\r\nHost: a.example\r\n"
         "Host: b.example\r\n\r\n");
    CHECK(host.Receive(caller).starts_with("HTTP/1.1 400"));
    const std::string log = host.LogText();
    CHECK(Count(log, R"("event":"malformed","id":"7","status":400)") == 1);
    CHECK(Count(log, R"("problem":"not one Host field")") == 1);
    CHECK(Count(host.MetricsPage(),
                R"({origin="host",reason="malformed",status="400"} 1)") == 1);
  }
  SECTION("the server") {
    Send(caller, Request("/desk/1"));
    tcp::socket server = host.AcceptFromRelay();
    host.Receive(server);
    Send(server,
         "HTTP/1.1 404 Not Found\r\nX-Attempt-Id: 7\r\n"
         "X-Server-Signature: s\r\nContent-Length: 0\r\n\r\n");
    CHECK(host.Receive(caller).starts_with("HTTP/1.1 404"));
    CHECK(Count(host.LogText(), R"("event":"rejected-by-server","id":"7")") ==
          1);
    CHECK(Count(host.MetricsPage(),
                R"({origin="server",reason="",status="404"} 1)") == 1);
  }
}

}  // namespace mustardflow::tests
