// What backend servers announce in their answers: limits of requests per
// second, their leaving, and pauses.

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using state::RequestKind;
using transport::asio::ip::tcp;

// Sends requests one after another and answers those that reach the server.
class AnnouncingServer {
 public:
  explicit AnnouncingServer(RelayFixture& host)
      : host_(host), caller_(host.ConnectCaller()) {}

  // Sends a request. Returns whether it reached the server, which then answers
  // with `status` and `fields`.
  bool Ask(int status, const std::string& fields) {
    const std::string id = std::to_string(++requests_);
    Send(caller_, "GET /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " +
                      id + "\r\n\r\n");
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

}  // namespace mustardflow::tests
