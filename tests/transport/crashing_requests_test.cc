// Requests that the leader's list has, over real sockets: which requests are
// the same, and what callers and gates get.

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <string_view>

#include "protocol/crash_codec.h"
#include "tests/transport/relay_fixture.h"
#include "transport/request_fingerprint.h"

namespace mustardflow::tests {

namespace {

using coordination::RequestFingerprint;
using state::RequestKind;
using transport::asio::ip::tcp;

constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Signature: s\r\n"
    "Content-Length: 0\r\n\r\n";

// Parts of a request that make it the same.
struct Parts {
  std::string method = "POST";
  std::string host = "a.example";
  std::string target = "/desk/7?x=1";
  std::string body = "body";
  std::string caller = "127.0.0.1";
  std::string credential = "key-1";
};

RequestFingerprint FingerprintOf(const Parts& parts) {
  transport::CallerMessage message;
  message.method_string(parts.method);
  message.target(parts.target);
  message.set("Host", parts.host);
  message.set("X-Credential", parts.credential);
  message.caller = parts.caller;
  message.body().Bind(std::make_shared<transport::MemoryAccount>(1 << 20),
                      nullptr);
  REQUIRE(message.body().Prepare(parts.body.size()));
  message.body().Append(parts.body.data(), parts.body.size());
  return transport::FingerprintOf(message);
}

std::string RequestText(const Parts& parts, std::string_view fields = "") {
  return parts.method + " " + parts.target +
         " HTTP/1.1\r\nHost: " + parts.host +
         "\r\nX-Credential: " + parts.credential + "\r\nX-Attempt-Id: 1\r\n" +
         std::string(fields) +
         "Content-Length: " + std::to_string(parts.body.size()) + "\r\n\r\n" +
         parts.body;
}

// Makes the host refuse the request, or send one as a trial.
void Refuse(RelayFixture& host,
            RequestFingerprint request,
            state::Duration retry_after = std::chrono::seconds(15)) {
  host.relay().crash_watch().HandleList(transport::Now(),
                                        {{request, 3, true, 0, retry_after}});
}

tcp::socket ConnectFrom(RelayFixture& host, const std::string& address) {
  tcp::socket caller = host.ConnectCaller();
  const tcp::endpoint server = caller.remote_endpoint();
  tcp::socket bound(caller.get_executor());
  bound.open(tcp::v4());
  bound.bind({transport::asio::ip::make_address(address), 0});
  bound.connect(server);
  return bound;
}

}  // namespace

// Guards against a request that is not recognised when it comes again with
// another id, and against one that is taken for another.
TEST_CASE("method, host, target, body and caller make a request the same",
          "[B3]") {
  const Parts parts;
  CHECK(FingerprintOf(parts) == FingerprintOf(Parts()));
  Parts other = parts;
  SECTION("method") {
    other.method = "PUT";
  }
  SECTION("host") {
    other.host = "b.example";
  }
  SECTION("path") {
    other.target = "/desk/8?x=1";
  }
  SECTION("query") {
    other.target = "/desk/7?x=2";
  }
  SECTION("body") {
    other.body = "bodY";
  }
  SECTION("caller") {
    other.caller = "127.0.0.2";
  }
  SECTION("organisation") {
    other.credential = "key-2";
  }
  SECTION("where one part ends") {
    other.caller = "127.0.0.";
    other.credential = "1key-1";
  }
  CHECK(FingerprintOf(other) != FingerprintOf(parts));
}

// Guards against a refusal that waits, and against refusals of requests that
// differ from the one that crashes servers.
TEST_CASE("only the request that crashes servers is refused", "[B3]") {
  RelayFixture host;
  const Parts parts;
  Refuse(host, FingerprintOf(parts));
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestText(parts, "X-Deadline-Ms: 900\r\nCookie: a=b\r\n"));
  const std::string answer = host.ReceiveUntil(caller, "\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 503"));
  // The fixture's random number leaves the margin of 4/3.
  CHECK(Count(answer, "Retry-After: 20.00\r\n") +
            Count(answer, "Retry-After: 19.99\r\n") ==
        1);
  CHECK_FALSE(host.HasNewConnection());
  const std::string log = host.LogText();
  CHECK(Count(log, "\"event\":\"refused\"") == 1);
  CHECK(Count(log, "\"reason\":\"crashes-servers\"") == 1);
  CHECK(Count(log, protocol::FormatFingerprint(FingerprintOf(parts))) == 1);
  host.relay().SetMetrics(transport::Now());
  const std::string metrics = host.MetricsPage();
  CHECK(Count(metrics, "\nmustardflow_crashing_requests 1\n") == 1);
  CHECK(Count(metrics, "\nmustardflow_crashing_requests_refused_total 1\n") ==
        1);

  Parts other = parts;
  std::string address = "127.0.0.1";
  SECTION("another path") {
    other.target = "/desk/8";
  }
  SECTION("another body") {
    other.body = "other";
  }
  SECTION("another caller") {
    address = "127.0.0.2";
  }
  tcp::socket neighbour = ConnectFrom(host, address);
  if (other.target != parts.target || other.body != parts.body ||
      address != parts.caller) {
    Send(neighbour, RequestText(other));
    tcp::socket server = host.AcceptFromRelay();
    host.ReceiveUntil(server, "\r\n\r\n");
    Send(server, kAnswer);
    CHECK(host.ReceiveUntil(neighbour, "\r\n\r\n").starts_with("HTTP/1.1 200"));
  }
}

// Guards against a trial that is sent to a second server, or by two requests.
TEST_CASE("a trial is one attempt at one server", "[B3]") {
  RelayFixture host(RequestKind::kIdempotent);
  const Parts parts;
  Refuse(host, FingerprintOf(parts), state::Duration(0));
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestText(parts));
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "body");
  tcp::socket second = host.ConnectCaller();
  Send(second, RequestText(parts));
  CHECK(host.ReceiveUntil(second, "\r\n\r\n").starts_with("HTTP/1.1 503"));
  const auto report =
      host.relay().crash_watch().MakeReport(transport::Now(), 1);
  REQUIRE(report.trials.size() == 1);
  CHECK(report.trials[0].number == 1);

  server.close();
  CHECK(host.ReceiveUntil(caller, "\r\n\r\n").starts_with("HTTP/1.1 502"));
  CHECK_FALSE(host.HasNewConnection());
}

// Guards against a gate that does not recognise the request, since it sees
// another caller, or that refuses the trial of another host.
TEST_CASE("a gate knows the request that another host forwards", "[B3]") {
  const Parts parts;
  const RequestFingerprint request = FingerprintOf(parts);
  const std::string field =
      "X-Mustardflow-Fingerprint: " + protocol::FormatFingerprint(request) +
      "\r\n";
  SECTION("the forwarding host names it") {
    RelayFixture host;
    host.UseGate(RequestKind::kIdempotent);
    const bool trial = GENERATE(false, true);
    if (trial) {
      Refuse(host, request, state::Duration(0));
    }
    tcp::socket caller = host.ConnectCaller();
    Send(caller, RequestText(parts,
                             "X-Shard-Key: 3\r\n"
                             "X-Mustardflow-Trial: 1\r\n"));
    tcp::socket gate = host.AcceptAtGate();
    const std::string received = host.ReceiveUntil(gate, "body");
    CHECK(Count(received, field) == 1);
    CHECK(Count(received, "X-Mustardflow-Trial: 1\r\n") == (trial ? 1 : 0));
  }
  SECTION("the gate refuses it unless it is a trial") {
    RelayFixture gate;
    gate.OwnKeys(RequestKind::kIdempotent);
    Refuse(gate, request);
    const std::string forwarded =
        field +
        "X-Shard-Key: 3\r\nX-Deadline-Ms: 900\r\n"
        "X-Mustardflow-Service: desk\r\nX-Mustardflow-Kind: 0\r\n"
        "X-Mustardflow-Target-Ms: 400\r\nX-Mustardflow-Attempts: 1\r\n";
    tcp::socket host = gate.ConnectHost();
    Send(host, RequestText(parts, forwarded));
    const std::string answer = gate.ReceiveUntil(host, "\r\n\r\n");
    CHECK(Count(answer, "X-Mustardflow-Outcome: refused\r\n") == 1);
    tcp::socket other = gate.ConnectHost();
    Send(other, RequestText(parts, forwarded + "X-Mustardflow-Trial: 1\r\n"));
    tcp::socket server = gate.AcceptFromRelay();
    const std::string received = gate.ReceiveUntil(server, "body");
    CHECK(Count(received, "X-Mustardflow-") == 0);
  }
}

}  // namespace mustardflow::tests
