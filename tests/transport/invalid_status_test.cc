// Answers whose status HTTP does not have, or that are no final answers. None
// of them may reach a caller as the answer to its request.

#include <catch2/catch.hpp>
#include <string>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using state::RequestKind;
using transport::asio::ip::tcp;

constexpr std::string_view kHeadEnd = "\r\n\r\n";

std::string Request(const std::string& method, const std::string& id) {
  return method + " /desk/" + id +
         " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
         "\r\nX-Shard-Key: 5\r\n" +
         (method == "POST" ? "Content-Length: 2\r\n\r\nhi" : "\r\n");
}

// The head of a signed answer, without the fields that tell the length.
std::string Head(const std::string& status, const std::string& id) {
  return "HTTP/1.1 " + status + " Status\r\nX-Attempt-Id: " + id +
         "\r\nX-Server-Signature: s\r\nX-Mustardflow-Outcome: answered\r\n";
}

std::string Whole(const std::string& status, const std::string& id) {
  return Head(status, id) + "Content-Length: 4\r\n\r\nbody";
}

}  // namespace

// Guards against an answer that reaches the caller, and against a caller that
// waits until its deadline because the answer was taken for an interim one.
TEST_CASE("an invalid status is no answer", "[R4]") {
  const std::string status = GENERATE("000", "099", "001", "20", "2000", "2x0",
                                      "abc", "-20", "", "100", "101", "199");
  const RequestKind kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  const std::string method = GENERATE("GET", "POST");
  const int body = GENERATE(range(0, 4));
  const std::string large(200000, 'x');
  const std::string text =
      body == 0 ? Whole(status, "1")
      : body == 1
          ? Head(status, "1") +
                "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
      : body == 2 ? Head(status, "1") +
                        "Content-Length: " + std::to_string(large.size()) +
                        "\r\n\r\n" + large
                  : Head(status, "1") + "Connection: close\r\n\r\nbody";
  CAPTURE(status, static_cast<int>(kind), method, body);
  RelayFixture host(kind);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, Request(method, "1"));
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, kHeadEnd);
  Send(server, text);
  if (body == 3) {
    server.shutdown(tcp::socket::shutdown_send);
  }
  const std::string answer = host.ReceiveUntil(caller, kHeadEnd);
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(Count(answer, "body") == 0);
  CHECK(Count(answer, "Signature") == 0);
  // The request may have run, and the service has no other server.
  CHECK_FALSE(host.HasNewConnection());
  CHECK(Count(host.LogText(), R"("event":"attempt-lost","id":"1")") == 1);
}

// Guards against an answer that ends with its head and leaves the caller
// waiting until its deadline.
TEST_CASE("an invalid status without a body is no answer", "[R4]") {
  const std::string status = GENERATE("000", "099", "101", "20", "2000", "abc");
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, Request("POST", "1"));
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server, Head(status, "1") + "Content-Length: 0\r\n\r\n");
  CAPTURE(status);
  CHECK(host.ReceiveUntil(caller, kHeadEnd).starts_with("HTTP/1.1 502"));
}

// Guards against an invalid answer, or the bytes after it, that become the
// answer to the next request of the connection.
TEST_CASE("an invalid status affects no pipelined request", "[R4]") {
  const std::string status =
      GENERATE("000", "099", "20", "2000", "abc", "100", "101");
  const bool valid_follows = GENERATE(false, true);
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, Request("POST", "1") + Request("POST", "2"));
  CAPTURE(status, valid_follows);
  // The requests arrive in any order on two connections.
  for (int i = 0; i < 2; ++i) {
    tcp::socket server = host.AcceptFromRelay();
    const bool first =
        Count(host.ReceiveUntil(server, "hi"), "POST /desk/1 ") == 1;
    Send(server,
         first ? Whole(status, "1") + (valid_follows ? Whole("200", "1") : "")
               : Whole("201", "2"));
    host.Receive(server, std::chrono::milliseconds(5));
  }
  const std::string answers = host.ReceiveUntil(caller, "body");
  CHECK(answers.starts_with("HTTP/1.1 502"));
  CHECK(Count(answers, "HTTP/1.1 201") == 1);
  CHECK(Count(answers, "HTTP/1.1 ") == 2);
}

// Guards against an invalid status that passes because a gate is said to vouch
// for it.
TEST_CASE("an invalid status from a gate is no answer", "[R4]") {
  const std::string status =
      GENERATE("000", "099", "20", "2000", "abc", "100", "101");
  const RequestKind kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  CAPTURE(status, static_cast<int>(kind));
  RelayFixture host;
  host.UseGate(kind);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, Request("POST", "1"));
  tcp::socket gate = host.AcceptAtGate();
  host.ReceiveUntil(gate, "hi");
  Send(gate, Whole(status, "1"));
  if (kind == RequestKind::kIdempotent) {
    tcp::socket server = host.AcceptFromRelay();
    host.ReceiveUntil(server, "hi");
    Send(server, Whole("201", "1"));
    CHECK(host.ReceiveUntil(caller, "body").starts_with("HTTP/1.1 201"));
  } else {
    CHECK(host.ReceiveUntil(caller, kHeadEnd).starts_with("HTTP/1.1 502"));
    CHECK_FALSE(host.HasNewConnection());
  }
}

// Guards against interim answers that are taken for invalid ones.
TEST_CASE("an interim answer is passed over", "[R4]") {
  const std::string status = GENERATE("100", "102", "103", "199");
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, Request("POST", "1"));
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server, "HTTP/1.1 " + status + " Status\r\n\r\n" + Whole("200", "1"));
  CAPTURE(status);
  const std::string answer = host.ReceiveUntil(caller, "body");
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(Count(answer, "HTTP/1.1 ") == 1);
}

}  // namespace mustardflow::tests
