// Tests the HTTP server for internal requests with bytes that no client of this
// system sends.

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <string>
#include <string_view>

#include "transport/http_listener.h"

namespace mustardflow::tests {

namespace {

using transport::asio::ip::tcp;
namespace asio = transport::asio;
using std::chrono::milliseconds;

constexpr std::string_view kBegin =
    "POST /echo HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    "2\r\nhi\r\n";
// The listener finds the body and the two fields of the header.
constexpr std::string_view kAnswerEnd = "\r\n\r\nhi/2";

// A listener that answers with the body and the number of fields of a request.
class ListenerFixture {
 public:
  ListenerFixture()
      : address_{"127.0.0.1", FreePort(context_)},
        listener_(context_.get_executor(),
                  address_,
                  {},
                  [](transport::HttpRequest request)
                      -> transport::awaitable<transport::HttpReply> {
                    transport::HttpReply reply;
                    reply.body =
                        request.body + '/' +
                        std::to_string(std::distance(request.fields.begin(),
                                                     request.fields.end()));
                    co_return reply;
                  }) {
    listener_.Start();
  }

  tcp::socket Connect() {
    tcp::socket socket(context_);
    socket.connect({asio::ip::make_address(address_.ip), address_.port});
    socket.non_blocking(true);
    return socket;
  }

  void Run(milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  // Sends `part` until `max_bytes` are sent, or the listener closes the
  // connection or reads no more for a second. Returns the bytes sent.
  std::size_t Send(tcp::socket& socket,
                   std::string_view part,
                   std::size_t max_bytes) {
    constexpr int kMaxTurns = 1000;
    std::size_t sent = 0;
    for (int turn = 0; sent < max_bytes && turn < kMaxTurns; ++turn) {
      boost::system::error_code error;
      const std::size_t begin = sent % part.size();
      sent += socket.write_some(
          asio::buffer(part.substr(begin, max_bytes - sent)), error);
      if (error && error != asio::error::would_block) {
        break;
      }
      if (!error) {
        turn = 0;
      }
      Run(milliseconds(1));
    }
    return sent;
  }

  // Receives until `end` has arrived, or the connection has ended, or three
  // seconds are over.
  std::string ReceiveUntil(tcp::socket& socket, std::string_view end) {
    constexpr int kMaxTurns = 3000;
    std::string received;
    std::array<char, 4096> buffer{};
    for (int turn = 0; turn < kMaxTurns && !received.ends_with(end); ++turn) {
      Run(milliseconds(1));
      boost::system::error_code error;
      received.append(buffer.data(),
                      socket.read_some(asio::buffer(buffer), error));
      if (error && error != asio::error::would_block) {
        break;
      }
    }
    return received;
  }

 private:
  static std::uint16_t FreePort(asio::io_context& context) {
    tcp::acceptor acceptor(context, {asio::ip::make_address("127.0.0.1"), 0});
    return acceptor.local_endpoint().port();
  }

  asio::io_context context_;
  const state::Address address_;
  transport::HttpListener listener_;
};

}  // namespace

// Guards against a process that ends by such a request: the parser threw
// std::length_error out of the event loop.
TEST_CASE("a listener drops a long field after the chunks", "[fields]") {
  const std::size_t value_bytes = GENERATE(10, 65'533, 65'534);
  CAPTURE(value_bytes);
  ListenerFixture fixture;
  tcp::socket client = fixture.Connect();
  const std::string request = std::string(kBegin) +
                              "0\r\nX-Long: " + std::string(value_bytes, 'l') +
                              "\r\n\r\n";
  CHECK(fixture.Send(client, request, request.size()) == request.size());
  CHECK(fixture.ReceiveUntil(client, kAnswerEnd).ends_with(kAnswerEnd));
}

// Guards against memory that grows with what a client sends: the parser keeps a
// line between chunks, and the fields after them, until they are complete.
TEST_CASE("a listener keeps no line without end", "[fields]") {
  constexpr std::size_t kMaxSentBytes = 64 << 20;
  // What the listener may hold, and what the sockets' buffers may.
  constexpr std::size_t kMaxTakenBytes = 16 << 20;
  const std::string begin = GENERATE("0\r\nX-Long: ", "3;", "3;x=\"");
  CAPTURE(begin);
  ListenerFixture fixture;
  tcp::socket client = fixture.Connect();
  const std::string head = std::string(kBegin) + begin;
  fixture.Send(client, head, head.size());
  CHECK(fixture.Send(client, std::string(64 << 10, 'l'), kMaxSentBytes) <
        kMaxTakenBytes);

  tcp::socket other = fixture.Connect();
  const std::string request = std::string(kBegin) + "0\r\n\r\n";
  fixture.Send(other, request, request.size());
  CHECK(fixture.ReceiveUntil(other, kAnswerEnd).ends_with(kAnswerEnd));
}

}  // namespace mustardflow::tests
