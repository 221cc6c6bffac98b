// Answers that a host cannot vouch for must not end a request as rejected.

#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using state::RequestKind;
using transport::asio::ip::tcp;

constexpr std::string_view kHeadEnd = "\r\n\r\n";

constexpr std::string_view kRequest =
    "POST /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n"
    "X-Shard-Key: 5\r\nContent-Length: 2\r\n\r\nhi";

std::string Answer(int status, const std::string& fields) {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nX-Attempt-Id: 1\r\n" + fields +
         "Content-Length: 4\r\n\r\nbody";
}

}  // namespace

// A rejection is final for the caller. Without the server's signature it may
// come from spoiled bytes or from another program at the server's address.
TEST_CASE("a rejection without the server's signature is not passed on",
          "[R4]") {
  const RequestKind kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  const int status = GENERATE(300, 302, 304, 400, 401, 403, 404, 413, 431, 499);
  const std::string fields = GENERATE("", "X-Server-Signature: \r\n");
  CAPTURE(static_cast<int>(kind), status, fields);
  RelayFixture host(kind);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server, Answer(status, fields));
  const std::string answer = host.ReceiveUntil(caller, kHeadEnd);
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(Count(answer, "body") == 0);
  CHECK(Count(host.LogText(), R"("event":"attempt-untrusted","id":"1")") == 1);
}

// A server in a spoiled state may answer any request so. The caller would take
// a 400 as final although no server has judged its request.
TEST_CASE("a server's 400 that says \"not run\" is a refusal", "[R4]") {
  const RequestKind kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  CAPTURE(static_cast<int>(kind));
  RelayFixture host(kind);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server, Answer(400, "X-Not-Executed: 1\r\n"));
  const std::string answer = host.ReceiveUntil(caller, kHeadEnd);
  CHECK(answer.starts_with("HTTP/1.1 503"));
  CHECK(Count(answer, "Retry-After: ") == 1);
  CHECK(Count(host.LogText(), R"("event":"attempt-not-run","id":"1")") == 1);
}

// Every server refuses a request without an id, so it would be sent in vain,
// and a refusal would make the caller send it again.
TEST_CASE("a request without an id is rejected and not sent", "[R4]") {
  const std::string id = GENERATE("", "X-Attempt-Id: \r\n");
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, "GET /desk/1 HTTP/1.1\r\nHost: a.example\r\n" + id + "\r\n");
  const std::string answer = host.ReceiveUntil(caller, kHeadEnd);
  CHECK(answer.starts_with("HTTP/1.1 400"));
  CHECK_FALSE(host.HasNewConnection());
  CHECK(Count(host.LogText(), R"("event":"no-id")") == 1);
  CHECK(Count(host.MetricsPage(),
              R"({origin="host",reason="no-id",status="400"} 1)") == 1);
}

// The gate has judged what the forwarding host sent, not the caller's request,
// and has sent nothing to the server.
TEST_CASE("a gate that cannot read a forwarded request is bypassed", "[R4]") {
  const RequestKind kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  const int status = GENERATE(400, 408, 413, 431);
  CAPTURE(static_cast<int>(kind), status);
  RelayFixture host;
  host.UseGate(kind);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket gate = host.AcceptAtGate();
  host.ReceiveUntil(gate, "hi");
  // Gates of earlier versions answer "failed".
  const std::string outcome = GENERATE("unreadable", "failed");
  CAPTURE(outcome);
  Send(gate, Answer(status, "X-Mustardflow-Outcome: " + outcome + "\r\n"));
  tcp::socket server = host.AcceptFromRelay();
  CHECK(Count(host.ReceiveUntil(server, "hi"), "X-Target-Instance: s1") == 1);
  Send(server, Answer(200, "X-Server-Signature: s\r\n"));
  CHECK(host.ReceiveUntil(caller, "body").starts_with("HTTP/1.1 200"));
}

// The gate decides by priority and kind, which only the forwarding host knows.
// Where admission by priority is off, gates get the same bytes as before.
TEST_CASE("the gate learns priority and route where they decide", "[R4]") {
  const bool by_priority = GENERATE(false, true);
  RelayFixture host;
  host.profile().admission_by_priority = by_priority;
  host.UseGate(RequestKind::kIdempotent);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket gate = host.AcceptAtGate();
  const std::string received = host.ReceiveUntil(gate, "hi");
  const std::size_t expected = by_priority ? 1 : 0;
  CHECK(Count(received, "X-Mustardflow-Priority: 0\r\n") == expected);
  CHECK(Count(received, "X-Mustardflow-Route: desk\r\n") == expected);
}

// Without the outcome it is no gate that answers, and a gate may say "answered"
// only of what the server has signed. Otherwise the server may have run the
// request, and nobody vouches for the status.
TEST_CASE("an answer that no gate vouches for is not passed on", "[R4]") {
  const RequestKind kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  const std::string bytes =
      GENERATE(Answer(200, "X-Server-Signature: s\r\n"), Answer(400, ""),
               Answer(404, "X-Server-Signature: s\r\n"), Answer(431, ""),
               Answer(503, "X-Not-Executed: 1\r\n"),
               Answer(200, "X-Mustardflow-Outcome: answered\r\n"),
               Answer(404, "X-Mustardflow-Outcome: answered\r\n"),
               Answer(429,
                      "X-Mustardflow-Outcome: answered\r\n"
                      "X-Server-Signature: s\r\n"),
               Answer(200, "X-Mustardflow-Outcome: failed\r\n"),
               Answer(503, "X-Mustardflow-Outcome: failed\r\n"));
  CAPTURE(static_cast<int>(kind), bytes);
  RelayFixture host;
  host.UseGate(kind);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket gate = host.AcceptAtGate();
  host.ReceiveUntil(gate, "hi");
  Send(gate, bytes);
  if (kind == RequestKind::kIdempotent) {
    tcp::socket server = host.AcceptFromRelay();
    host.ReceiveUntil(server, "hi");
    Send(server, Answer(201, "X-Server-Signature: s\r\n"));
    CHECK(host.ReceiveUntil(caller, "body").starts_with("HTTP/1.1 201"));
  } else {
    const std::string answer = host.ReceiveUntil(caller, kHeadEnd);
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(Count(answer, "body") == 0);
    CHECK_FALSE(host.HasNewConnection());
  }
}

// A server that breaks off in a head and then answers sends one head that mixes
// two: the status or the statement of the first, the signature of the second.
TEST_CASE("a head made of two answers is none", "[R4]") {
  const RequestKind kind =
      GENERATE(RequestKind::kIdempotent, RequestKind::kNonIdempotent);
  const std::string cut = GENERATE(
      "HTTP/1.1 404 Status\r\nX-Attempt-Id: 1\r\nX-Cut: ",
      "HTTP/1.1 404 Status\r\nX-Server-Signature: s\r\nX-Cut: ",
      "HTTP/1.1 503 Status\r\nX-Attempt-Id: 1\r\nX-Not-Executed: 1\r\nX-Cut: ",
      "HTTP/1.1 404 Status\r\nX-Cut: ", "HTTP/1.1 404 Sta",
      "HTTP/1.1 503 Status\r\nX-Not-Executed: 1\r\nX-Cut: ");
  CAPTURE(static_cast<int>(kind), cut);
  RelayFixture host(kind);
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server, cut + Answer(200, "X-Server-Signature: s\r\n"));
  CHECK(host.ReceiveUntil(caller, kHeadEnd).starts_with("HTTP/1.1 502"));
}

// Callers know no such status, and it may come only from spoiled bytes.
TEST_CASE("a status above 599 is not passed on", "[R4]") {
  const int status = GENERATE(600, 777, 999);
  const std::string fields = GENERATE("", "X-Server-Signature: s\r\n");
  CAPTURE(status, fields);
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server, Answer(status, fields));
  CHECK(host.ReceiveUntil(caller, kHeadEnd).starts_with("HTTP/1.1 502"));
}

// A rejection that the server vouches for must still reach the caller.
TEST_CASE("a signed rejection is passed on unchanged", "[R4]") {
  RelayFixture host;
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  Send(server, Answer(404, "X-Server-Signature: s\r\n"));
  const std::string answer = host.ReceiveUntil(caller, "body");
  CHECK(answer.starts_with("HTTP/1.1 404"));
  CHECK(answer.ends_with("\r\n\r\nbody"));
}

namespace {

// The status of the answer that may follow the first one.
constexpr int kOtherStatus = 404;

// What the server of the test does with a request.
struct Script {
  int interim = 0;
  int status = 200;
  std::string signature;
  bool is_signed = false;
  enum class Id { kRight, kNone, kOther };
  Id id = Id::kRight;
  bool not_run = false;
  enum class Framing {
    kLength,
    kChunked,
    kUntilClose,
    kShortLength,
    kCutChunks,
    kUntilReset,
    kCutHead,
    kNoise,
    kNothing
  };
  Framing framing = Framing::kLength;
  // The whole answer is sent a second time, or another one follows it.
  enum class After { kNothing, kCopy, kOther };
  After after = After::kNothing;
  // Whether the connection has carried an earlier request.
  bool reused = false;

  std::string Bytes() const;

  // More interim answers than a host skips.
  static constexpr int kManyInterim = 40;
  static constexpr std::string_view kBody = "the whole body";
};

constexpr std::size_t kStatusOffset = std::string_view("HTTP/1.1 ").size();

// What the answer to the request says, by the protocol between hosts and
// servers.
struct Given {
  int status = 0;
  bool is_signed = false;
  bool says_not_run = false;
  // The last bytes of the answer.
  std::string_view end;
};

// The answer that the bytes of the script contain; nullopt if none of them
// belongs to the request or the answer is not whole.
std::optional<Given> AnswerIn(const Script& script) {
  const bool has_no_body = script.status == 204 || script.status == 304;
  const bool whole =
      script.framing == Script::Framing::kLength ||
      script.framing == Script::Framing::kChunked ||
      script.framing == Script::Framing::kUntilClose ||
      script.framing == Script::Framing::kNothing ||
      (has_no_body && script.framing < Script::Framing::kCutHead);
  if (!whole || script.interim == Script::kManyInterim) {
    return std::nullopt;
  }
  if (script.status < 200 || script.id == Script::Id::kOther ||
      script.framing == Script::Framing::kNothing) {
    return script.after == Script::After::kOther
               ? std::optional(Given{kOtherStatus, true, false, "body"})
               : std::nullopt;
  }
  // Without an id it may be a second copy of an earlier answer.
  if (script.id == Script::Id::kNone && script.reused) {
    return std::nullopt;
  }
  return Given{script.status, script.is_signed,
               script.status == 421 || (script.not_run && script.status >= 300),
               has_no_body ? kHeadEnd : Script::kBody};
}

std::string Script::Bytes() const {
  std::string head =
      "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + signature;
  head += id == Id::kRight   ? "X-Attempt-Id: 1\r\n"
          : id == Id::kOther ? "X-Attempt-Id: 0\r\n"
                             : "";
  head += not_run ? "X-Not-Executed: 1\r\n" : "";
  const std::string body(kBody);
  std::string bytes;
  for (int i = 0; i < interim; ++i) {
    bytes += "HTTP/1.1 103 Early Hints\r\n\r\n";
  }
  switch (framing) {
    case Framing::kLength:
      return bytes + head + "Content-Length: " + std::to_string(body.size()) +
             "\r\n\r\n" + body;
    case Framing::kChunked:
      return bytes + head + "Transfer-Encoding: chunked\r\n\r\ne\r\n" + body +
             "\r\n0\r\n\r\n";
    case Framing::kUntilClose:
    case Framing::kUntilReset:
      return bytes + head + "\r\n" + body;
    case Framing::kShortLength:
      return bytes + head + "Content-Length: 99999\r\n\r\n" + body;
    case Framing::kCutChunks:
      return bytes + head + "Transfer-Encoding: chunked\r\n\r\ne\r\n" + body;
    case Framing::kCutHead:
      return bytes + head;
    case Framing::kNoise:
      return bytes + "\x01\x02 no answer \r\n\r\n";
    case Framing::kNothing:
      break;
  }
  return bytes;
}

class ScriptSource {
 public:
  explicit ScriptSource(std::uint64_t seed) : random_(seed) {}

  Script Next() {
    Script script;
    script.interim = Pick({0, 0, 0, 1, Script::kManyInterim});
    script.status =
        Below(2) == 0
            ? Pick({200, 304, 400, 404, 408, 413, 421, 429, 431, 500, 503, 504})
            : 100 + Below(500);
    script.is_signed = Below(2) == 0;
    script.signature = script.is_signed ? "X-Server-Signature: s\r\n"
                       : Below(4) == 0  ? "X-Server-Signature: \r\n"
                                        : "";
    script.id = static_cast<Script::Id>(Pick({0, 0, 1, 2}));
    script.not_run = Below(3) == 0;
    script.framing = static_cast<Script::Framing>(
        Below(2) == 0 ? 0
                      : Below(1 + static_cast<int>(Script::Framing::kNothing)));
    // With the end of the connection as its end, an answer contains all that
    // follows.
    script.after = script.framing == Script::Framing::kUntilClose
                       ? Script::After::kNothing
                       : static_cast<Script::After>(Below(3));
    script.reused = Below(2) == 0;
    return script;
  }
  int Below(int bound) {
    return std::uniform_int_distribution<int>(0, bound - 1)(random_);
  }

 private:
  int Pick(const std::vector<int>& values) {
    return values[static_cast<std::size_t>(
        Below(static_cast<int>(values.size())))];
  }

  std::mt19937_64 random_;
};

// Has one request answered as in the script. Returns what the caller gets.
std::string Play(const Script& script, RequestKind kind) {
  RelayFixture host(kind);
  tcp::socket caller = host.ConnectCaller();
  std::optional<tcp::socket> server;
  if (script.reused) {
    Send(caller,
         "GET /desk/0 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 0\r\n\r\n");
    server = host.AcceptFromRelay();
    host.ReceiveUntil(*server, kHeadEnd);
    Send(*server,
         "HTTP/1.1 200 OK\r\nX-Attempt-Id: 0\r\nX-Server-Signature: s\r\n"
         "Content-Length: 5\r\n\r\nfirst");
    host.ReceiveUntil(caller, "first");
  }
  Send(caller, kRequest);
  if (!server) {
    server = host.AcceptFromRelay();
  }
  host.ReceiveUntil(*server, "hi");
  std::string bytes = script.Bytes();
  if (script.after == Script::After::kCopy) {
    bytes += bytes;
  } else if (script.after == Script::After::kOther) {
    bytes += Answer(kOtherStatus, "X-Server-Signature: other\r\n");
  }
  Send(*server, bytes);
  if (script.framing == Script::Framing::kUntilReset) {
    host.Receive(*server, std::chrono::milliseconds(2));
    server->set_option(transport::asio::socket_base::linger(true, 0));
  }
  server->close();
  // A second answer would follow at once.
  std::string received = host.ReceiveUntil(caller, kHeadEnd);
  return received + host.Receive(caller, std::chrono::milliseconds(2));
}

}  // namespace

// Guards against a final rejection, a promise that the request was not run, or
// a signed answer for which no server stands, whatever bytes arrive.
TEST_CASE("no bytes from a server make a host say what it cannot vouch for",
          "[R4]") {
  constexpr std::uint64_t kSeed = 20261204;
  constexpr int kCases = 300;
  ScriptSource source(kSeed);
  for (int i = 0; i < kCases; ++i) {
    const Script script = source.Next();
    const RequestKind kind = source.Below(2) == 0 ? RequestKind::kIdempotent
                                                  : RequestKind::kNonIdempotent;
    const std::string answer = Play(script, kind);
    const std::optional<Given> given = AnswerIn(script);
    INFO("case " << i << ", sent: " << script.Bytes()
                 << "\nreused: " << script.reused << ", after: "
                 << static_cast<int>(script.after) << "\ngot: " << answer);
    REQUIRE(Count(answer, "HTTP/1.1 ") == 1);
    REQUIRE(answer.size() > kStatusOffset);
    const int status = std::stoi(answer.substr(kStatusOffset));
    if (status == 408 || status == 421 || status == 429 || status == 503) {
      // The host's own: not the server's bytes, and certain.
      CHECK(status == 503);
      CHECK(Count(answer, "Signature") == 0);
      CHECK((given && given->says_not_run));
    } else if (status < 500 || Count(answer, "X-Server-Signature: s") > 0) {
      REQUIRE(given);
      CHECK(given->is_signed);
      CHECK_FALSE(given->says_not_run);
      CHECK(given->status == status);
      CHECK(answer.ends_with(given->end));
    }
  }
}

}  // namespace mustardflow::tests
