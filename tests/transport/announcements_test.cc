// What backend servers announce in their answers: limits of requests per
// second, their leaving, and pauses.

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using state::RequestKind;
using transport::asio::ip::tcp;

// Sends requests one after another and answers those that reach the server.
class AnnouncingServer {
 public:
  // `fields` are header lines of each request.
  explicit AnnouncingServer(RelayFixture& host, std::string fields = "")
      : host_(host),
        caller_(host.ConnectCaller()),
        fields_(std::move(fields)) {}

  // Sends a request. Returns whether it reached the server, which then answers
  // with `status` and `fields`.
  bool Ask(int status, const std::string& fields) {
    const std::string id = std::to_string(++requests_);
    Send(caller_, "GET /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " +
                      id + "\r\n" + fields_ + "\r\n");
    answer_.clear();
    std::string arrived;
    constexpr int kMaxTurns = 500;
    for (int turn = 0; turn < kMaxTurns && answer_.empty(); ++turn) {
      if (!server_ || host_.ended()) {
        AcceptIfAny();
      }
      if (server_) {
        arrived += host_.Receive(*server_, std::chrono::milliseconds(1));
        if (arrived.find("\r\n\r\n") != std::string::npos) {
          Send(*server_, "HTTP/1.1 " + std::to_string(status) +
                             " Status\r\nX-Attempt-Id: " + id + "\r\n" +
                             fields + "Content-Length: 0\r\n\r\n");
          answer_ = host_.ReceiveUntil(caller_, "\r\n\r\n");
          return true;
        }
      }
      answer_ = host_.Receive(caller_, std::chrono::milliseconds(1));
    }
    return false;
  }

  // The answer that the caller got to the last request.
  const std::string& answer() const { return answer_; }

 private:
  void AcceptIfAny() {
    if (auto connection = host_.AcceptWaiting()) {
      server_ = std::move(connection);
    }
  }

  RelayFixture& host_;
  tcp::socket caller_;
  const std::string fields_;
  std::optional<tcp::socket> server_;
  int requests_ = 0;
  std::string answer_;
};

const std::string kSigned = "X-Server-Signature: s\r\n";

}  // namespace

// A server that names a limit must not get more than one and a half times as
// much, and five requests, in four seconds, once three seconds have passed.
TEST_CASE("a server gets no more requests than the limit that it announces",
          "[LIMIT]") {
  RelayFixture host(RequestKind::kIdempotent);
  AnnouncingServer server(host);
  const std::string fields = kSigned + "Server-Limit: 2\r\n";
  REQUIRE(server.Ask(200, fields));
  std::this_thread::sleep_for(std::chrono::seconds(3));
  int arrived = 0;
  for (int i = 0; i < 60; ++i) {
    arrived += server.Ask(200, fields) ? 1 : 0;
  }
  CHECK(arrived >= 2);
  CHECK(arrived <= 17);
}

// The forwarding host may know another owner of the key than the gate.
TEST_CASE("an answer that a gate passes on announces for the server it names",
          "[LIMIT]") {
  const auto [server, expected] =
      GENERATE(std::pair("X-Mustardflow-Server: 1 s1\r\n", 1),
               std::pair("X-Mustardflow-Server: 2 s1\r\n", 0),
               std::pair("X-Mustardflow-Server: s1\r\n", 0), std::pair("", 0));
  CAPTURE(server);
  RelayFixture host;
  host.UseGate(RequestKind::kIdempotent);
  tcp::socket caller = host.ConnectCaller();
  Send(caller,
       "GET /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
       "X-Shard-Key: 5\r\n\r\n");
  tcp::socket gate = host.AcceptAtGate();
  host.ReceiveUntil(gate, "\r\n\r\n");
  Send(gate, "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n" + kSigned +
                 "X-Mustardflow-Outcome: answered\r\nServer-Limit: 6.1\r\n" +
                 server + "Content-Length: 0\r\n\r\n");
  const std::string answer = host.ReceiveUntil(caller, "\r\n\r\n");
  CHECK(Count(answer, "Server-Limit: 6.1") == 1);
  CHECK(Count(answer, "X-Mustardflow") == 0);
  CHECK(Count(host.LogText(), R"("event":"announced","server":"s1")") ==
        static_cast<std::size_t>(expected));
}

TEST_CASE("a gate names the server whose answer it passes on", "[LIMIT]") {
  RelayFixture host;
  host.OwnKeys(RequestKind::kIdempotent);
  tcp::socket other = host.ConnectHost();
  Send(other,
       "GET /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
       "X-Shard-Key: 5\r\nX-Deadline-Ms: 9000\r\n"
       "X-Mustardflow-Service: desk\r\nX-Mustardflow-Kind: 0\r\n"
       "X-Mustardflow-Target-Ms: 9000\r\nX-Mustardflow-Attempts: 1\r\n\r\n");
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "\r\n\r\n");
  Send(server, "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\n" + kSigned +
                   "Server-Limit: 6.1\r\nContent-Length: 0\r\n\r\n");
  const std::string answer = host.ReceiveUntil(other, "\r\n\r\n");
  CHECK(Count(answer, "X-Mustardflow-Server: 1 s1\r\n") == 1);
  CHECK(Count(answer, "Server-Limit: 6.1\r\n") == 1);
}

// The server ends soon; its entry in the store may say so much later.
TEST_CASE("a server that announces its leaving gets no more requests",
          "[DRAIN]") {
  RelayFixture host(RequestKind::kIdempotent);
  AnnouncingServer server(host);
  const int status = GENERATE(200, 500);
  REQUIRE(server.Ask(status, kSigned + "Server-Leaving: 1\r\n"));
  CHECK_FALSE(server.Ask(200, kSigned));
  CHECK(server.answer().starts_with("HTTP/1.1 503"));
  CHECK(Count(server.answer(), "Retry-After: ") == 1);
}

TEST_CASE("a server that announces something else is not taken as leaving",
          "[DRAIN]") {
  RelayFixture host(RequestKind::kIdempotent);
  AnnouncingServer server(host);
  const std::string field =
      GENERATE("Server-Leaving: 0\r\n", "Server-Leaving: \r\n", "");
  REQUIRE(server.Ask(200, kSigned + field));
  CHECK(server.Ask(200, kSigned));
}

// While its keys move, a leaving server still serves them, but not for longer
// than a second.
TEST_CASE(
    "the owner of a key gets requests for a moment after it announces its "
    "leaving",
    "[DRAIN]") {
  RelayFixture host;
  host.OwnKeys(RequestKind::kIdempotent);
  AnnouncingServer server(host, "X-Shard-Key: 5\r\n");
  REQUIRE(server.Ask(200, kSigned + "Server-Leaving: 1\r\n"));
  CHECK(server.Ask(200, kSigned + "Server-Leaving: 1\r\n"));
  std::this_thread::sleep_for(std::chrono::milliseconds(1100));
  CHECK_FALSE(server.Ask(200, kSigned));
}

// The server has told the host to stay away; whether it ran the request or not
// makes no difference to that.
TEST_CASE("a server gets no requests in the time of its Retry-After",
          "[BUDGET]") {
  const bool keyed = GENERATE(false, true);
  const std::string fields =
      GENERATE(as<std::string>(), "X-Not-Executed: 1\r\n",
               "X-Server-Signature: s\r\n", "");
  CAPTURE(keyed, fields);
  RelayFixture host(RequestKind::kIdempotent);
  if (keyed) {
    host.OwnKeys(RequestKind::kIdempotent);
  }
  AnnouncingServer server(host, keyed ? "X-Shard-Key: 5\r\n" : "");
  REQUIRE(server.Ask(200, kSigned));
  REQUIRE(server.Ask(503, fields + "Retry-After: 0.4\r\n"));
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(server.Ask(200, kSigned));
    CHECK(server.answer().starts_with("HTTP/1.1 503"));
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  CHECK(server.Ask(200, kSigned));
}

TEST_CASE(
    "a Retry-After that is no time in seconds, or of another status, is "
    "ignored",
    "[BUDGET]") {
  const auto [status, value] = GENERATE(
      std::pair(503, "-1"), std::pair(503, "soon"),
      std::pair(503, "Fri, 04 Dec 2026 22:00:00 GMT"), std::pair(200, "5"));
  CAPTURE(status, value);
  RelayFixture host(RequestKind::kIdempotent);
  AnnouncingServer server(host);
  REQUIRE(server.Ask(200, kSigned));
  REQUIRE(server.Ask(status, kSigned + "Retry-After: " + value + "\r\n"));
  CHECK(server.Ask(200, kSigned));
}

}  // namespace mustardflow::tests
