// Answers as the clients for orders and for the first version's exchanges read
// them. Those of ServerConnection are tested through the relay.

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "transport/clocks.h"
#include "transport/http_client.h"
#include "transport/upstream.h"

namespace mustardflow::tests {

namespace {

using transport::asio::ip::tcp;
namespace asio = transport::asio;
namespace http = transport::http;
using std::chrono::milliseconds;

constexpr milliseconds kTimeout(500);
constexpr std::size_t kMaxReplyBytes = 64 << 10;

// More than a client may take of any one answer.
constexpr std::size_t kEndlessBytes = 64 << 20;

enum class Client { kHttpClient, kUpstream };

struct Received {
  int status = 0;
  std::string body;
};

// What the peer of a test sends after it has read the request.
struct PeerBytes {
  std::string text = {};
  // Sent again and again afterwards, until the client closes.
  std::string endless = {};
  bool closes = false;
  // The size of the parts that are sent one by one; 0 for all at once.
  std::size_t part_bytes = 0;
};

class ClientFixture {
 public:
  explicit ClientFixture(Client client) : client_(client) {}

  // Sends a request to a peer that sends these bytes. Returns the answer, or
  // nothing if the client found none.
  std::optional<Received> Exchange(PeerBytes bytes) {
    std::optional<Received> received;
    asio::co_spawn(context_, Serve(std::move(bytes)), asio::detached);
    asio::co_spawn(context_, Send(&received),
                   [this](const std::exception_ptr& thrown) {
                     threw_ = thrown != nullptr;
                     done_ = true;
                   });
    context_.restart();
    while (!done_) {
      context_.run_one();
    }
    CHECK_FALSE(threw_);
    return received;
  }

  // The bytes that the peer could send.
  std::size_t sent() const { return sent_; }

 private:
  transport::awaitable<void> Serve(PeerBytes bytes) {
    tcp::socket peer = co_await acceptor_.async_accept(asio::use_awaitable);
    transport::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    co_await http::async_read(peer, buffer, request, transport::kNoThrow);
    const std::size_t step =
        bytes.part_bytes == 0 ? bytes.text.size() : bytes.part_bytes;
    for (std::size_t at = 0; at < bytes.text.size(); at += step) {
      co_await Write(peer, bytes.text.substr(at, step));
      if (bytes.part_bytes > 0) {
        co_await asio::post(context_, asio::use_awaitable);
      }
    }
    while (!bytes.endless.empty() && sent_ < kEndlessBytes) {
      const bool written = co_await Write(peer, bytes.endless);
      if (!written) {
        break;
      }
    }
    if (!bytes.closes) {
      // Stays open until the client closes.
      co_await peer.async_wait(tcp::socket::wait_error, transport::kNoThrow);
    }
  }

  transport::awaitable<bool> Write(tcp::socket& peer, std::string text) {
    const auto [error, size] = co_await asio::async_write(
        peer, asio::buffer(text), transport::kNoThrow);
    sent_ += size;
    co_return !error;
  }

  transport::awaitable<void> Send(std::optional<Received>* received) {
    const state::Address address{"127.0.0.1",
                                 acceptor_.local_endpoint().port()};
    if (client_ == Client::kHttpClient) {
      transport::HttpClient client(context_.get_executor(), kMaxReplyBytes);
      const auto reply =
          co_await client.Send(address, http::verb::post, "/", "{}", kTimeout);
      if (reply) {
        *received = Received{reply.value().status, reply.value().body};
      }
      co_return;
    }
    transport::UpstreamPool pool(context_.get_executor());
    const transport::UpstreamRequest request(http::verb::get, "/", 11);
    const transport::AttemptResult result =
        co_await pool.Exchange(address, request, transport::Now() + kTimeout,
                               transport::ConnectionUse::kFresh, {});
    if (!result.answer) {
      co_return;
    }
    Received answer{static_cast<int>(result.answer->header().result_int()), ""};
    std::string part(4096, '\0');
    while (!result.answer->complete()) {
      const auto size = co_await result.answer->Read(part.data(), part.size());
      if (!size) {
        co_return;
      }
      answer.body += part.substr(0, *size);
    }
    *received = answer;
  }

  const Client client_;
  asio::io_context context_;
  tcp::acceptor acceptor_{context_, {asio::ip::make_address("127.0.0.1"), 0}};
  std::size_t sent_ = 0;
  bool done_ = false;
  bool threw_ = false;
};

Client AnyClient() {
  return GENERATE(Client::kHttpClient, Client::kUpstream);
}

std::string Answer(const std::string& status) {
  return "HTTP/1.1 " + status + " Status\r\nContent-Length: 4\r\n\r\nbody";
}

}  // namespace

TEST_CASE("a whole answer is read", "[answers]") {
  const Client client = AnyClient();
  const std::size_t part_bytes = GENERATE(0, 1, 7);
  const bool closes = GENERATE(false, true);
  const std::string head = "HTTP/1.1 201 Status\r\nX-Any: \ta \t b\r\n";
  const std::string text =
      head + GENERATE("Content-Length: 4\r\n\r\nbody",
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "2;x=\"y\"\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
                      "Transfer-Encoding: chunked\r\n\r\n"
                      "4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n",
                      "\r\nbody");
  const bool up_to_close = text.ends_with("\r\n\r\nbody") &&
                           text.find("Length") == std::string::npos;
  CAPTURE(static_cast<int>(client), part_bytes, closes, text);
  const auto received = ClientFixture(client).Exchange(
      {text, "", closes || up_to_close, part_bytes});
  REQUIRE(received);
  CHECK(received->status == 201);
  CHECK(received->body == "body");
}

// Guards against a status that no answer has, and against an interim answer
// that is taken for the final one.
TEST_CASE("an invalid status is no answer to a client", "[answers]") {
  const Client client = AnyClient();
  const std::string status = GENERATE("000", "001", "099", "101", "600", "999");
  CAPTURE(static_cast<int>(client), status);
  CHECK_FALSE(ClientFixture(client).Exchange({Answer(status), "", false}));
}

TEST_CASE("an invalid name of a field is no answer to a client", "[fields]") {
  const Client client = AnyClient();
  const std::string line =
      GENERATE(" X-Any: 1\r\n", "\tContent-Length: 2\r\n", "X Any: 1\r\n",
               "X-Any : 1\r\n", "X\x01y: 1\r\n", " \r\n");
  const std::size_t part_bytes = GENERATE(0, 1, 7);
  CAPTURE(static_cast<int>(client), line, part_bytes);
  CHECK_FALSE(ClientFixture(client).Exchange(
      {"HTTP/1.1 200 OK\r\nX-First: 1\r\n" + line +
           "Content-Length: 4\r\n\r\nbody",
       "", false, part_bytes}));
}

TEST_CASE("a client waits for the answer after interim ones", "[answers]") {
  const Client client = AnyClient();
  const std::string interim =
      GENERATE("HTTP/1.1 100 Continue\r\n\r\n",
               "HTTP/1.1 103 Early\r\nLink: <x>\r\n\r\n");
  CAPTURE(static_cast<int>(client), interim);
  const auto received = ClientFixture(client).Exchange(
      {interim + interim + Answer("200"), "", false});
  REQUIRE(received);
  CHECK(received->status == 200);
  CHECK(received->body == "body");
}

TEST_CASE("a client does not wait for interim answers without end",
          "[answers]") {
  const Client client = AnyClient();
  CAPTURE(static_cast<int>(client));
  ClientFixture fixture(client);
  CHECK_FALSE(
      fixture.Exchange({"", "HTTP/1.1 103 Early\r\nLink: <x>\r\n\r\n", false}));
}

// Guards against memory that grows with what a server or a host sends.
TEST_CASE("a client keeps no bytes without end", "[answers]") {
  const Client client = AnyClient();
  const std::string noise(4096, '#');
  std::string fields;
  while (fields.size() < noise.size()) {
    fields += "X-Any: 1\r\n";
  }
  const std::string head = "HTTP/1.1 200 OK\r\nX-Any: ";
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::string last_chunk = "3\r\nown\r\n0\r\nX-Any: 1\r\n";
  const auto bytes = GENERATE_COPY(
      PeerBytes{"", noise}, PeerBytes{head, noise},
      PeerBytes{head + "1\r\n", fields}, PeerBytes{chunked, noise},
      PeerBytes{chunked + "3;", noise}, PeerBytes{chunked + "3;x=\"", noise},
      PeerBytes{chunked + last_chunk + "X-Long: ", noise},
      PeerBytes{chunked + last_chunk, fields});
  CAPTURE(static_cast<int>(client), bytes.text, bytes.endless);
  ClientFixture fixture(client);
  CHECK_FALSE(fixture.Exchange(bytes));
  // A part of it fills the buffers of the sockets.
  CHECK(fixture.sent() < kEndlessBytes / 4);
}

TEST_CASE("a client keeps no body without end", "[answers]") {
  const std::string part(4096, '#');
  const std::string chunk = "1000\r\n" + part + "\r\n";
  const auto bytes = GENERATE_COPY(
      PeerBytes{"HTTP/1.1 200 OK\r\n\r\n", part},
      PeerBytes{"HTTP/1.1 200 OK\r\nContent-Length: 9999999\r\n\r\n", part},
      PeerBytes{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                chunk});
  CAPTURE(bytes.text);
  ClientFixture fixture(Client::kHttpClient);
  CHECK_FALSE(fixture.Exchange(bytes));
  CHECK(fixture.sent() < kEndlessBytes / 4);
}

// Guards against leaders that end, one after the other, by a server's answer to
// a grant.
TEST_CASE("a long line after the chunks is no answer to a client",
          "[answers]") {
  const Client client = AnyClient();
  const std::size_t size = GENERATE(65534, 70000);
  CAPTURE(static_cast<int>(client), size);
  CHECK_FALSE(ClientFixture(client).Exchange(
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
       "3\r\nown\r\n0\r\nnoise: " +
       std::string(size, '#') + "\r\n\r\n"}));
}

}  // namespace mustardflow::tests
