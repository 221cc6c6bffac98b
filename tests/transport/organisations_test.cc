// Keys of organisations: who is served, and what servers and other hosts get.

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using state::RequestKind;
using transport::asio::ip::tcp;

state::Organisations TwoOrganisations() {
  state::Organisations organisations;
  organisations["first"] = {"first", {"key-1", "key-2"}, 1, 0, 0};
  organisations["second"] = {"second", {"key-3"}, {}, 0, 0};
  return organisations;
}

std::string RequestWith(std::string_view fields) {
  return "GET /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n" +
         std::string(fields) + "\r\n";
}

constexpr std::string_view kAnswer =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: 1\r\nX-Server-Signature: s\r\n"
    "Content-Length: 0\r\n\r\n";

// Guards against keys in the log, in the metrics and in answers.
void CheckKeysAreSecret(RelayFixture& host, const std::string& answer) {
  CHECK(Count(host.LogText(), "key-") == 0);
  CHECK(Count(host.MetricsPage(), "key-") == 0);
  CHECK(Count(answer, "key-") == 0);
}

}  // namespace

// Guards against a server that learns a key, or believes a caller's name.
TEST_CASE("a server gets the name of the organisation and no key") {
  RelayFixture host;
  host.SetOrganisations(TwoOrganisations());
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestWith("x-credential: key-2\r\nX-TENANT: second\r\n"
                           "X-Tenant: third\r\n"));
  tcp::socket server = host.AcceptFromRelay();
  const std::string request = host.ReceiveUntil(server, "\r\n\r\n");
  CHECK(Count(request, "X-Tenant: first\r\n") == 1);
  CHECK(Count(request, "key-") == 0);
  CHECK(Count(request, "second") + Count(request, "third") == 0);
  Send(server, kAnswer);
  const std::string answer = host.ReceiveUntil(caller, "\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CheckKeysAreSecret(host, answer);
}

TEST_CASE("a request without a known key is rejected at once") {
  RelayFixture host;
  host.SetOrganisations(TwoOrganisations());
  const std::string fields =
      GENERATE("", "X-Credential: key-9\r\n", "X-Credential:\r\n",
               "X-Credential: Bearer key-1\r\n", "X-Tenant: first\r\n",
               "X-Credential: key-1\r\nX-Credential: key-3\r\n",
               "X-Mustardflow-Organisation: first\r\n");
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestWith(fields));
  const std::string answer = host.ReceiveUntil(caller, "\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 401"));
  CHECK_FALSE(host.HasNewConnection());
  CheckKeysAreSecret(host, answer);
}

// Guards against 401 for a key that a newer configuration has added.
TEST_CASE("a host that may lack a configuration does not answer 401") {
  RelayFixture host;
  host.SetOrganisations(TwoOrganisations());
  host.view().config_confirmed_at.reset();
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestWith("X-Credential: key-9\r\n"));
  const std::string answer = host.ReceiveUntil(caller, "\r\n\r\n");
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(Count(answer, "Retry-After: 0.50") == 1);
}

TEST_CASE("a request that matches no route is rejected as such") {
  RelayFixture host;
  host.SetOrganisations(TwoOrganisations());
  tcp::socket caller = host.ConnectCaller();
  Send(caller, "GET /no/ HTTP/1.1\r\nHost: a.example\r\n\r\n");
  CHECK(host.ReceiveUntil(caller, "\r\n\r\n").starts_with("HTTP/1.1 404"));
}

// Guards against a key that is served after its removal, also on a connection
// that is already open.
TEST_CASE("a version that removes a key ends its use") {
  RelayFixture host(RequestKind::kIdempotent);
  host.SetOrganisations(TwoOrganisations());
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestWith("X-Credential: key-3\r\n"));
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "\r\n\r\n");
  Send(server, kAnswer);
  CHECK(host.ReceiveUntil(caller, "\r\n\r\n").starts_with("HTTP/1.1 200"));
  state::Organisations changed = TwoOrganisations();
  changed["second"].keys = {"key-4"};
  host.SetOrganisations(changed);
  Send(caller, RequestWith("X-Credential: key-3\r\n"));
  CHECK(host.ReceiveUntil(caller, "\r\n\r\n").starts_with("HTTP/1.1 401"));
  Send(caller, RequestWith("X-Credential: key-4\r\n"));
  CHECK(Count(host.ReceiveUntil(server, "\r\n\r\n"), "X-Tenant: second") == 1);
}

// Guards against a request that is served with the key of the one before it.
TEST_CASE("each pipelined request needs its own key") {
  RelayFixture host(RequestKind::kIdempotent);
  host.SetOrganisations(TwoOrganisations());
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestWith("X-Credential: key-1\r\n") + RequestWith("") +
                   RequestWith("X-Credential: key-3\r\n"));
  tcp::socket first = host.AcceptFromRelay();
  tcp::socket third = host.AcceptFromRelay();
  const std::string requests = host.ReceiveUntil(first, "\r\n\r\n") +
                               host.ReceiveUntil(third, "\r\n\r\n");
  CHECK(Count(requests, "X-Tenant: first\r\n") == 1);
  CHECK(Count(requests, "X-Tenant: second\r\n") == 1);
  Send(first, kAnswer);
  Send(third, kAnswer);
  const std::string answers = host.Receive(caller);
  CHECK(Count(answers, "HTTP/1.1 200") == 2);
  CHECK(Count(answers, "HTTP/1.1 401") == 1);
}

TEST_CASE("a public route needs no key and names no organisation") {
  RelayFixture host;
  host.SetOrganisations(TwoOrganisations(), true);
  const std::string fields =
      GENERATE("", "X-Credential: key-1\r\nX-Tenant: second\r\n");
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestWith(fields));
  tcp::socket server = host.AcceptFromRelay();
  const std::string request = host.ReceiveUntil(server, "\r\n\r\n");
  CHECK(request.starts_with("GET /desk/1"));
  CHECK(Count(request, "X-Tenant") == 0);
  CHECK(Count(request, "key-") == 0);
}

// Guards against a change for deployments that use the names for themselves.
TEST_CASE("without organisations both fields are ordinary") {
  RelayFixture host;
  const bool by_gate = GENERATE(false, true);
  if (by_gate) {
    host.UseGate(RequestKind::kIdempotent);
  }
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestWith("X-Shard-Key: 5\r\nX-Credential: key-1\r\n"
                           "X-Tenant: second\r\n"));
  tcp::socket next = by_gate ? host.AcceptAtGate() : host.AcceptFromRelay();
  const std::string request = host.ReceiveUntil(next, "\r\n\r\n");
  CHECK(Count(request, "X-Credential: key-1\r\nX-Tenant: second\r\n") == 1);
  CHECK(Count(request, "X-Mustardflow-Organisation") == 0);
}

// Guards against a key that reaches another host.
TEST_CASE("a gate gets the name of the organisation and no key") {
  RelayFixture host;
  const bool is_public = GENERATE(false, true);
  host.SetOrganisations(TwoOrganisations(), is_public);
  host.UseGate(RequestKind::kIdempotent);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestWith("X-Shard-Key: 5\r\nX-Credential: key-1\r\n"
                           "X-Tenant: second\r\n"));
  tcp::socket gate = host.AcceptAtGate();
  const std::string request = host.ReceiveUntil(gate, "\r\n\r\n");
  CHECK(Count(request, is_public
                           ? "X-Mustardflow-Organisation: \r\n"
                           : "X-Mustardflow-Organisation: first\r\n") == 1);
  CHECK(Count(request, "X-Tenant") == 0);
  CHECK(Count(request, "key-") == 0);
}

// Guards against the loss of the organisation on the way through a gate, and
// against a key from a host that does not know yet that it is one.
TEST_CASE("a gate passes the organisation on to the server") {
  RelayFixture host;
  host.SetOrganisations(TwoOrganisations());
  host.OwnKeys(RequestKind::kIdempotent);
  const bool named = GENERATE(false, true);
  tcp::socket other = host.ConnectHost();
  Send(other,
       RequestWith(
           "X-Shard-Key: 5\r\nX-Deadline-Ms: 900\r\n"
           "X-Mustardflow-Service: desk\r\nX-Mustardflow-Kind: 0\r\n"
           "X-Mustardflow-Target-Ms: 500\r\nX-Mustardflow-Attempts: 2\r\n"
           "X-Credential: key-1\r\nX-Tenant: second\r\n" +
           std::string(named ? "X-Mustardflow-Organisation: first\r\n" : "")));
  tcp::socket server = host.AcceptFromRelay();
  const std::string request = host.ReceiveUntil(server, "\r\n\r\n");
  CHECK(Count(request, "X-Tenant: first\r\n") == (named ? 1 : 0));
  CHECK(Count(request, "second") == 0);
  CHECK(Count(request, "key-") == 0);
}

// Guards against limits that are not applied, and against refused requests that
// are charged or reach a server.
TEST_CASE("requests over the limit get 429 and reach no server") {
  RelayFixture host(RequestKind::kIdempotent);
  state::Organisations organisations = TwoOrganisations();
  organisations["first"].rate = 5;
  host.SetOrganisations(organisations);
  admission::OrganisationLimits& limits = host.relay().organisation_limits();
  limits.SetFractions(transport::Now(), {{{"first", 0.4}}, true});
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestWith("X-Credential: key-1\r\n"));
  const std::string refusal = host.ReceiveUntil(caller, "\r\n\r\n");
  CHECK(refusal.starts_with("HTTP/1.1 429"));
  CHECK(Count(refusal, "Retry-After: 1.50\r\n") == 1);
  CHECK_FALSE(host.HasNewConnection());
  limits.SetFractions(transport::Now(), {{{"first", 0.6}}, true});
  Send(caller, RequestWith("X-Credential: key-1\r\n"));
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "\r\n\r\n");
  Send(server, kAnswer);
  CHECK(host.ReceiveUntil(caller, "\r\n\r\n").starts_with("HTTP/1.1 200"));
  const std::string metric =
      "mustardflow_organisation_requests_total{"
      "organisation=\"other\",outcome=";
  CHECK(Count(host.MetricsPage(), metric + "\"admitted\"} 1\n") == 1);
  CHECK(Count(host.MetricsPage(), metric + "\"over-limit\"} 1\n") == 1);
  const auto report = limits.TakeCounts(transport::Now());
  REQUIRE(report.counts.size() == 1);
  CHECK(report.counts[0].at("first").offered == 2);
  CHECK(report.counts[0].at("first").admitted == 1);
}

// Guards against a quota that is spent by requests which no server got, and
// against attempts at servers that are not counted.
TEST_CASE("the quota counts what servers may have got") {
  RelayFixture host(RequestKind::kIdempotent);
  state::Organisations organisations = TwoOrganisations();
  organisations["first"].rate = 5;
  host.SetOrganisations(organisations);
  host.UseGate(RequestKind::kIdempotent);
  admission::OrganisationLimits& limits = host.relay().organisation_limits();
  limits.SetFractions(transport::Now(), {});
  tcp::socket caller = host.ConnectCaller();
  Send(caller, RequestWith("X-Shard-Key: 5\r\nX-Credential: key-1\r\n"));
  tcp::socket gate = host.AcceptAtGate();
  host.ReceiveUntil(gate, "\r\n\r\n");
  std::int64_t admitted = 0;
  SECTION("a request that its gate refused is returned") {
    Send(gate,
         "HTTP/1.1 503 Busy\r\nX-Attempt-Id: 1\r\nRetry-After: 1\r\n"
         "X-Mustardflow-Outcome: refused\r\nContent-Length: 0\r\n\r\n");
    CHECK(host.ReceiveUntil(caller, "\r\n\r\n").starts_with("HTTP/1.1 503"));
  }
  SECTION("an attempt past a gate that fails is charged") {
    gate.close();
    tcp::socket server = host.AcceptFromRelay();
    host.ReceiveUntil(server, "\r\n\r\n");
    Send(server, kAnswer);
    CHECK(host.ReceiveUntil(caller, "\r\n\r\n").starts_with("HTTP/1.1 200"));
    admitted = 2;
  }
  const auto report = limits.TakeCounts(transport::Now());
  REQUIRE(report.counts.size() == 1);
  CHECK(report.counts[0].at("first").offered == 1);
  CHECK(report.counts[0].at("first").admitted == admitted);
}

}  // namespace mustardflow::tests
