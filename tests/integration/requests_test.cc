// Requests through real processes, with faults between host and server.

#include <catch2/catch.hpp>

#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "bench/scenario.h"
#include "protocol/message_codec.h"
#include "protocol/object_reader.h"
#include "tests/support/callers.h"
#include "tests/support/cluster.h"
#include "tests/support/fault_proxy.h"
#include "tests/support/run_oracle.h"

namespace mustardflow::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kPortShift = 500;

bench::ScenarioContext MakeContext(const std::string& directory) {
  bench::ScenarioContext context;
  context.binaries = MUSTARDFLOW_BINARY_DIR;
  context.directory =
      std::filesystem::path(MUSTARDFLOW_BINARY_DIR) / "integration" / directory;
  return context;
}

// A cluster whose backend servers all stand behind fault proxies.
class ProxiedCluster {
 public:
  explicit ProxiedCluster(const std::string& directory)
      : cluster_(Options(directory)) {
    for (const state::ServerEntry& server :
         cluster_.options().documents[0].servers) {
      proxies_.push_back(std::make_unique<FaultProxy>(
          server.address, cluster_.backend_address(server.name)));
    }
    bench::StartCluster(cluster_);
  }

  Cluster& cluster() { return cluster_; }

  void SetFault(const ProxyFault& fault) {
    for (const auto& proxy : proxies_) {
      proxy->Set(fault);
    }
  }

  void ClearFault() {
    for (const auto& proxy : proxies_) {
      proxy->Clear();
    }
  }

  std::vector<RunEntry> Runs() const {
    return ReadJournals(cluster_.journals());
  }

  // Sends `count` calls, one after the other, through all hosts in turn.
  std::vector<CallRecord> Send(const Call& call, int count) {
    CallerOptions options;
    options.entries = cluster_.caller_entries();
    options.callers = 1;
    options.max_calls = static_cast<std::uint64_t>(count);
    Callers callers(options, [&](std::mt19937_64& random) {
      Call each = call;
      if (each.id == "new") {
        each.id = NewRequestId(random);
      }
      return each;
    });
    callers.Start();
    while (callers.finished_calls() < static_cast<std::uint64_t>(count)) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return callers.Finish();
  }

 private:
  static ClusterOptions Options(const std::string& directory) {
    bench::ServiceShape shape;
    shape.servers = 3;
    shape.first_port = 25000;
    ClusterOptions options = bench::MakeClusterOptions(
        MakeContext(directory), 3, bench::MakeDocument(shape), {});
    options.backend_port_shift = kPortShift;
    return options;
  }

  Cluster cluster_;
  std::vector<std::unique_ptr<FaultProxy>> proxies_;
};

// The kinds of places at which a connection can break.
const std::vector<std::pair<std::string, ProxyFault>>& Cuts() {
  static const std::vector<std::pair<std::string, ProxyFault>> cuts = [] {
    constexpr std::size_t kWithinHeader = 20;
    constexpr std::size_t kWithinBody = 400;
    std::vector<std::pair<std::string, ProxyFault>> list;
    ProxyFault fault;
    fault.cut_after_request_bytes = kWithinHeader;
    list.emplace_back("within the request", fault);
    fault = {};
    fault.cut_after_answer_bytes = 1;
    list.emplace_back("at the first byte of the answer", fault);
    fault.cut_after_answer_bytes = kWithinHeader;
    list.emplace_back("within the answer's header", fault);
    fault.cut_after_answer_bytes = kWithinBody;
    list.emplace_back("within the answer's body", fault);
    return list;
  }();
  return cuts;
}

// Sends `text` on a new connection and returns the status line of the answer.
std::string StatusLineFor(const state::Address& callers,
                          const std::string& text) {
  transport::asio::io_context context;
  transport::tcp::socket socket(context);
  socket.connect(transport::ToEndpoint(callers));
  transport::asio::write(socket, transport::asio::buffer(text));
  std::string answer(4096, '\0');
  boost::system::error_code error;
  answer.resize(socket.read_some(transport::asio::buffer(answer), error));
  return answer.substr(0, answer.find('\r'));
}

}  // namespace

TEST_CASE("a cut connection neither runs a booking twice nor tells untruths",
          "[R1][R3]") {
  ProxiedCluster world("cuts");
  std::vector<CallRecord> records;
  for (const auto& [where, fault] : Cuts()) {
    ProxyFault bookings = fault;
    bookings.only_requests_that_begin_with = "POST /bookings";
    world.SetFault(bookings);
    const auto sent =
        world.Send({"POST", "/bookings/key-1", "new", 0, where}, 5);
    records.insert(records.end(), sent.begin(), sent.end());
  }
  world.ClearFault();
  const auto whole =
      world.Send({"POST", "/bookings/key-1", "new", 0, "whole"}, 5);
  records.insert(records.end(), whole.begin(), whole.end());
  CHECK(Summarize(records, "whole").answered == 5);
  CHECK(Summarize(records, "within the answer's header").unknown == 5);
  CHECK(Summarize(records, "within the answer's body").answered == 0);
  const Verdict verdict = Judge(records, world.Runs());
  CHECK(verdict.run_twice == 0);
  CHECK(verdict.false_not_run == 0);
  CHECK(verdict.broken_answers == 0);
}

TEST_CASE("an idempotent request survives a cut connection", "[R1]") {
  ProxiedCluster world("retries");
  for (const auto& [where, fault] : Cuts()) {
    ProxyFault once = fault;
    once.only_requests_that_begin_with = "GET /parts";
    once.connections = 1;
    world.SetFault(once);
    const auto sent = world.Send({"GET", "/parts/key-1", "", 0, where}, 3);
    CHECK(Summarize(sent, where).broken == 0);
    CHECK(Summarize(sent, where).answered >= 2);
  }
}

TEST_CASE("a resent booking gets the first answer through every host", "[R2]") {
  ProxiedCluster world("resends");
  std::mt19937_64 random(1);
  const Call call{"POST", "/bookings/key-2", NewRequestId(random), 0, ""};
  const auto sent = world.Send(call, 1);
  REQUIRE(Summarize(sent, "").answered == 1);
  for (const ClusterHost& host : world.cluster().hosts()) {
    CallerOptions options;
    options.entries = {host.callers};
    options.callers = 1;
    options.max_calls = 1;
    Callers callers(options, [&](std::mt19937_64&) { return call; });
    callers.Start();
    const auto records = callers.Finish();
    CHECK(Summarize(records, "").answered == Summarize(records, "").calls);
  }
  const auto runs = world.Runs();
  CHECK(std::count_if(runs.begin(), runs.end(), [&](const RunEntry& run) {
          return run.id == call.id;
        }) == 1);
}

TEST_CASE("a large download is whole or visibly broken", "[R4][R5]") {
  constexpr std::size_t kBytes = 3'000'000;
  ProxiedCluster world("downloads");
  const Call call{"GET", "/diagrams/size/" + std::to_string(kBytes), "", kBytes,
                  "download"};
  CHECK(Summarize(world.Send(call, 3), "").answered == 3);
  ProxyFault fault;
  fault.cut_after_answer_bytes = kBytes / 2;
  fault.only_requests_that_begin_with = "GET /diagrams";
  world.SetFault(fault);
  const auto cut = world.Send(call, 3);
  CHECK(Summarize(cut, "").answered == 0);
  CHECK(Judge(cut, world.Runs()).broken_answers == 0);
}

TEST_CASE("malformed and ambiguous requests are refused", "[S1]") {
  ProxiedCluster world("malformed");
  const auto& host = world.cluster().hosts()[0];
  const auto talk = [&](const std::string& text) {
    return StatusLineFor(host.callers, text);
  };
  CHECK(talk("nonsense\r\n\r\n") == "HTTP/1.1 400 Bad Request");
  CHECK(talk("POST /bookings/a HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
             "Content-Length: 2\r\n\r\nab") == "HTTP/1.1 400 Bad Request");
  CHECK(talk("POST /bookings/a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
             "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n") ==
        "HTTP/1.1 400 Bad Request");
  CHECK(talk("GET /parts/a HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n") ==
        "HTTP/1.1 400 Bad Request");
  CHECK(talk("GET /parts/a HTTP/1.1\r\nHost: x\r\nX-Big: " +
             std::string(20'000, 'a') + "\r\n\r\n") ==
        "HTTP/1.1 431 Request Header Fields Too Large");
  CHECK(talk("POST /bookings/a HTTP/1.1\r\nHost: x\r\n"
             "Content-Length: 99999999\r\n\r\n") ==
        "HTTP/1.1 413 Payload Too Large");
  CHECK(talk("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n") ==
        "HTTP/1.1 404 Not Found");
  CHECK(talk("PUT /parts/a HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n") ==
        "HTTP/1.1 405 Method Not Allowed");
  CHECK(talk("GET /parts/ HTTP/1.1\r\nHost: x\r\n\r\n") ==
        "HTTP/1.1 400 Bad Request");
  CHECK(talk("POST /bookings/a HTTP/1.1\r\nHost: x\r\nIdempotency-Key: 7\r\n"
             "Content-Length: 0\r\n\r\n") == "HTTP/1.1 400 Bad Request");
  // Operators' and hosts' paths are not served to callers.
  CHECK(talk("GET /v1/status HTTP/1.1\r\nHost: x\r\n\r\n") ==
        "HTTP/1.1 404 Not Found");
  CHECK(talk("POST /control/orders HTTP/1.1\r\nHost: x\r\n"
             "Content-Length: 0\r\n\r\n") == "HTTP/1.1 404 Not Found");
}

// Guards against a host that ends by such a request: the parser threw
// std::length_error.
TEST_CASE("a long field after the chunks ends no host", "[S1]") {
  ProxiedCluster world("long-trailer");
  const auto& host = world.cluster().hosts()[0];
  CHECK(StatusLineFor(host.callers,
                      "POST /nothing HTTP/1.1\r\nHost: x\r\n"
                      "Transfer-Encoding: chunked\r\n\r\n0\r\nX-Long: " +
                          std::string(70'000, 'l') + "\r\n\r\n") ==
        "HTTP/1.1 404 Not Found");
  CHECK(
      StatusLineFor(host.callers, "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n") ==
      "HTTP/1.1 404 Not Found");
}

}  // namespace mustardflow::tests
