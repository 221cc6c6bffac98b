// Answers that a host cannot vouch for must not end a request as rejected.

#include <catch2/catch.hpp>
#include <string>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using state::RequestKind;
using transport::asio::ip::tcp;

constexpr std::string_view kHeadEnd = "\r\n\r\n";

constexpr std::string_view kRequest =
    "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
    "X-Shard-Key: 5\r\nContent-Length: 2\r\n\r\nhi";

std::string Answer(int status, const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nX-Attempt-Id: 1\r\n" + fields +
         "Content-Length: 4\r\n\r\nbody";
}

}  // namespace

// A rejection is final for the caller. Without the server's signature it may
// come from spoiled bytes or from another program at the server's address.
TEST_CASE("a rejection without the server's signature is not passed on",
          "[R4]") {
  const RequestKind kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  const int status = GENERATE(300, 302, 304, 400, 401, 403, 404, 413, 431, 499);
  const std::string fields = GENERATE("", "X-Server-Signature: \r\n");
  CAPTURE(static_cast<int>(kind), status, fields);
  RelayFixture host(kind);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server, Answer(status, fields));
  const std::string answer = host.ReceiveUntil(caller, kHeadEnd);
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(Count(answer, "body") == 0);
  CHECK(Count(host.LogText(), R"("event":"attempt-untrusted","id":"1")") == 1);
}

// A server in a spoiled state may answer any request so. The caller would take
// a 400 as final although no server has judged its request.
TEST_CASE("a server's 400 that says \"not run\" is a refusal", "[R4]") {
  const RequestKind kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  CAPTURE(static_cast<int>(kind));
  RelayFixture host(kind);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server, Answer(400, "X-Not-Executed: 1\r\n"));
  const std::string answer = host.ReceiveUntil(caller, kHeadEnd);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(Count(answer, "Retry-After: ") == 1);
  CHECK(Count(host.LogText(), R"("event":"attempt-not-run","id":"1")") == 1);
}

// Every server refuses a request without an id, so it would be sent in vain,
// and a refusal would make the caller send it again.
TEST_CASE("a request without an id is rejected and not sent", "[R4]") {
  const std::string id = GENERATE("", "X-Attempt-Id: \r\n");
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, "GET /desk/1 HTTP/1.1\r\nHost: a.example\r\n" + id + "\r\n");
  const std::string answer = host.ReceiveUntil(caller, kHeadEnd);
  CHECK(answer.starts_with("HTTP/1.1 400"));
  CHECK_FALSE(host.HasNewConnection());
  CHECK(Count(host.LogText(), R"("event":"no-id")") == 1);
  CHECK(Count(host.MetricsPage(),
              R"({origin="host",reason="no-id",status="400"} 1)") == 1);
}

// The gate has judged what the forwarding host sent, not the caller's request,
// and has sent nothing to the server.
TEST_CASE("a gate that cannot read a forwarded request is bypassed", "[R4]") {
  const RequestKind kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  const int status = GENERATE(400, 408, 413, 431);
  CAPTURE(static_cast<int>(kind), status);
  RelayFixture host;
  host.UseGate(kind);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket gate = host.AcceptAtGate();
  host.ReceiveUntil(gate, "hi");
  Send(gate, Answer(status, "X-Mustardflow-Outcome: failed\r\n"));
  tcp::socket server = host.AcceptFromRelay();
  CHECK(Count(host.ReceiveUntil(server, "hi"), "X-Target-Instance: s1") == 1);
  Send(server, Answer(200, "X-Server-Signature: s\r\n"));
  CHECK(host.ReceiveUntil(caller, "body").starts_with("HTTP/1.1 200"));
}

// Without the outcome it is no gate that answers, and a gate may say "answered"
// only of what the server has signed. Otherwise the server may have run the
// request, and the status is nobody's.
TEST_CASE("an answer that no gate vouches for is not passed on", "[R4]") {
  const RequestKind kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  const std::string bytes =
      GENERATE(Answer(200, "X-Server-Signature: s\r\n"), Answer(400, ""),
               Answer(404, "X-Server-Signature: s\r\n"), Answer(431, ""),
               Answer(503, "X-Not-Executed: 1\r\n"),
               Answer(200, "X-Mustardflow-Outcome: answered\r\n"),
               Answer(404, "X-Mustardflow-Outcome: answered\r\n"),
               Answer(429,
                      "X-Mustardflow-Outcome: answered\r\n"
                      "X-Server-Signature: s\r\n"),
               Answer(200, "X-Mustardflow-Outcome: failed\r\n"),
               Answer(503, "X-Mustardflow-Outcome: failed\r\n"));
  CAPTURE(static_cast<int>(kind), bytes);
  RelayFixture host;
  host.UseGate(kind);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket gate = host.AcceptAtGate();
  host.ReceiveUntil(gate, "hi");
  Send(gate, bytes);
  if (kind == RequestKind::kIdempotent) {
    tcp::socket server = host.AcceptFromRelay();
    host.ReceiveUntil(server, "hi");
    Send(server, Answer(201, "X-Server-Signature: s\r\n"));
    CHECK(host.ReceiveUntil(caller, "body").starts_with("HTTP/1.1 201"));
  } else {
    const std::string answer = host.ReceiveUntil(caller, kHeadEnd);
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(Count(answer, "body") == 0);
    CHECK_FALSE(host.HasNewConnection());
  }
}

// A rejection that the server vouches for must still reach the caller.
TEST_CASE("a signed rejection is passed on unchanged", "[R4]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server, Answer(404, "X-Server-Signature: s\r\n"));
  const std::string answer = host.ReceiveUntil(caller, "body");
  CHECK(answer.starts_with("HTTP/1.1 404"));
  CHECK(answer.ends_with("\r\n\r\nbody"));
}

}  // namespace mustardflow::tests
