// Tests callers' connections and the relay over real sockets, with the test in
// the roles of the caller and of the backend server.

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "coordination/server_pool.h"
#include "transport/caller_listener.h"
#include "transport/event_log.h"
#include "transport/request_relay.h"

namespace mustardflow::tests {

namespace {

using transport::asio::ip::tcp;
namespace asio = transport::asio;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::string_view kRequest =
    "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
    "Content-Length: 2\r\n\r\nhi";
constexpr std::string_view kServerAnswer =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Signature: s\r\n"
    "Content-Length: 4\r\n\r\ndone";

std::shared_ptr<const state::RoutingConfig> OneRouteConfig() {
  state::Route route;
  route.name = "desk";
  route.hostname = "a.example";
  route.prefix = "/desk/";
  route.timeout = seconds(20);
  route.target_latency = seconds(20);
  route.services = {{"desk", 1}};
  return std::make_shared<state::RoutingConfig>(
      1, std::vector<state::Route>{route},
      std::map<std::string, state::ServiceRules>{{"desk", {}}},
      state::IngressLimits());
}

// The request path of a host with one backend server. The test acts as the
// server.
class RelayFixture {
 public:
  RelayFixture()
      : server_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
        pool_("near", {}, [] { return 0.5; }),
        log_(-1, "test"),
        relay_(
            context_,
            profile_,
            view_,
            pool_,
            [] { return 0.5; },
            log_,
            metrics_),
        callers_(context_, {"127.0.0.1", 0}, view_, relay_, log_) {
    view_.config = OneRouteConfig();
    pool_.SetConfig(*view_.config);
    state::ServerRecord record;
    record.incarnation = {"s1", 1};
    record.sequence = 1;
    record.service = "desk";
    record.zone = "near";
    record.slots = 6;
    record.address = {"127.0.0.1", server_.local_endpoint().port()};
    pool_.Update(state::Instant(seconds(1)), record);
  }

  tcp::socket ConnectCaller() {
    tcp::socket caller(context_);
    caller.connect(callers_.local_endpoint());
    return caller;
  }

  tcp::socket AcceptFromRelay() {
    tcp::socket socket(context_);
    bool accepted = false;
    server_.async_accept(
        socket, [&](const boost::system::error_code&) { accepted = true; });
    while (!accepted) {
      context_.run_one_for(seconds(5));
    }
    return socket;
  }

  // Runs the event loop for `time` and returns the bytes received on `socket`.
  std::string Receive(tcp::socket& socket,
                      milliseconds time = milliseconds(60)) {
    context_.restart();
    context_.run_for(time);
    std::string received;
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    socket.non_blocking(true);
    while (!error) {
      const std::size_t size = socket.read_some(asio::buffer(buffer), error);
      received.append(buffer.data(), size);
    }
    ended_ = error != asio::error::would_block;
    return received;
  }

  // Whether the relay has opened a further connection to the server.
  bool HasNewConnection() {
    boost::system::error_code error;
    server_.non_blocking(true);
    tcp::socket socket(context_);
    server_.accept(socket, error);
    return !error;
  }

  // Whether the last Receive() found that the connection had ended.
  bool ended() const { return ended_; }
  transport::CallerListener& callers() { return callers_; }

 private:
  asio::io_context context_;
  tcp::acceptor server_;
  state::HostProfile profile_;
  state::RoutingView view_;
  coordination::ServerPool pool_;
  transport::EventLog log_;
  transport::EntryMetrics metrics_;
  transport::RequestRelay relay_;
  transport::CallerListener callers_;
  bool ended_ = false;
};

void Send(tcp::socket& socket, std::string_view text) {
  asio::write(socket, asio::buffer(text));
}

std::size_t Count(const std::string& text, std::string_view part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
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

TEST_CASE("a stopping host closes idle connections", "[A1]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  host.Receive(caller);
  host.callers().StopReading();
  CHECK(host.Receive(caller).empty());
  CHECK(host.ended());
}

}  // namespace mustardflow::tests
