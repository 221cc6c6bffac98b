// Tests requests with fields that are longer than http::fields can hold: 65,533
// bytes for a name and for a value.

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using transport::asio::ip::tcp;

constexpr std::size_t kHeaderLimit = 128 << 10;
constexpr std::size_t kLongBytes = 70'000;
constexpr std::string_view kBegin =
    "GET /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
    "X-Shard-Key: 7\r\n";
constexpr std::string_view kServerAnswer =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Signature: s\r\n"
    "Content-Length: 4\r\n\r\ndone";

std::string Line(std::string_view name, std::string_view value) {
  return std::string(name) + ": " + std::string(value) + "\r\n";
}

std::string LongLine(std::string_view name) {
  return Line(name, std::string(kLongBytes, 'l'));
}

void AllowLargeHeaders(RelayFixture& host) {
  state::IngressLimits limits;
  limits.header_bytes = kHeaderLimit;
  host.SetLimits(limits);
}

// Sends `text` in parts of `part_bytes` and runs the host after each.
void SendInParts(RelayFixture& host,
                 tcp::socket& socket,
                 const std::string& text,
                 std::size_t part_bytes) {
  for (std::size_t begin = 0; begin < text.size(); begin += part_bytes) {
    Send(socket, text.substr(begin, part_bytes));
    host.Run(std::chrono::milliseconds(1));
  }
}

// Returns the status line of the answer to a request that no server may get.
std::string RejectionOf(RelayFixture& host, const std::string& request) {
  tcp::socket caller = host.ConnectCaller();
  Send(caller, request);
  const std::string answer = host.ReceiveUntil(caller, "\r\n\r\n");
  CHECK_FALSE(host.HasNewConnection());
  return answer.substr(0, answer.find("\r\n"));
}

}  // namespace

// Guards against a process that ends by a request within the operator's limits:
// the parser threw std::length_error.
TEST_CASE("a request with a field of any length within the limit is served",
          "[fields]") {
  const std::size_t value_bytes =
      GENERATE(std::size_t{65'533}, std::size_t{65'534}, kLongBytes);
  const std::size_t part_bytes = GENERATE(std::size_t{1} << 20, 5'000);
  CAPTURE(value_bytes, part_bytes);
  RelayFixture host;
  AllowLargeHeaders(host);
  tcp::socket other_caller = host.ConnectCaller();
  Send(other_caller, std::string(kBegin) + "\r\n");
  tcp::socket other_server = host.AcceptFromRelay();
  REQUIRE(Count(host.ReceiveUntil(other_server, "\r\n\r\n"), "GET ") == 1);

  const std::string line = Line("Cookie", std::string(value_bytes, 'c'));
  tcp::socket caller = host.ConnectCaller();
  SendInParts(host, caller, std::string(kBegin) + line + "X-Last: 1\r\n\r\n",
              part_bytes);
  tcp::socket server = host.AcceptFromRelay();
  const std::string sent = host.ReceiveUntil(server, "\r\n\r\n");
  CHECK(Count(sent, line) == 1);
  CHECK(Count(sent, "X-Last: 1\r\n") == 1);
  Send(server, kServerAnswer);
  CHECK(Count(host.ReceiveUntil(caller, "done"), "HTTP/1.1 200") == 1);
  // The connection still serves requests, and so does the other one.
  Send(caller, std::string(kBegin) + "\r\n");
  CHECK(Count(host.ReceiveUntil(server, "\r\n\r\n"), "GET ") == 1);
  Send(other_server, kServerAnswer);
  CHECK(Count(host.ReceiveUntil(other_caller, "done"), "HTTP/1.1 200") == 1);
}

TEST_CASE("a field with a long name is passed on", "[fields]") {
  RelayFixture host;
  AllowLargeHeaders(host);
  tcp::socket caller = host.ConnectCaller();
  const std::string line = Line(std::string(kLongBytes, 'n'), "v");
  Send(caller, std::string(kBegin) + line + "\r\n");
  tcp::socket server = host.AcceptFromRelay();
  CHECK(Count(host.ReceiveUntil(server, "\r\n\r\n"), line) == 1);
}

// The order of lines with the same name has a meaning (RFC 9110, section 5.3).
TEST_CASE("a long field stays between others of its name", "[fields]") {
  RelayFixture host;
  AllowLargeHeaders(host);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, std::string(kBegin) + Line("X-List", "first") +
                   LongLine("x-list") + Line("X-List", "last") + "\r\n");
  tcp::socket server = host.AcceptFromRelay();
  const std::string sent = host.ReceiveUntil(server, "\r\n\r\n");
  const std::size_t first = sent.find(Line("X-List", "first"));
  const std::size_t between = sent.find(LongLine("x-list"));
  const std::size_t last = sent.find(Line("X-List", "last"));
  REQUIRE(last != std::string::npos);
  CHECK(first < between);
  CHECK(between < last);
}

TEST_CASE("a long field that the Connection field names is not passed on",
          "[fields]") {
  RelayFixture host;
  AllowLargeHeaders(host);
  tcp::socket caller = host.ConnectCaller();
  Send(caller,
       std::string(kBegin) + LongLine("X-Hop") + "Connection: x-hop\r\n\r\n");
  tcp::socket server = host.AcceptFromRelay();
  const std::string sent = host.ReceiveUntil(server, "\r\n\r\n");
  CHECK(Count(sent, "GET /desk/1") == 1);
  CHECK(Count(sent, "X-Hop") == 0);
}

// Guards against the end of a gate's process by such a request, and against a
// gate that loses the field.
TEST_CASE("a gate gets a long field and passes it on", "[fields]") {
  RelayFixture host;
  host.UseGate(state::RequestKind::kIdempotent);
  AllowLargeHeaders(host);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, std::string(kBegin) + LongLine("Cookie") + "\r\n");
  tcp::socket at_gate = host.AcceptAtGate();
  const std::string forwarded = host.ReceiveUntil(at_gate, "\r\n\r\n");
  REQUIRE(Count(forwarded, LongLine("Cookie")) == 1);

  RelayFixture gate;
  gate.OwnKeys(state::RequestKind::kIdempotent);
  tcp::socket forwarder = gate.ConnectHost();
  Send(forwarder, forwarded);
  tcp::socket server = gate.AcceptFromRelay();
  CHECK(Count(gate.ReceiveUntil(server, "\r\n\r\n"), LongLine("Cookie")) == 1);
}

// Guards against the end of the process by a trailer within the limit.
TEST_CASE("a long trailer field is dropped", "[fields]") {
  RelayFixture host;
  AllowLargeHeaders(host);
  tcp::socket caller = host.ConnectCaller();
  Send(caller,
       "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
       "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n" +
           LongLine("X-Long") + "\r\n");
  tcp::socket server = host.AcceptFromRelay();
  const std::string sent = host.ReceiveUntil(server, "hi");
  CHECK(Count(sent, "POST /desk/1") == 1);
  CHECK(Count(sent, "X-Long") == 0);
}

// What a host reads itself must fit: the rest of the request would be taken for
// one without the field.
TEST_CASE("a long field that hosts interpret is rejected", "[fields]") {
  const std::string name =
      GENERATE("host", "X-Attempt-Id", "X-Shard-Key", "X-Deadline-Ms",
               "X-Credential", "Connection", "Expect", "X-Mustardflow-Service");
  CAPTURE(name);
  RelayFixture host;
  AllowLargeHeaders(host);
  CHECK(RejectionOf(host, std::string(kBegin) + LongLine(name) + "\r\n")
            .starts_with("HTTP/1.1 431"));
}

TEST_CASE("a long field that states the length of the body is rejected",
          "[fields]") {
  const std::string name = GENERATE("Content-Length", "Transfer-Encoding");
  CAPTURE(name);
  RelayFixture host;
  AllowLargeHeaders(host);
  CHECK(RejectionOf(host, std::string(kBegin) + LongLine(name) + "\r\n")
            .starts_with("HTTP/1.1 4"));
}

// Guards against the end of the process by such a target: its host, which
// replaces the Host field, made http::fields throw.
TEST_CASE("a target with a long host is rejected", "[fields]") {
  const std::string host_name =
      GENERATE(std::string(65'534, 'h'), std::string(kLongBytes, 'h') + ":80");
  RelayFixture host;
  AllowLargeHeaders(host);
  CHECK(RejectionOf(host, "GET http://" + host_name +
                              "/desk/1 HTTP/1.1\r\nHost: a.example\r\n"
                              "X-Attempt-Id: 1\r\n\r\n")
            .starts_with("HTTP/1.1 400"));
}

TEST_CASE("a field above the limit is rejected", "[fields]") {
  RelayFixture host;
  AllowLargeHeaders(host);
  CHECK(RejectionOf(host, std::string(kBegin) +
                              Line("Cookie", std::string(kHeaderLimit, 'c')) +
                              "\r\n")
            .starts_with("HTTP/1.1 431"));
}

}  // namespace mustardflow::tests
