// Guards against proper requests that are rejected for good: sends random ones
// over kept connections, cut at random positions, while the limits change.

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using transport::asio::ip::tcp;

constexpr std::uint32_t kSeed = 20261204;
constexpr int kConnections = 40;
constexpr int kRoundsPerConnection = 5;
constexpr int kMaxPipelined = 4;
constexpr std::chrono::milliseconds kStep(1);

// A random request and what the server must get of it.
struct ProperRequest {
  std::string bytes;
  std::string line;
  std::string body;
};

class RequestMaker {
 public:
  explicit RequestMaker(std::uint32_t seed) : random_(seed) {}

  std::size_t Pick(std::size_t low, std::size_t high) {
    return std::uniform_int_distribution<std::size_t>(low, high)(random_);
  }
  bool Chance(std::size_t one_in) { return Pick(1, one_in) == 1; }

  state::IngressLimits MakeLimits() {
    state::IngressLimits limits;
    limits.header_bytes = Pick(500, 3000);
    limits.body_bytes = Pick(0, 2000);
    return limits;
  }

  ProperRequest Make(const state::IngressLimits& limits) {
    ProperRequest request;
    const std::string method = Choose(
        {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "PURGE"});
    const std::string path = Choose(
        {"/desk/", "/desk/1", "/desk/1?u=http://b/", "/desk//x/../%2f;a=1"});
    const std::string authority =
        Choose({"a.example", "A.Example", "a.example:80"});
    const bool absolute = Chance(4);
    request.line = method + ' ' + path + " HTTP/1.1\r\n";
    std::string header = method + ' ' +
                         (absolute ? "http://" + authority : std::string()) +
                         path + " HTTP/1.1\r\n" + Choose({"Host", "host"}) +
                         ':' + Choose({"", " ", "\t "}) +
                         (absolute && Chance(2) ? "b.example" : authority) +
                         Choose({"", " "}) + "\r\nX-Attempt-Id: 1\r\n";
    header += Choose({"", "Connection: keep-alive\r\n", "Connection:\r\n",
                      "X-Empty:\r\n", "Connection: X-Attempt-Id, te\r\n",
                      "X-Text: \xc3\xa9 \"a, b\"\r\n"});
    const bool has_body = method != "GET" && method != "HEAD" && Chance(2);
    const bool chunked = has_body && Chance(2);
    if (has_body) {
      request.body = std::string(
          Chance(4) ? limits.body_bytes : Pick(0, limits.body_bytes), 'b');
    }
    if (chunked) {
      header += Choose({"Transfer-Encoding: chunked\r\n",
                        "transfer-encoding: Chunked\r\nTrailer: X-Sum\r\n"});
    } else if (has_body || Chance(4)) {
      header +=
          "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    constexpr std::string_view kPadding = "X-Padding: ";
    // The line breaks at the end of the padding and of the header.
    constexpr std::size_t kEndBytes = 4;
    const std::size_t room =
        limits.header_bytes - header.size() - kPadding.size() - kEndBytes;
    header += kPadding;
    header.append(Chance(2) ? room : Pick(1, room), 'p');
    header += "\r\n\r\n";
    request.bytes = Choose({"", "", "", "\r\n"}) + header +
                    (chunked ? Chunks(request.body) : request.body);
    return request;
  }

  // Cuts the text at random positions.
  std::vector<std::string> Cut(const std::string& text) {
    std::vector<std::string> pieces;
    std::size_t begin = 0;
    while (begin < text.size()) {
      const std::size_t size = Chance(3) ? Pick(1, 4) : Pick(1, 4000);
      pieces.push_back(text.substr(begin, size));
      begin += size;
    }
    return pieces;
  }

 private:
  std::string Choose(std::vector<std::string> texts) {
    return texts[Pick(0, texts.size() - 1)];
  }

  std::string Chunks(const std::string& body) {
    std::string bytes;
    std::size_t begin = 0;
    while (begin < body.size()) {
      const std::size_t size = std::min(body.size() - begin, Pick(1, 300));
      std::array<char, 32> number{};
      std::snprintf(number.data(), number.size(), Chance(2) ? "%zx" : "00%zX",
                    size);
      bytes += number.data() +
               Choose({"", "", ";a", ";a=b", ";a=\"b;\\\" c\"", ";a;b=1"}) +
               "\r\n" + body.substr(begin, size) + "\r\n";
      begin += size;
    }
    return bytes + Choose({"0", "000", "0;last"}) + "\r\n" +
           Choose({"", "", "X-Sum: 1\r\n", "Host: b.example\r\n"}) + "\r\n";
  }

  std::mt19937 random_;
};

// Receives until `complete` returns true for the bytes, or the time is over.
template <typename Complete>
std::string ReceiveUntil(RelayFixture& host,
                         tcp::socket& socket,
                         const Complete& complete) {
  const auto give_up_at =
      std::chrono::steady_clock::now() + std::chrono::seconds(2);
  std::string received;
  while (!complete(received) && std::chrono::steady_clock::now() < give_up_at) {
    received += host.Receive(socket, kStep);
  }
  return received;
}

// Checks that the server gets the request as it was sent.
void CheckSent(RelayFixture& host,
               tcp::socket& server,
               const ProperRequest& request) {
  const std::string sent =
      ReceiveUntil(host, server, [&](const std::string& bytes) {
        const std::size_t end = bytes.find("\r\n\r\n");
        return end != std::string::npos &&
               bytes.size() >= end + 4 + request.body.size();
      });
  CHECK(sent.starts_with(request.line));
  CHECK(Count(sent, "X-Attempt-Id: 1\r\n") == 1);
  CHECK(Count(sent, "b.example\r\n") == 0);
  const std::size_t header_end = sent.find("\r\n\r\n");
  REQUIRE(header_end != std::string::npos);
  CHECK(sent.substr(header_end + 4) == request.body);
}

}  // namespace

TEST_CASE("no proper request is rejected", "[R4]") {
  RequestMaker maker(kSeed);
  RelayFixture host(state::RequestKind::kIdempotent);
  host.SetLimits(maker.MakeLimits());
  for (int connection = 0; connection < kConnections; ++connection) {
    tcp::socket caller = host.ConnectCaller();
    host.Receive(caller, kStep);
    for (int round = 0; round < kRoundsPerConnection; ++round) {
      const state::IngressLimits limits = maker.MakeLimits();
      host.SetLimits(limits);
      std::vector<ProperRequest> requests;
      std::string bytes;
      for (std::size_t left = maker.Pick(1, kMaxPipelined); left > 0; --left) {
        requests.push_back(maker.Make(limits));
        bytes += requests.back().bytes;
      }
      CAPTURE(connection, round, limits.header_bytes, limits.body_bytes, bytes);
      std::string received;
      for (const std::string& piece : maker.Cut(bytes)) {
        Send(caller, piece);
        received += host.Receive(caller, kStep);
      }
      REQUIRE(received.empty());
      // The relay may send the requests of a connection at the same time.
      std::vector<tcp::socket> servers;
      for (std::size_t index = 0; index < requests.size(); ++index) {
        servers.push_back(host.AcceptFromRelay());
        CheckSent(host, servers.back(), requests[index]);
      }
      for (tcp::socket& server : servers) {
        Send(server,
             "HTTP/1.1 204 No Content\r\nX-Attempt-Id: 1\r\n"
             "X-Server-Signature: s\r\nConnection: close\r\n\r\n");
        server.close();
      }
      received = ReceiveUntil(host, caller, [&](const std::string& answers) {
        return Count(answers, "HTTP/1.1 ") >= requests.size();
      });
      REQUIRE(Count(received, "HTTP/1.1 204 ") == requests.size());
      REQUIRE(Count(received, "HTTP/1.1 ") == requests.size());
    }
  }
}

}  // namespace mustardflow::tests
