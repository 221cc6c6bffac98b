// Tests callers' connections and the relay over real sockets, with the test in
// the roles of the caller and of the backend server.

#include <catch2/catch.hpp>
#include <string>

#include "tests/transport/relay_fixture.h"
#include "transport/clocks.h"

namespace mustardflow::tests {

namespace {

using transport::asio::ip::tcp;

constexpr std::string_view kRequest =
    "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
    "Content-Length: 2\r\n\r\nhi";
constexpr std::string_view kServerAnswer =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Signature: s\r\n"
    "Content-Length: 4\r\n\r\ndone";

state::IngressLimits LimitsOf(std::size_t header_bytes,
                              std::size_t body_bytes) {
  state::IngressLimits limits;
  limits.header_bytes = header_bytes;
  limits.body_bytes = body_bytes;
  return limits;
}

// Returns a request whose caller waits for `deadline_ms`.
std::string RequestWithDeadline(int deadline_ms) {
  return "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
         "X-Deadline-Ms: " +
         std::to_string(deadline_ms) + "\r\nContent-Length: 2\r\n\r\nhi";
}

// Returns a request whose header, up to and with its empty line, and body have
// these sizes.
std::string RequestOf(std::size_t header_bytes, std::size_t body_bytes) {
  std::string header =
      "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
      "Content-Length: " +
      std::to_string(body_bytes) + "\r\nX-Padding: ";
  header.append(header_bytes - header.size() - 4, 'p');
  return header + "\r\n\r\n" + std::string(body_bytes, 'b');
}

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

// Guards against memory that grows with what a caller sends: the parser keeps a
// trailer or the extension of a chunk until it is complete.
TEST_CASE("a trailer and a chunk extension are limited like a header", "[S5]") {
  RelayFixture host;
  state::IngressLimits limits;
  limits.header_bytes = 400;
  host.SetLimits(limits);
  tcp::socket caller = host.ConnectCaller();
  Send(caller,
       "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
       "Transfer-Encoding: chunked\r\n\r\n");
  SECTION("trailer") {
    Send(caller, "0\r\nX-Long: ");
  }
  SECTION("chunk extension") {
    Send(caller, "1;");
  }
  Send(caller, std::string(8 << 10, 'x'));
  CHECK(host.Receive(caller).starts_with("HTTP/1.1 431"));
}

// Guards against bytes on the port for hosts that make the process allocate
// whatever length they state.
TEST_CASE("a gate does not take a forwarded request of any size", "[S5]") {
  RelayFixture host;
  tcp::socket forwarder = host.ConnectHost();
  Send(forwarder,
       "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
       "Content-Length: 1000000000000000\r\n\r\nhi");
  CHECK(host.Receive(forwarder).starts_with("HTTP/1.1 413"));
}

// Guards against a request that ends as unknown although the gate has not
// passed it on: the forwarding host needs the outcome and the id to tell.
TEST_CASE("a gate says that it could not read a forwarded request", "[R3]") {
  RelayFixture host;
  tcp::socket forwarder = host.ConnectHost();
  Send(forwarder,
       "GET /desk/1 HTTP/1.1\r\nX-Attempt-Id: 7\r\nHost: a.example\r\n"
       "Host: b.example\r\n\r\n");
  const std::string answer = host.Receive(forwarder);
  CHECK(answer.starts_with("HTTP/1.1 400"));
  CHECK(Count(answer, "X-Mustardflow-Outcome: unreadable") == 1);
  CHECK(Count(answer, "X-Attempt-Id: 7") == 1);
}

TEST_CASE("a stopping host closes idle connections", "[A1]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  host.Receive(caller);
  host.callers().StopReading();
  CHECK(host.Receive(caller).empty());
  CHECK(host.ended());
}

// A connection may be older than the configuration: judged by limits that are
// no longer in force, a proper request would be rejected for good.
TEST_CASE("a request is judged by the limits in force when it begins", "[R4]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  host.SetLimits(LimitsOf(400, 10));
  Send(caller, kRequest);
  tcp::socket server = host.AcceptFromRelay();
  REQUIRE(Count(host.Receive(server), "POST ") == 1);
  Send(server, kServerAnswer);
  REQUIRE(Count(host.Receive(caller), "HTTP/1.1 200") == 1);

  host.SetLimits(LimitsOf(1000, 100));
  Send(caller, RequestOf(/*header_bytes=*/1000, /*body_bytes=*/100));
  CHECK(Count(host.Receive(server), "POST ") == 1);
  Send(server, kServerAnswer);
  CHECK(Count(host.Receive(caller), "HTTP/1.1 200") == 1);
}

TEST_CASE("a connection from before the first configuration gets its limits",
          "[R4]") {
  RelayFixture host;
  host.RemoveConfig();
  tcp::socket caller = host.ConnectCaller();
  host.Receive(caller);
  constexpr std::size_t kHeaderBytes = 40 << 10;
  host.SetLimits(LimitsOf(kHeaderBytes, 100));
  Send(caller, RequestOf(kHeaderBytes, /*body_bytes=*/100));
  tcp::socket server = host.AcceptFromRelay();
  CHECK(Count(host.Receive(server), "POST ") == 1);
}

TEST_CASE("a limit that is raised while a request arrives counts for it",
          "[R4]") {
  RelayFixture host;
  host.SetLimits(LimitsOf(400, 10));
  tcp::socket caller = host.ConnectCaller();
  SECTION("header, body with a length") {
    const std::string request = RequestOf(1000, 100);
    Send(caller, request.substr(0, 300));
    host.Receive(caller);
    host.SetLimits(LimitsOf(1000, 100));
    Send(caller, request.substr(300));
  }
  SECTION("body in chunks") {
    Send(caller,
         "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
         "Transfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n");
    host.Receive(caller);
    host.SetLimits(LimitsOf(1000, 16));
    Send(caller, "8\r\n12345678\r\n0\r\n\r\n");
  }
  SECTION("limits that are lowered") {
    const std::string request = RequestOf(390, 10);
    Send(caller, request.substr(0, 300));
    host.Receive(caller);
    host.SetLimits(LimitsOf(100, 1));
    Send(caller, request.substr(300));
  }
  tcp::socket server = host.AcceptFromRelay();
  CHECK(Count(host.Receive(server), "POST ") == 1);
}

TEST_CASE("a request above the limits in force is rejected", "[R4]") {
  RelayFixture host;
  host.SetLimits(LimitsOf(400, 16));
  tcp::socket caller = host.ConnectCaller();
  SECTION("header") {
    Send(caller, RequestOf(1000, 16));
    CHECK(host.Receive(caller).starts_with("HTTP/1.1 431"));
  }
  SECTION("body with a length") {
    Send(caller, RequestOf(400, 17));
    CHECK(host.Receive(caller).starts_with("HTTP/1.1 413"));
  }
  SECTION("body in chunks") {
    Send(caller,
         "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
         "Transfer-Encoding: chunked\r\n\r\n8\r\n12345678\r\n"
         "9\r\n123456789\r\n0\r\n\r\n");
    CHECK(host.Receive(caller).starts_with("HTTP/1.1 413"));
  }
  CHECK_FALSE(host.HasNewConnection());
}

// The forwarding host adds fields, and may know limits that this host does not:
// by the limits for callers, a proper request would end here, unknown to the
// host that forwarded it.
TEST_CASE("the limits for callers do not bind forwarded requests", "[R4]") {
  RelayFixture host;
  host.SetLimits(LimitsOf(400, 10));
  tcp::socket forwarding_host = host.ConnectHost();
  SECTION("header") {
    Send(forwarding_host, RequestOf(/*header_bytes=*/600, /*body_bytes=*/10));
  }
  SECTION("body") {
    Send(forwarding_host, RequestOf(/*header_bytes=*/390, /*body_bytes=*/20));
  }
  // Without the forwarding fields, the request gets to the relay but no
  // further.
  const std::string answer = host.Receive(forwarding_host);
  CHECK(Count(answer, "X-Mustardflow-Outcome: ") == 1);
  CHECK(Count(host.LogText(), "malformed-forward") == 1);
}

// HTTP servers must accept a target with scheme and host; it was rejected for
// good. Its host replaces the Host field, also where requests are routed by it.
TEST_CASE("a target in absolute form is routed by its host and path", "[R4]") {
  struct Case {
    std::string_view target;
    std::string_view host_field;
    std::string_view sent_line;
  };
  const auto example = GENERATE(
      Case{"http://a.example/desk/1", "a.example", "GET /desk/1 HTTP/1.1\r\n"},
      Case{"HTTP://A.example:80/desk/1?q=http://b/", "b.example",
           "GET /desk/1?q=http://b/ HTTP/1.1\r\n"},
      Case{"https://a.example/desk/", "", "GET /desk/ HTTP/1.1\r\n"});
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, "GET " + std::string(example.target) +
                   " HTTP/1.1\r\nHost: " + std::string(example.host_field) +
                   "\r\nX-Attempt-Id: 1\r\n\r\n");
  tcp::socket server = host.AcceptFromRelay();
  const std::string sent = host.Receive(server);
  CHECK(sent.starts_with(example.sent_line));
  CHECK(Count(sent, "Host: ") == 1);
  CHECK(Count(sent, "b.example") == 0);
}

TEST_CASE("a target in absolute form without a path asks for the root",
          "[R4]") {
  const std::string target =
      GENERATE("http://a.example", "http://a.example?q", "http://a.example/");
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, "GET " + target +
                   " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n\r\n");
  CHECK(host.Receive(caller).starts_with("HTTP/1.1 404"));
  CHECK(Count(host.LogText(), R"("reason":"a.example/)") == 1);
}

TEST_CASE("a target that is neither a path nor a web address is rejected",
          "[R4]") {
  const std::string target =
      GENERATE("desk/1", "http:///desk/1", "ftp://a.example/desk/1", "http:/x");
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, "GET " + target +
                   " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n\r\n");
  CHECK(host.Receive(caller).starts_with("HTTP/1.1 400"));
}

// Such a request was read as one without a body, or decoded in part. What
// followed its header was taken for the caller's next request, so that a sender
// before this host that reads it otherwise could have one smuggled in.
TEST_CASE("a request with another transfer coding than chunked is rejected",
          "[S5]") {
  const auto [version, fields, status] =
      GENERATE(table<std::string, std::string, std::string>(
          {{"1.1", "Transfer-Encoding: identity\r\n", "501"},
           {"1.1", "Transfer-Encoding: x-unknown\r\n", "501"},
           {"1.1", "Transfer-Encoding: chunked, identity\r\n", "501"},
           {"1.1", "Transfer-Encoding: gzip, chunked\r\n", "501"},
           {"1.1", "Transfer-Encoding: chunked, chunked\r\n", "501"},
           {"1.1", "Transfer-Encoding: chunked;a=b\r\n", "501"},
           {"1.1", "Transfer-Encoding: \r\n", "501"},
           {"1.1", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
            "501"},
           {"1.1", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
            "400"},
           {"1.1", "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
            "400"},
           {"1.0", "Transfer-Encoding: chunked\r\n", "400"},
           {"1.0", "Transfer-Encoding: identity\r\n", "400"}}));
  CAPTURE(version, fields);
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, "POST /desk/1 HTTP/" + version +
                   "\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n" + fields +
                   "\r\n0\r\n\r\n" + std::string(kRequest));
  const std::string answer = host.Receive(caller);
  CHECK(answer.starts_with("HTTP/1.1 " + status));
  CHECK(Count(answer, "HTTP/1.1 ") == 1);
  CHECK(Count(answer, "Connection: close") == 1);
}

TEST_CASE("the transfer coding chunked is accepted in any case", "[S5]") {
  const std::string value = GENERATE("chunked", "Chunked", " chunked ");
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller,
       "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
       "Transfer-Encoding: " +
           value + "\r\n\r\n2\r\nhi\r\n0\r\n\r\n");
  tcp::socket server = host.AcceptFromRelay();
  CHECK(Count(host.Receive(server), "hi") == 1);
}

// Some clients send an empty line after a body or before a request; HTTP asks
// servers to ignore it. It was rejected for good.
TEST_CASE("empty lines before a request are ignored", "[R4]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, "\r\n");
  host.Receive(caller);
  Send(caller, kRequest);
  Send(caller, "\r\n");
  tcp::socket server = host.AcceptFromRelay();
  CHECK(Count(host.Receive(server), "POST ") == 1);
  Send(server, kServerAnswer);
  CHECK(Count(host.Receive(caller), "HTTP/1.1 200") == 1);

  Send(caller, "\r");
  host.Receive(caller);
  Send(caller, "\n\r\n");
  Send(caller, kRequest);
  CHECK(Count(host.Receive(server), "POST ") == 1);
  Send(server, kServerAnswer);
  CHECK(Count(host.Receive(caller), "HTTP/1.1 200") == 1);
}

// An empty line is no request: after it, the connection still counts as idle.
TEST_CASE("an empty line does not keep a stopping host waiting", "[A1]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, "\r\n");
  host.Receive(caller);
  host.callers().StopReading();
  CHECK(host.Receive(caller).empty());
  CHECK(host.ended());
}

// While an earlier answer is outstanding, the interim response has to wait. It
// was then never sent, and the request ended at the time limit.
TEST_CASE("a request behind another one is asked for its body", "[R4]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  Send(caller,
       "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
       "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
  tcp::socket server = host.AcceptFromRelay();
  REQUIRE(Count(host.Receive(server), "POST ") == 1);
  // The time limit does not run while the caller waits to be asked.
  host.callers().Tick(transport::Now() + std::chrono::seconds(60));
  CHECK(host.Receive(caller).empty());
  Send(server, kServerAnswer);
  const std::string answers = host.Receive(caller);
  CHECK(answers.starts_with("HTTP/1.1 200"));
  CHECK(answers.ends_with("HTTP/1.1 100 Continue\r\n\r\n"));
  Send(caller, "hi");
  CHECK(Count(host.Receive(server), "POST ") == 1);
}

// Fields that servers need were dropped when the Connection field named them,
// and servers reject a request without them.
TEST_CASE("fields that servers need are never taken as hop-by-hop", "[R4]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller,
       "GET /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
       "X-Shard-Key: 7\r\nX-Hop: 1\r\n"
       "Connection: X-Attempt-Id, host, x-shard-key, X-Hop\r\n\r\n");
  tcp::socket server = host.AcceptFromRelay();
  const std::string sent = host.Receive(server);
  CHECK(Count(sent, "Host: a.example\r\n") == 1);
  CHECK(Count(sent, "X-Attempt-Id: 1\r\n") == 1);
  CHECK(Count(sent, "X-Shard-Key: 7\r\n") == 1);
  CHECK(Count(sent, "X-Hop: ") == 0);
}

// The parser adds trailer fields to the header: a second id or host got to the
// server, and a second Host field was rejected.
TEST_CASE("trailer fields do not count as header fields", "[R4]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller,
       "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
       "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n"
       "Host: b.example\r\nX-Attempt-Id: 2\r\nX-Shard-Key: 7\r\n\r\n");
  tcp::socket server = host.AcceptFromRelay();
  const std::string sent = host.Receive(server);
  CHECK(Count(sent, "Host: ") == 1);
  CHECK(Count(sent, "X-Attempt-Id: ") == 1);
  CHECK(Count(sent, "X-Shard-Key: ") == 0);
  CHECK(sent.ends_with("\r\n\r\nhi"));
}

// Before the first configuration no limits are known: a request may be within
// those that will come, and must not be rejected for good.
TEST_CASE("without a configuration a large request is told to come again",
          "[R4]") {
  RelayFixture host;
  host.RemoveConfig();
  tcp::socket caller = host.ConnectCaller();
  SECTION("header") {
    Send(caller, RequestOf(/*header_bytes=*/40 << 10, /*body_bytes=*/1));
  }
  SECTION("body") {
    Send(caller,
         "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
         "Content-Length: 100000000\r\n\r\n");
  }
  const std::string answer = host.Receive(caller);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(Count(answer, "Retry-After: 0.50\r\n") == 1);
}

// A request that was complete late in the grace period was passed on and cut
// off at its end, also one that must not be repeated.
TEST_CASE("a stopping host refuses a request that it cannot end in time",
          "[LOST]") {
  RelayFixture host;
  host.profile().bounds.stop_grace = std::chrono::seconds(6);
  host.relay().BeginStop(transport::Now() - std::chrono::milliseconds(5300));
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestWithDeadline(1000));
  const std::string answer = host.ReceiveUntil(caller, "\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(Count(answer, "Retry-After: ") == 1);
  CHECK_FALSE(host.HasNewConnection());
}

// The gate's host stops; the forwarding host can send the request itself.
TEST_CASE("a stopping gate says that it has not sent a late request on",
          "[LOST]") {
  RelayFixture host;
  host.OwnKeys(state::RequestKind::kNonIdempotent);
  host.profile().bounds.stop_grace = std::chrono::seconds(6);
  host.relay().BeginStop(transport::Now() - std::chrono::milliseconds(5300));
  tcp::socket other = host.ConnectHost();
  Send(other,
       "GET /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
       "X-Shard-Key: 5\r\nX-Deadline-Ms: 1000\r\n"
       "X-Mustardflow-Service: desk\r\nX-Mustardflow-Kind: 1\r\n"
       "X-Mustardflow-Target-Ms: 400\r\nX-Mustardflow-Attempts: 1\r\n\r\n");
  const std::string answer = host.ReceiveUntil(other, "\r\n\r\n");
  CHECK(Count(answer, "X-Mustardflow-Outcome: unreadable\r\n") == 1);
  CHECK_FALSE(host.HasNewConnection());
}

// The server stops work at the deadline that it gets.
TEST_CASE("a stopping host gives a server no longer than it has itself",
          "[LOST]") {
  RelayFixture host;
  host.profile().bounds.stop_grace = std::chrono::seconds(6);
  host.relay().BeginStop(transport::Now() - std::chrono::milliseconds(1000));
  host.SetTargetLatency(std::chrono::milliseconds(400));
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestWithDeadline(9000));
  tcp::socket server = host.AcceptFromRelay();
  const std::string arrived = host.ReceiveUntil(server, "\r\n\r\n");
  const std::size_t at = arrived.find("X-Deadline-Ms: ");
  REQUIRE(at != std::string::npos);
  const int left = std::stoi(arrived.substr(at + 15));
  CHECK(left > 4000);
  CHECK(left <= 4600);
}

}  // namespace mustardflow::tests
