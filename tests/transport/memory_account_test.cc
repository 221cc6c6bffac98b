// Tests what requests and answers draw from the memory account, over real
// sockets. The host may use 8 MiB.

#include <catch2/catch.hpp>
#include <string>

#include "tests/transport/relay_fixture.h"
#include "transport/clocks.h"

namespace mustardflow::tests {

namespace {

using std::chrono::milliseconds;
using transport::asio::ip::tcp;

constexpr std::string_view kRequest =
    "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
    "Content-Length: 2\r\n\r\nhi";
constexpr std::string_view kChunkedHead =
    "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 2\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t kMebibyte = 1 << 20;

std::string HeadOf(std::size_t body_bytes) {
  return "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 2\r\n"
         "Content-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n";
}

std::string AnswerOf(std::size_t body_bytes) {
  return "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Signature: s\r\n"
         "Content-Length: " +
         std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'a');
}

// Sends `text` as far as the host takes it, and lets the host read it.
void SendAll(RelayFixture& host, tcp::socket& socket, const std::string& text) {
  socket.non_blocking(true);
  std::size_t sent = 0;
  for (int turn = 0; turn < 2000 && sent < text.size(); ++turn) {
    boost::system::error_code error;
    sent += socket.write_some(
        transport::asio::buffer(text.data() + sent, text.size() - sent), error);
    host.Run(milliseconds(1));
  }
  host.Run(milliseconds(100));
}

// Lets the account's clock advance by two seconds.
void PassTwoSeconds(RelayFixture& host) {
  for (int tick = 0; tick <= 10; ++tick) {
    host.relay().Tick(transport::Now() + tick * milliseconds(200));
  }
}

}  // namespace

// Guards against a client that stops just short of the end of its body and so
// keeps others from being served.
TEST_CASE("a body that is not completed keeps no ordinary request waiting",
          "[M5]") {
  RelayFixture host;
  const bool chunked = GENERATE(false, true);
  tcp::socket unfinished = host.ConnectCaller();
  const std::string body(4 * kMebibyte, 'b');
  SendAll(host, unfinished,
          chunked ? std::string(kChunkedHead) + "400000\r\n" +
                        body.substr(0, body.size() - 1)
                  : HeadOf(body.size()) + body.substr(0, body.size() - 1));

  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket server = host.AcceptFromRelay();
  REQUIRE(Count(host.Receive(server), "POST ") == 1);
  Send(server, AnswerOf(4));
  CHECK(Count(host.Receive(caller), "HTTP/1.1 200") == 1);
  // The unfinished request was never passed on.
  CHECK_FALSE(host.HasNewConnection());
}

// Guards against bodies that exceed the host's memory together.
TEST_CASE("a body for which there is no memory is refused and not passed on",
          "[M5]") {
  RelayFixture host;
  tcp::socket first = host.ConnectCaller();
  SendAll(host, first, HeadOf(4 * kMebibyte) + "b");
  tcp::socket second = host.ConnectCaller();
  Send(second, HeadOf(4 * kMebibyte));
  const std::string answer = host.Receive(second);
  CHECK(Count(answer, "HTTP/1.1 503") == 1);
  CHECK(Count(answer, "Retry-After: 1.00") == 1);
  CHECK(Count(answer, "Connection: close") == 1);
  CHECK_FALSE(host.HasNewConnection());
}

// Guards against a gate whose refusal for lack of memory leaves the outcome
// unknown, so that the caller gets no refusal.
TEST_CASE("a gate without memory for a request says that it was not run",
          "[M5]") {
  RelayFixture host;
  tcp::socket other = host.ConnectHost();
  Send(other, HeadOf(20 * kMebibyte));
  const std::string answer = host.Receive(other);
  CHECK(Count(answer, "HTTP/1.1 503") == 1);
  CHECK(Count(answer, "X-Mustardflow-Outcome: refused") == 1);
  CHECK_FALSE(host.HasNewConnection());
}

TEST_CASE("a body without progress makes room for another", "[M5]") {
  RelayFixture host;
  tcp::socket stalled = host.ConnectCaller();
  SendAll(host, stalled, HeadOf(4 * kMebibyte) + "b");
  PassTwoSeconds(host);
  tcp::socket caller = host.ConnectCaller();
  SendAll(host, caller,
          HeadOf(4 * kMebibyte) + std::string(4 * kMebibyte, 'b'));
  CHECK(host.HasNewConnection());
  CHECK(Count(host.Receive(stalled), "HTTP/1.1 503") == 1);
}

// Guards against memory that is drawn and never returned.
TEST_CASE("all that was drawn is returned", "[M5]") {
  RelayFixture host;
  host.Run(milliseconds(20));
  const std::size_t before = host.relay().memory()->used();
  {
    tcp::socket caller = host.ConnectCaller();
    SendAll(host, caller, HeadOf(kMebibyte) + std::string(kMebibyte, 'b'));
    tcp::socket server = host.AcceptFromRelay();
    CHECK(host.relay().memory()->used() >= before + kMebibyte);
    host.ReceiveUntil(server, std::string(100, 'b') + "$");
    Send(server,
         "HTTP/1.1 200 OK\r\nX-Attempt-Id: 2\r\n"
         "X-Server-Signature: s\r\nConnection: close\r\n"
         "Content-Length: 4\r\n\r\ndone");
    CHECK(Count(host.Receive(caller), "HTTP/1.1 200") == 1);
  }
  host.Run(milliseconds(50));
  host.callers().Tick(transport::Now());
  host.Run(milliseconds(50));
  CHECK(host.relay().memory()->used() == before);
}

// Guards against callers that ask for long answers and do not read them.
TEST_CASE("an answer that is not read makes room for a body", "[M5]") {
  RelayFixture host;
  tcp::socket reader = host.ConnectCaller();
  Send(reader, kRequest);
  tcp::socket server = host.AcceptFromRelay();
  host.Receive(server);
  SendAll(host, server, AnswerOf(5 * kMebibyte));
  host.Run(milliseconds(50));
  PassTwoSeconds(host);
  tcp::socket caller = host.ConnectCaller();
  SendAll(host, caller,
          HeadOf(5 * kMebibyte) + std::string(5 * kMebibyte, 'b'));
  // The request is sent on the connection that was used before.
  CHECK(Count(host.Receive(server), "POST ") == 1);
  CHECK(host.relay().memory()->ended_transfers() == 1);
}

}  // namespace mustardflow::tests
