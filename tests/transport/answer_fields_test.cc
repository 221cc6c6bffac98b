// Answers in whose head the name of a field is invalid. A line that begins with
// a blank is one of them: it would be taken for a part of the field before it.

#include <catch2/catch.hpp>
#include <sstream>
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
const std::string kStatusLine = "HTTP/1.1 200 OK\r\n";
const std::string kOwnFields =
    "X-Attempt-Id: 1\r\nX-Server-Signature: s\r\n"
    "X-Mustardflow-Outcome: answered\r\n";

// Lines whose name of a field has a blank or a control byte in some place.
std::vector<std::string> InvalidLines() {
  std::vector<std::string> lines;
  for (const std::string name : {"X-Any", "Content-Length"}) {
    for (const char byte : {' ', '\t', '\0', '\x01', '\v', '\r', '\x7f'}) {
      for (const std::size_t at :
           {std::size_t{0}, std::size_t{1}, name.size()}) {
        std::string line = name;
        line.insert(at, 1, byte);
        lines.push_back(line + ": 2\r\n");
      }
    }
  }
  // A line of blanks alone, and one without a colon.
  lines.insert(lines.end(), {" \r\n", "\t\r\n", " X-Any\r\n", "X-Any\r\n"});
  return lines;
}

// Returns what the caller gets if the server sends `text` in two parts, the
// first with `split` bytes, and ends the stream.
std::string AnswerTo(const std::string& text, std::size_t split, bool at_gate) {
  RelayFixture host;
  if (at_gate) {
    host.UseGate(RequestKind::kNonIdempotent);
  }
  tcp::socket caller = host.ConnectCaller();
  Send(caller, kRequest);
  tcp::socket server = at_gate ? host.AcceptAtGate() : host.AcceptFromRelay();
  host.ReceiveUntil(server, "hi");
  if (split > 0) {
    Send(server, text.substr(0, split));
    host.Run(std::chrono::milliseconds(1));
  }
  // The host may have reset the connection.
  boost::system::error_code ignored;
  const std::string rest = text.substr(split);
  transport::asio::write(server, transport::asio::buffer(rest), ignored);
  server.shutdown(tcp::socket::shutdown_send, ignored);
  std::string answer = host.ReceiveUntil(caller, kHeadEnd);
  answer += host.Receive(caller, std::chrono::milliseconds(2));
  return answer;
}

}  // namespace

// Guards against a field of the server that becomes a part of another one: a
// Content-Length that does not count, so that a body has bytes of what follows
// it, or a line that is passed on.
TEST_CASE("a head with an invalid name of a field is no answer", "[fields]") {
  const bool at_gate = GENERATE(false, true);
  const std::string framing = GENERATE("Content-Length: 4\r\n", "");
  for (const std::string& line : InvalidLines()) {
    for (const std::string& head :
         {line + kOwnFields + framing, kOwnFields + line + framing,
          kOwnFields + framing + line}) {
      CAPTURE(at_gate, framing, line, head);
      const std::string answer =
          AnswerTo(kStatusLine + head + "\r\nbody", 0, at_gate);
      CHECK(answer.starts_with("HTTP/1.1 502"));
      CHECK(Count(answer, "body") == 0);
      CHECK(Count(answer, "X-Any") == 0);
    }
  }
}

// The rule must not depend on how the bytes arrive.
TEST_CASE("an invalid name of a field in parts is no answer", "[fields]") {
  const std::string blank = GENERATE(" ", "\t");
  const std::string text = kStatusLine + kOwnFields + blank +
                           "Content-Length: 2\r\nX-Last: 1\r\n\r\nbody";
  for (std::size_t split = 0; split < text.size(); ++split) {
    const std::string answer = AnswerTo(text, split, false);
    CAPTURE(blank, split);
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(Count(answer, "body") == 0);
  }
}

TEST_CASE("an invalid line after the chunks makes no answer", "[fields]") {
  const std::string line = GENERATE(
      " X-Any: 2\r\n", "\tX-Any: 2\r\n", "X Any: 2\r\n", "X-Any : 2\r\n",
      "X-Any: HTTP/1.1 200 OK\r\n", "X-Attempt-Id: 1\r\n");
  const std::string before = GENERATE("", "X-Sum: 1\r\n");
  const std::string text = kStatusLine + kOwnFields +
                           "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
                           "0;x=y\r\n" +
                           before + line + "\r\n";
  for (const std::size_t split :
       {std::size_t{0}, text.size() / 2, text.size() - 3}) {
    CAPTURE(line, before, split);
    const std::string answer = AnswerTo(text, split, false);
    CHECK(answer.starts_with("HTTP/1.1 502"));
    CHECK(Count(answer, "X-Any") == 0);
  }
}

// Blanks are allowed around a value, and in a body.
TEST_CASE("blanks outside of names are allowed in an answer", "[fields]") {
  const std::string field =
      GENERATE("X-Any:1\r\n", "X-Any: \t 1 \t\r\n", "X-Any:\r\n", "X-Any: \r\n",
               "X-Any: a b\tc\r\n", "x-!#$%&'*+.^_`|~9: 1\r\n");
  const std::string body = GENERATE("\r\n A: 1\r\n", "\tB: 2\r\n\r\n C: 3");
  const bool chunked = GENERATE(false, true);
  std::ostringstream size;
  size << std::hex << body.size();
  const std::string head =
      kStatusLine + field + kOwnFields +
      (chunked ? "Transfer-Encoding: chunked\r\n\r\n" + size.str() + "\r\n" +
                     body + "\r\n0\r\nX-Sum:  1 2\r\n\r\n"
               : "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                     body);
  for (const std::size_t split :
       {std::size_t{0}, head.size() - body.size() - 2, head.size() - 1}) {
    CAPTURE(field, body, chunked, split);
    const std::string answer = AnswerTo(head, split, false);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(answer.ends_with("\r\n\r\n" + body));
  }
}

}  // namespace mustardflow::tests
