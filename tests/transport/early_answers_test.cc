// Answers that a server sends while it is still receiving an upload. Only those
// whose end is certain may reach a caller.

#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "tests/transport/relay_fixture.h"

namespace mustardflow::tests {

namespace {

using state::RequestKind;
using transport::asio::ip::tcp;

constexpr std::string_view kHeadEnd = "\r\n\r\n";
// More than the buffers of both sockets hold, so that most of an upload is
// still to be written when the answer arrives.
constexpr std::size_t kUploadBytes = 16 << 20;
constexpr std::size_t kMemoryBytes = 128 << 20;

std::string Head(const std::string& status, const std::string& id) {
  return "HTTP/1.1 " + status + " Status\r\nX-Attempt-Id: " + id +
         "\r\nX-Server-Signature: s\r\nX-Mustardflow-Outcome: answered\r\n";
}

std::string WithLength(const std::string& status, const std::string& id) {
  return Head(status, id) + "Content-Length: 4\r\n\r\nbody";
}

std::string InChunks(const std::string& status, const std::string& id) {
  return Head(status, id) +
         "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
}

std::string UntilClose(const std::string& status, const std::string& id) {
  return Head(status, id) + "\r\nbody";
}

// How the server of a test ends a connection.
enum class End { kReset, kFinish, kFinishThenReset };

void Reset(tcp::socket& socket) {
  socket.set_option(transport::asio::socket_base::linger(true, 0));
  socket.close();
}

void EndConnection(tcp::socket& socket, End end) {
  if (end != End::kReset) {
    socket.shutdown(tcp::socket::shutdown_send);
  }
  if (end != End::kFinish) {
    Reset(socket);
  }
}

class UploadFixture {
 public:
  explicit UploadFixture(RequestKind kind = RequestKind::kNonIdempotent)
      : host_(kind, kMemoryBytes) {}

  RelayFixture& host() { return host_; }

  // Sends an upload with this id from a new caller.
  tcp::socket Upload(const std::string& id) {
    tcp::socket caller = host_.ConnectCaller();
    const std::string request =
        "POST /desk/" + id +
        " HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: " + id +
        "\r\nX-Shard-Key: 5\r\nContent-Length: " +
        std::to_string(kUploadBytes) + "\r\n\r\n" +
        std::string(kUploadBytes, 'u');
    caller.non_blocking(true);
    for (std::size_t sent = 0; sent < request.size();) {
      boost::system::error_code error;
      sent += caller.write_some(
          transport::asio::buffer(request.data() + sent, request.size() - sent),
          error);
      REQUIRE((!error || error == transport::asio::error::would_block));
      host_.Run(std::chrono::milliseconds(1));
    }
    return caller;
  }

  // Accepts a connection of the relay and reads the begin of an upload.
  tcp::socket AcceptUpload(bool at_gate = false) {
    tcp::socket server =
        at_gate ? host_.AcceptAtGate() : host_.AcceptFromRelay();
    const std::string begin = host_.ReceiveUntil(server, kHeadEnd);
    CHECK(Count(begin, "POST /desk/") == 1);
    body_bytes_read_ = begin.size() - begin.find(kHeadEnd) - kHeadEnd.size();
    return server;
  }

  // Reads the rest of the upload whose begin was read last.
  void ReadUpload(tcp::socket& server) {
    constexpr int kMaxTurns = 3000;
    for (int turn = 0; turn < kMaxTurns && body_bytes_read_ < kUploadBytes;
         ++turn) {
      body_bytes_read_ +=
          host_.Receive(server, std::chrono::milliseconds(1)).size();
    }
    CHECK(body_bytes_read_ == kUploadBytes);
  }

 private:
  RelayFixture host_;
  std::size_t body_bytes_read_ = 0;
};

}  // namespace

// Guards against a part of an answer that passes for the whole. The reset was
// reported to the write of the upload alone, so that reading found an ordinary
// end.
TEST_CASE("an answer cut by a reset during an upload is no answer", "[MIXED]") {
  const std::string status = GENERATE("200", "404", "500");
  const bool at_gate = GENERATE(false, true);
  const bool has_body = GENERATE(true, false);
  CAPTURE(status, at_gate, has_body);
  UploadFixture uploads;
  if (at_gate) {
    uploads.host().UseGate(RequestKind::kNonIdempotent);
  }
  tcp::socket caller = uploads.Upload("1");
  tcp::socket server = uploads.AcceptUpload(at_gate);
  Send(server, has_body ? UntilClose(status, "1") : Head(status, "1") + "\r\n");
  Reset(server);
  const std::string answer = uploads.host().ReceiveUntil(caller, kHeadEnd);
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(Count(answer, "body") == 0);
  CHECK(Count(answer, "Signature") == 0);
}

// As above, after the answer has begun to arrive.
TEST_CASE("an answer cut by a later reset during an upload is no answer",
          "[MIXED]") {
  UploadFixture uploads;
  tcp::socket caller = uploads.Upload("1");
  tcp::socket server = uploads.AcceptUpload();
  Send(server, UntilClose("200", "1"));
  uploads.host().Run(std::chrono::milliseconds(20));
  Reset(server);
  const std::string answer = uploads.host().ReceiveUntil(caller, kHeadEnd);
  CHECK(answer.starts_with("HTTP/1.1 502"));
  CHECK(Count(answer, "body") == 0);
}

TEST_CASE("a repeatable upload is sent again after a cut answer", "[MIXED]") {
  UploadFixture uploads(RequestKind::kIdempotent);
  uploads.host().OwnKeys(RequestKind::kIdempotent);
  tcp::socket caller = uploads.Upload("1");
  tcp::socket server = uploads.AcceptUpload();
  Send(server, UntilClose("200", "1"));
  Reset(server);
  const std::string answer = uploads.host().ReceiveUntil(caller, kHeadEnd);
  CHECK(Count(answer, "body") == 0);
  CHECK(Count(answer, "HTTP/1.1 200") == 0);
}

// Guards against an upload that is written to a connection which has ended, and
// whose caller waits until its deadline.
TEST_CASE("an upload after a connection that ended takes a new one", "[504]") {
  const End end = GENERATE(End::kReset, End::kFinish, End::kFinishThenReset);
  const std::string text = GENERATE(
      UntilClose("200", "1"), WithLength("200", "1"), InChunks("200", "1"));
  CAPTURE(static_cast<int>(end), text);
  UploadFixture uploads;
  tcp::socket first = uploads.Upload("1");
  tcp::socket server = uploads.AcceptUpload();
  Send(server, text);
  EndConnection(server, end);
  REQUIRE_FALSE(uploads.host().ReceiveUntil(first, kHeadEnd).empty());
  tcp::socket second = uploads.Upload("2");
  tcp::socket next = uploads.AcceptUpload();
  uploads.ReadUpload(next);
  Send(next, WithLength("201", "2"));
  const std::string answer = uploads.host().ReceiveUntil(second, "body");
  CHECK(answer.starts_with("HTTP/1.1 201"));
}

// The end of these answers is certain, however the connection ends.
TEST_CASE("a whole early answer to an upload is passed on", "[MIXED]") {
  const std::string status = GENERATE("200", "401", "413", "500");
  const bool chunked = GENERATE(false, true);
  const End end = GENERATE(End::kReset, End::kFinish, End::kFinishThenReset);
  const bool at_gate = GENERATE(false, true);
  CAPTURE(status, chunked, static_cast<int>(end), at_gate);
  UploadFixture uploads;
  if (at_gate) {
    uploads.host().UseGate(RequestKind::kNonIdempotent);
  }
  tcp::socket caller = uploads.Upload("1");
  tcp::socket server = uploads.AcceptUpload(at_gate);
  Send(server, chunked ? InChunks(status, "1") : WithLength(status, "1"));
  EndConnection(server, end);
  const std::string answer = uploads.host().ReceiveUntil(caller, "body");
  const bool passed = !at_gate || status != "500";
  CHECK(answer.starts_with("HTTP/1.1 " + (passed ? status : "502")));
  CHECK(answer.ends_with("\r\n\r\nbody") == passed);
}

// With the end of the connection as its end, an answer is whole if the server
// has finished sending in the ordinary way.
TEST_CASE("an early answer up to the close is passed on", "[MIXED]") {
  const std::string status = GENERATE("200", "401", "413", "500");
  const End end = GENERATE(End::kFinish, End::kFinishThenReset);
  // Whether the relay reads the end of the answer before the reset arrives.
  const bool pause = GENERATE(false, true);
  CAPTURE(status, static_cast<int>(end), pause);
  UploadFixture uploads;
  tcp::socket caller = uploads.Upload("1");
  tcp::socket server = uploads.AcceptUpload();
  Send(server, UntilClose(status, "1"));
  EndConnection(server, End::kFinish);
  if (pause) {
    uploads.host().Run(std::chrono::milliseconds(20));
  }
  if (end == End::kFinishThenReset) {
    Reset(server);
  }
  const std::string answer = uploads.host().ReceiveUntil(caller, "body");
  CHECK(answer.starts_with("HTTP/1.1 " + status));
  CHECK(answer.ends_with("\r\n\r\nbody"));
}

// A refusal that says so lets the caller come back at once.
TEST_CASE("an early refusal of an upload is a refusal", "[MIXED]") {
  const End end = GENERATE(End::kReset, End::kFinish);
  CAPTURE(static_cast<int>(end));
  UploadFixture uploads;
  tcp::socket caller = uploads.Upload("1");
  tcp::socket server = uploads.AcceptUpload();
  Send(server,
       "HTTP/1.1 503 Busy\r\nX-Attempt-Id: 1\r\nX-Not-Executed: 1\r\n"
       "Content-Length: 0\r\n\r\n");
  EndConnection(server, end);
  CHECK(uploads.host()
            .ReceiveUntil(caller, kHeadEnd)
            .starts_with("HTTP/1.1 503"));
}

TEST_CASE("a long download is passed on", "[MIXED]") {
  const bool chunked = GENERATE(false, true);
  CAPTURE(chunked);
  UploadFixture uploads;
  RelayFixture& host = uploads.host();
  tcp::socket caller = host.ConnectCaller();
  Send(caller,
       "GET /desk/1 HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: 1\r\n\r\n");
  tcp::socket server = host.AcceptFromRelay();
  host.ReceiveUntil(server, kHeadEnd);
  constexpr std::size_t kParts = 256;
  const std::string part(32 << 10, 'd');
  Send(server, Head("200", "1") +
                   (chunked ? "Transfer-Encoding: chunked\r\n\r\n" : "\r\n"));
  for (std::size_t i = 0; i < kParts; ++i) {
    Send(server, chunked ? "8000\r\n" + part + "\r\n" : part);
    host.Run(std::chrono::milliseconds(1));
  }
  if (chunked) {
    Send(server, "0\r\n\r\n");
  } else {
    server.close();
  }
  std::string answer = host.ReceiveUntil(caller, kHeadEnd);
  const std::size_t head_bytes = answer.find(kHeadEnd) + kHeadEnd.size();
  while (answer.size() < head_bytes + kParts * part.size() && !host.ended()) {
    answer += host.Receive(caller, std::chrono::milliseconds(1));
  }
  CHECK(answer.starts_with("HTTP/1.1 200"));
  CHECK(answer.size() == head_bytes + kParts * part.size());
}

}  // namespace mustardflow::tests
