// Answers of backend servers that are late, doubled, broken off or without end.

#include <catch2/catch.hpp>
#include <string>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using state::RequestKind;
using transport::asio::ip::tcp;

std::string Request(const std::string& id) {
  return "POST /desk/" + id +
         " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
         "\r\nContent-Length: 2\r\n\r\nhi";
}

std::string Answer(const std::string& id, const std::string& body) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + id +
         "\r\nX-Server-Signature: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

constexpr std::string_view kSuccess = "HTTP/1.1 200";

const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Signature: s\r\n"
    "X-Mustardflow-Outcome: answered\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string KeyedRequest() {
  return "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
         "X-Shard-Key: 5\r\nContent-Length: 2\r\n\r\nhi";
}

// A refusal of a server that is not full.
std::string RefusalAtRandom() {
  return "HTTP/1.1 503 Busy\r\nX-Attempt-Id: 1\r\nX-Not-Executed: 1\r\n"
         "X-Server-Load: 1,0,6\r\nContent-Length: 0\r\n\r\n";
}

// Returns the connection on which the request arrives once more: `used`, or
// another one.
tcp::socket NextTry(RelayFixture& host, tcp::socket used) {
  if (Count(host.Receive(used), "hi") == 1) {
    return used;
  }
  tcp::socket fresh = host.AcceptFromRelay();
  host.ReceiveUntil(fresh, "hi");
  return fresh;
}

// Returns the text again and again, about 4 KB in all.
std::string Repeated(std::string_view text) {
  std::string repeated;
  while (repeated.size() < 4096) {
    repeated += text;
  }
  return repeated;
}

// Enough to exceed any limit on one answer of the host in the fixture.
constexpr std::size_t kEndless = 64 << 20;

}  // namespace

TEST_CASE("a late second copy of an answer does not reach the next caller",
          "[R4]") {
  RelayFixture host;
  tcp::socket first = host.ConnectCaller();
  Send(first, Request("1"));
  tcp::socket server = host.AcceptFromRelay();
  REQUIRE(Count(host.Receive(server), "POST ") == 1);
  Send(server, Answer("1", "one"));
  REQUIRE(Count(host.Receive(first), "one") == 1);
  tcp::socket second = host.ConnectCaller();
  Send(second, Request("2"));
  REQUIRE(Count(host.Receive(server), "POST ") == 1);

  SECTION("with the id of the first request") {
    Send(server, Answer("1", "one") + Answer("2", "two"));
    const std::string answer = host.Receive(second);
    CHECK(Count(answer, "one") == 0);
    CHECK(Count(answer, "two") == 1);
  }
  SECTION("without an id") {
    Send(server,
         "HTTP/1.1 200 OK\r\nX-Server-Signature: s\r\n"
         "Content-Length: 3\r\n\r\none");
    const std::string answer = host.Receive(second);
    CHECK(Count(answer, "one") == 0);
    CHECK(Count(answer, "HTTP/1.1 502") == 1);
  }
  SECTION("a refusal without an id is not the answer either") {
    Send(server,
         "HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"
         "Content-Length: 0\r\n\r\n");
    CHECK(Count(host.Receive(second), "HTTP/1.1 502") == 1);
  }
}

TEST_CASE("a second copy that arrives on an idle connection ends it", "[R4]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, Request("1"));
  tcp::socket server = host.AcceptFromRelay();
  host.Receive(server);
  Send(server, Answer("1", "one"));
  REQUIRE(Count(host.Receive(caller), "one") == 1);
  Send(server, Answer("1", "one"));
  host.Receive(server);
  CHECK(host.ended());
  CHECK(host.Receive(caller).empty());
}

TEST_CASE("an answer that breaks off does not look complete", "[R4]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, Request("1"));
  tcp::socket server = host.AcceptFromRelay();
  host.Receive(server);
  const std::string head =
      "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Signature: s\r\n";

  SECTION("with a length") {
    Send(server, head + "Content-Length: 10\r\n\r\nhalf");
    server.close();
  }
  SECTION("in chunks") {
    Send(server, head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    server.close();
  }
  SECTION("without a length, reset") {
    Send(server, head + "\r\nhalf");
    host.Receive(caller);
    server.set_option(transport::asio::socket_base::linger(true, 0));
    server.close();
  }
  const std::string answer = host.Receive(caller);
  CHECK(Count(answer, kSuccess) == 0);
  CHECK(Count(answer, "HTTP/1.1 502") == 1);
}

TEST_CASE("an answer without a length ends with its connection", "[R4]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, Request("1"));
  tcp::socket server = host.AcceptFromRelay();
  host.Receive(server);
  Send(server,
       "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Signature: s\r\n"
       "\r\nwhole");
  server.close();
  const std::string answer = host.Receive(caller);
  CHECK(Count(answer, kSuccess) == 1);
  CHECK(Count(answer, "whole") == 1);
}

TEST_CASE("bytes without end are cut off, and the caller learns at once",
          "[S5]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, Request("1"));
  tcp::socket server = host.AcceptFromRelay();
  host.Receive(server);
  const std::string chunk(4096, 'x');
  std::string endless = chunk;

  SECTION("in a head") {
    Send(server, "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Long: ");
  }
  SECTION("in a body without a length") {
    Send(server,
         "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Signature: s\r\n"
         "\r\n");
  }
  SECTION("in chunks") {
    Send(server,
         "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Signature: s\r\n"
         "Transfer-Encoding: chunked\r\n\r\n");
    endless = "1000\r\n" + chunk + "\r\n";
  }
  SECTION("in the fields of a head") {
    Send(server, "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n");
    endless = Repeated("X-Any: 1\r\n");
  }
  SECTION("in the size of a chunk") {
    Send(server, kChunkedHead + "3;");
  }
  SECTION("in the extension of a chunk") {
    Send(server, kChunkedHead + "3;x=\"");
  }
  SECTION("in a field after the chunks") {
    Send(server, kChunkedHead + "3\r\nown\r\n0\r\nX-Long: ");
  }
  SECTION("in the fields after the chunks") {
    Send(server, kChunkedHead + "3\r\nown\r\n0\r\n");
    endless = Repeated("X-Any: 1\r\n");
  }
  SECTION("in interim answers") {
    endless = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
  }
  SECTION("in answers to other requests") {
    endless = Answer("0", "late");
  }
  SECTION("in bytes that are no answer") {}
  CHECK(host.SendUntilClosed(server, endless, kEndless) < kEndless / 4);
  CHECK(Count(host.Receive(caller), "HTTP/1.1 502") == 1);
}

// Guards against a process that ends by such an answer: the parser throws if a
// field is longer than it can hold.
TEST_CASE("a long line after the chunks is no answer", "[S5]") {
  const std::size_t size = GENERATE(65000, 65534, 65536, 70000, 1 << 20);
  const bool at_gate = GENERATE(false, true);
  CAPTURE(size, at_gate);
  RelayFixture host;
  if (at_gate) {
    host.UseGate(RequestKind::kNonIdempotent);
  }
  tcp::socket caller = host.ConnectCaller();
  Send(caller, KeyedRequest());
  tcp::socket server = at_gate ? host.AcceptAtGate() : host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server, kChunkedHead + "3\r\nown\r\n0\r\nnoise: ");
  host.SendUntilClosed(server, std::string(size, '#') + "\r\n\r\n", size);
  const std::string answer = host.ReceiveUntil(caller, "\r\n\r\n");
  constexpr std::size_t kLongestLine = 65000;
  CHECK(answer.starts_with(size > kLongestLine ? "HTTP/1.1 502" : kSuccess));
}

TEST_CASE("an idempotent request is sent again after bytes without end",
          "[S5]") {
  RelayFixture host(RequestKind::kIdempotent);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, Request("1"));
  tcp::socket server = host.AcceptFromRelay();
  host.Receive(server);
  Send(server, "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n\r\n");
  CHECK(host.SendUntilClosed(server, std::string(4096, 'x'), kEndless) <
        kEndless / 4);
  // There is no other server, so the caller gets a final answer.
  CHECK(Count(host.Receive(caller), "HTTP/1.1 502") == 1);
}

// The load that a refusal reports shows whether the server is full.
TEST_CASE(
    "a request is tried again after a refusal of a server with free slots",
    "[R2]") {
  RelayFixture host(RequestKind::kNonIdempotent);
  host.OwnKeys(RequestKind::kNonIdempotent);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, KeyedRequest());
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server, RefusalAtRandom());
  tcp::socket again = NextTry(host, std::move(server));
  Send(again, Answer("1", "one"));
  CHECK(Count(host.ReceiveUntil(caller, "one"), "HTTP/1.1 200") == 1);
}

// The copy has the id of the request that is tried again, so it looked like the
// answer to the second try: the caller was told "not run" of a request that the
// server was running.
TEST_CASE("a second copy of a refusal does not refuse the next try",
          "[REFUSED]") {
  const RequestKind kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  RelayFixture host(kind);
  host.OwnKeys(kind);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, KeyedRequest());
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server, RefusalAtRandom());
  host.Receive(server);
  Send(server, RefusalAtRandom());
  CHECK(Count(host.Receive(caller), "HTTP/1.1 503") == 0);
  auto fresh = host.AcceptWaiting();
  REQUIRE(fresh);
  host.ReceiveUntil(*fresh, "hi");
  Send(*fresh, Answer("1", "one"));
  CHECK(Count(host.ReceiveUntil(caller, "one"), "HTTP/1.1 200") == 1);
}

// An earlier refusal may come before, with or after the real answer.
TEST_CASE("a copy of an earlier refusal is no answer to another request",
          "[REFUSED]") {
  const std::string id_line = GENERATE("X-Attempt-Id: 1\r\n", "");
  const int place = GENERATE(0, 1, 2);
  CAPTURE(id_line, place);
  const std::string refusal = "HTTP/1.1 503 Busy\r\n" + id_line +
                              "X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  RelayFixture host;
  tcp::socket first = host.ConnectCaller();
  Send(first, Request("1"));
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server,
       "HTTP/1.1 503 Busy\r\nX-Attempt-Id: 1\r\nX-Not-Executed: 1\r\n"
       "Content-Length: 0\r\n\r\n");
  REQUIRE(Count(host.Receive(first), "HTTP/1.1 503") == 1);
  tcp::socket second = host.ConnectCaller();
  Send(second, Request("2"));
  REQUIRE(Count(host.ReceiveUntil(server, "hi"), "POST ") == 1);
  const std::string real = Answer("2", "two");
  std::string answer;
  if (place == 0) {
    Send(server, refusal);
    answer = host.Receive(second, std::chrono::milliseconds(20));
  }
  // The host may have reset the connection.
  boost::system::error_code ignored;
  for (const std::string& text :
       {place == 1 ? refusal : "", real, place == 2 ? refusal : ""}) {
    transport::asio::write(server, transport::asio::buffer(text), ignored);
  }
  answer += host.Receive(second);
  // Nothing tells the host that the request was not run.
  CHECK(Count(answer, "HTTP/1.1 503") == 0);
  CHECK(Count(answer, "HTTP/1.1") == 1);
}

// The caller got a success with an empty or short body, framed as whole.
TEST_CASE("a head that breaks off is no answer", "[MIXED]") {
  const std::string version = GENERATE("HTTP/1.1", "HTTP/1.0");
  const std::string length = GENERATE("Content-Length: 3\r\n", "");
  const bool by_gate = GENERATE(false, true);
  CAPTURE(version, length, by_gate);
  const std::string head = version +
                           " 200 OK\r\nX-Attempt-Id: 1\r\n"
                           "X-Server-Signature: s\r\n"
                           "X-Mustardflow-Outcome: answered\r\n" +
                           length + "\r\n";
  for (std::size_t size = 1; size < head.size(); ++size) {
    RelayFixture host;
    if (by_gate) {
      host.UseGate(RequestKind::kNonIdempotent);
    }
    tcp::socket caller = host.ConnectCaller();
    Send(caller,
         "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
         "X-Shard-Key: 5\r\nContent-Length: 2\r\n\r\nhi");
    tcp::socket server = by_gate ? host.AcceptAtGate() : host.AcceptFromRelay();
    host.ReceiveUntil(server, "hi");
    Send(server, head.substr(0, size));
    server.close();
    const std::string answer = host.ReceiveUntil(caller, "\r\n\r\n");
    CAPTURE(head.substr(0, size));
    CHECK(answer.starts_with("HTTP/1.1 502"));
  }
}

}  // namespace mustardflow::tests
