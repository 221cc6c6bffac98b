// Tests what the leader takes as known of an order, with a backend server that
// answers as the test says.

#include "transport/order_client.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace mustardflow::tests {

namespace {

using coordination::KeyOrder;
using coordination::OrderKind;
using coordination::OrderOutcome;
using std::chrono::milliseconds;
using transport::OrderReply;
using transport::asio::ip::tcp;
namespace asio = transport::asio;
namespace http = transport::http;

std::string Answer(int status, const std::string& fields = "") {
  return "HTTP/1.1 " + std::to_string(status) +
         " Status\r\nContent-Length: 0\r\n" + fields + "\r\n";
}

// An order as the server has received it.
struct Received {
  // Connections are counted from 0.
  int connection = 0;
  std::string path;
  std::string attempt_id;
};

// A client of orders and the server that receives them.
class OrderFixture {
 public:
  // Acts on a received order: may write to the socket or close it.
  using Action = std::function<void(tcp::socket&, const Received&)>;

  explicit OrderFixture(Action action)
      : acceptor_(context_, {asio::ip::make_address("127.0.0.1"), 0}),
        action_(std::move(action)),
        client_(context_.get_executor()) {
    asio::co_spawn(context_, Accept(), asio::detached);
  }

  // Sends an order without waiting for its end.
  void Start(OrderKind kind,
             std::function<bool()> may_write,
             std::function<bool()> may_connect = {}) {
    asio::co_spawn(
        context_, SendOne(kind, {std::move(may_write), std::move(may_connect)}),
        asio::detached);
  }

  // Sends an order and returns its end.
  OrderReply Send(OrderKind kind) {
    Start(kind, [] { return true; });
    RunUntilReplies(replies.size() + 1);
    return replies.back();
  }

  void RunUntilReplies(std::size_t count) {
    while (replies.size() < count) {
      context_.run_one();
    }
  }

  void RunFor(milliseconds duration) { context_.run_for(duration); }

  asio::io_context& context() { return context_; }

  std::vector<Received> received;
  // How the connections ended that the client ended.
  std::vector<boost::system::error_code> ends;
  std::vector<OrderReply> replies;
  // Called with each reply before the next grant to the server begins.
  std::function<void(const OrderReply&)> on_reply;
  // The open connections.
  std::vector<tcp::socket*> connections;

 private:
  transport::awaitable<void> SendOne(OrderKind kind,
                                     transport::OrderChecks checks) {
    KeyOrder order;
    order.id = ++order_count_;
    order.kind = kind;
    order.server = {"s1", 1};
    order.first = 10;
    order.last = 19;
    order.fence = 7;
    const state::Address address{"127.0.0.1",
                                 acceptor_.local_endpoint().port()};
    replies.push_back(co_await client_.Send(address, order, std::move(checks)));
    if (on_reply) {
      on_reply(replies.back());
    }
  }

  transport::awaitable<void> Accept() {
    for (int count = 0;; ++count) {
      auto [error, socket] =
          co_await acceptor_.async_accept(transport::kNoThrow);
      if (error) {
        co_return;
      }
      asio::co_spawn(context_, Serve(std::move(socket), count), asio::detached);
    }
  }

  transport::awaitable<void> Serve(tcp::socket socket, int connection) {
    connections.push_back(&socket);
    transport::beast::flat_buffer buffer;
    while (socket.is_open()) {
      http::request<http::string_body> request;
      const auto [error, bytes] = co_await http::async_read(
          socket, buffer, request, transport::kNoThrow);
      if (error) {
        ends.push_back(error);
        break;
      }
      received.push_back({connection, std::string(request.target()),
                          std::string(request["X-Attempt-Id"])});
      action_(socket, received.back());
    }
    std::erase(connections, &socket);
  }

  asio::io_context context_;
  tcp::acceptor acceptor_;
  const Action action_;
  transport::OrderClient client_;
  std::uint64_t order_count_ = 0;
};

// An action that writes one text as the answer to each order.
OrderFixture::Action AnswerWith(std::string text) {
  return [text = std::move(text)](tcp::socket& socket, const Received&) {
    asio::write(socket, asio::buffer(text));
  };
}

}  // namespace

// Guards against keys that are given on while their holder's lease runs: an
// answer with any other status was taken as proof that the order had no effect.
TEST_CASE("only an answer that says so proves that an order had no effect",
          "[O1]") {
  struct Case {
    OrderKind kind;
    int status;
    std::string fields;
    OrderOutcome outcome;
  };
  const std::string not_executed = "X-Not-Executed: 1\r\n";
  const std::string handover = "X-Handover: 5c0e\r\n";
  const auto test = GENERATE_COPY(values<Case>({
      {OrderKind::kGrant, 200, "", OrderOutcome::kAccepted},
      {OrderKind::kGrant, 409, "", OrderOutcome::kRefused},
      {OrderKind::kGrant, 421, "", OrderOutcome::kNotSent},
      {OrderKind::kGrant, 503, not_executed, OrderOutcome::kNotSent},
      {OrderKind::kGrant, 302, "", OrderOutcome::kUnknown},
      {OrderKind::kGrant, 400, "", OrderOutcome::kUnknown},
      {OrderKind::kGrant, 404, "", OrderOutcome::kUnknown},
      {OrderKind::kGrant, 500, "", OrderOutcome::kUnknown},
      {OrderKind::kGrant, 503, "", OrderOutcome::kUnknown},
      {OrderKind::kGrant, 200, not_executed, OrderOutcome::kUnknown},
      {OrderKind::kRelease, 200, handover, OrderOutcome::kAccepted},
      {OrderKind::kRelease, 200, "", OrderOutcome::kUnknown},
      {OrderKind::kRelease, 421, "", OrderOutcome::kNotSent},
      {OrderKind::kRelease, 429, not_executed, OrderOutcome::kNotSent},
      // A release is never refused.
      {OrderKind::kRelease, 409, "", OrderOutcome::kUnknown},
      {OrderKind::kRelease, 500, handover, OrderOutcome::kUnknown},
  }));
  OrderFixture fixture(AnswerWith(Answer(test.status, test.fields)));
  const OrderReply reply = fixture.Send(test.kind);
  CAPTURE(test.kind, test.status, test.fields);
  CHECK(reply.outcome == test.outcome);
  CHECK(reply.status == test.status);
  CHECK(reply.handover ==
        (test.outcome == OrderOutcome::kAccepted && !test.fields.empty()
             ? "5c0e"
             : ""));
}

// Guards against an extra answer, sent while a connection is idle, that counts
// as the answer to the next order; and against an order that is written to a
// connection which the server has closed.
TEST_CASE("an order is not written where something is waiting to be read",
          "[O1]") {
  OrderFixture fixture(AnswerWith(Answer(200)));
  REQUIRE(fixture.Send(OrderKind::kGrant).outcome == OrderOutcome::kAccepted);
  const bool closes = GENERATE(false, true);
  if (closes) {
    fixture.connections[0]->shutdown(tcp::socket::shutdown_send);
  } else {
    asio::write(*fixture.connections[0], asio::buffer(Answer(200)));
  }
  const OrderReply reply = fixture.Send(OrderKind::kGrant);
  CAPTURE(closes);
  CHECK_FALSE(reply.trace.sent);
  CHECK(reply.outcome == OrderOutcome::kNotSent);
  fixture.RunFor(milliseconds(20));
  CHECK(fixture.received.size() == 1);
  // The next order takes another connection.
  CHECK(fixture.Send(OrderKind::kGrant).outcome == OrderOutcome::kAccepted);
  REQUIRE(fixture.received.size() == 2);
  CHECK(fixture.received[1].connection == 1);
}

// Guards against a lease that counts as renewed, or as released, by the answer
// to an earlier order.
TEST_CASE("an answer with the id of another order proves nothing", "[O1]") {
  const OrderKind kind = GENERATE(OrderKind::kGrant, OrderKind::kRelease);
  const int status = GENERATE(200, 409, 421);
  OrderFixture fixture(AnswerWith(Answer(
      status, "X-Handover: 5c0e\r\nX-Attempt-Id: 0011223344556677\r\n")));
  const OrderReply reply = fixture.Send(kind);
  CAPTURE(kind, status);
  CHECK(reply.outcome == OrderOutcome::kUnknown);
  CHECK(reply.handover.empty());
  fixture.RunFor(milliseconds(20));
  REQUIRE(fixture.ends.size() == 1);
  CHECK(fixture.ends[0] == asio::error::connection_reset);
}

TEST_CASE("each order has an id, and its answer may repeat it", "[O1]") {
  OrderFixture fixture([](tcp::socket& socket, const Received& order) {
    asio::write(socket,
                asio::buffer(Answer(200, "x-attempt-id: " + order.attempt_id +
                                             "\r\nX-Handover: 5c0e\r\n")));
  });
  CHECK(fixture.Send(OrderKind::kGrant).outcome == OrderOutcome::kAccepted);
  CHECK(fixture.Send(OrderKind::kGrant).outcome == OrderOutcome::kAccepted);
  CHECK(fixture.Send(OrderKind::kRelease).outcome == OrderOutcome::kAccepted);
  REQUIRE(fixture.received.size() == 3);
  CHECK_FALSE(fixture.received[0].attempt_id.empty());
  CHECK(fixture.received[0].attempt_id != fixture.received[1].attempt_id);
  CHECK(fixture.received[1].attempt_id != fixture.received[2].attempt_id);
}

// Guards against a lease that counts as unknown for longer than needed, and
// against one that counts from an end which proves nothing.
TEST_CASE("only a reset by the server tells that an order is not under way",
          "[O1]") {
  SECTION("reset") {
    OrderFixture fixture([](tcp::socket& socket, const Received&) {
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
    });
    CHECK(fixture.Send(OrderKind::kGrant).outcome == OrderOutcome::kReset);
  }
  SECTION("closed") {
    OrderFixture fixture(
        [](tcp::socket& socket, const Received&) { socket.close(); });
    CHECK(fixture.Send(OrderKind::kGrant).outcome == OrderOutcome::kUnknown);
  }
  SECTION("not an answer") {
    OrderFixture fixture(AnswerWith("good morning\r\n\r\n"));
    CHECK(fixture.Send(OrderKind::kGrant).outcome == OrderOutcome::kUnknown);
  }
  SECTION("a part of an answer") {
    OrderFixture fixture([](tcp::socket& socket, const Received&) {
      asio::write(socket, asio::buffer(std::string_view(
                              "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")));
      socket.close();
    });
    CHECK(fixture.Send(OrderKind::kGrant).outcome == OrderOutcome::kUnknown);
  }
  SECTION("nothing") {
    OrderFixture fixture([](tcp::socket&, const Received&) {});
    CHECK(fixture.Send(OrderKind::kGrant).outcome == OrderOutcome::kUnknown);
  }
}

// Guards against a grant that leaves after this host has lost the right to
// grant: it was asked for only before a connection was opened.
TEST_CASE("the right to send an order is asked for when it is written",
          "[O1]") {
  OrderFixture fixture(AnswerWith(Answer(200)));
  const bool kept = GENERATE(false, true);
  if (kept) {
    REQUIRE(fixture.Send(OrderKind::kGrant).outcome == OrderOutcome::kAccepted);
  }
  const std::size_t earlier = fixture.received.size();
  bool allowed = !kept;
  fixture.Start(OrderKind::kGrant, [&allowed] { return allowed; });
  // Takes effect while the connection is being opened.
  asio::post(fixture.context(), [&allowed] { allowed = false; });
  fixture.RunUntilReplies(earlier + 1);
  CAPTURE(kept);
  CHECK(fixture.replies.back().outcome == OrderOutcome::kWithheld);
  CHECK_FALSE(fixture.replies.back().trace.sent);
  fixture.RunFor(milliseconds(20));
  CHECK(fixture.received.size() == earlier);
  // The connection is kept for the next order.
  CHECK(fixture.Send(OrderKind::kGrant).outcome == OrderOutcome::kAccepted);
  CHECK(fixture.received.back().connection == 0);
}

// Guards against new connections to a server for each burst of grants, which
// the server may let wait: most of these grants got no answer in time.
TEST_CASE("grants to one server share one connection", "[O1]") {
  OrderFixture fixture(AnswerWith(Answer(200)));
  const auto may_write = [] { return true; };
  for (int i = 0; i < 12; ++i) {
    fixture.Start(OrderKind::kGrant, may_write);
  }
  fixture.RunUntilReplies(12);
  REQUIRE(fixture.received.size() == 12);
  for (std::size_t i = 0; i < 12; ++i) {
    CHECK(fixture.replies[i].outcome == OrderOutcome::kAccepted);
    CHECK(fixture.received[i].connection == 0);
  }
}

// Guards against grants that wait behind a release, which a server answers only
// when its requests on the released keys have ended.
TEST_CASE("a release without an answer holds up no other order", "[O1]") {
  OrderFixture fixture([](tcp::socket& socket, const Received& order) {
    if (order.path == "/grant") {
      asio::write(socket, asio::buffer(Answer(200)));
    }
  });
  const auto may_write = [] { return true; };
  fixture.Start(OrderKind::kRelease, may_write);
  fixture.Start(OrderKind::kRelease, may_write);
  fixture.Start(OrderKind::kGrant, may_write);
  fixture.RunUntilReplies(1);
  CHECK(fixture.replies[0].outcome == OrderOutcome::kAccepted);
  fixture.RunFor(milliseconds(20));
  REQUIRE(fixture.received.size() == 3);
  CHECK(fixture.connections.size() == 3);
}

// Guards against a silent server that gets order upon order, each of which
// counts as unanswered.
TEST_CASE("grants that wait for a silent server too long are not written",
          "[O1]") {
  OrderFixture fixture([](tcp::socket&, const Received&) {});
  const auto may_write = [] { return true; };
  for (int i = 0; i < 5; ++i) {
    fixture.Start(OrderKind::kGrant, may_write);
  }
  fixture.RunUntilReplies(5);
  int unknown = 0;
  for (const OrderReply& reply : fixture.replies) {
    unknown += reply.outcome == OrderOutcome::kUnknown ? 1 : 0;
    CHECK((reply.outcome == OrderOutcome::kUnknown) == reply.trace.sent);
    CHECK((reply.outcome == OrderOutcome::kWithheld) == !reply.trace.sent);
  }
  CHECK(fixture.received.size() == static_cast<std::size_t>(unknown));
  CHECK(unknown <= 2);
}

// Guards against a release that ends a lease while work goes on, since a second
// answer to an earlier release arrived after it had been sent.
TEST_CASE("the answer to an earlier release ends no other lease", "[O1][O13]") {
  const bool repeats_id = GENERATE(false, true);
  OrderFixture fixture([repeats_id](tcp::socket& socket,
                                    const Received& order) {
    const std::string id = "X-Attempt-Id: " + order.attempt_id + "\r\n";
    asio::write(socket, asio::buffer(Answer(200, "X-Handover: 5c0e\r\n" +
                                                     (repeats_id ? id : ""))));
  });
  REQUIRE(fixture.Send(OrderKind::kRelease).outcome == OrderOutcome::kAccepted);
  REQUIRE(fixture.Send(OrderKind::kRelease).outcome == OrderOutcome::kAccepted);
  REQUIRE(fixture.received.size() == 2);
  CHECK(fixture.received[1].connection == (repeats_id ? 0 : 1));
}

// Guards against an order that leaves and is reset at once, since a busy leader
// learned of its new connection only after the timeout.
TEST_CASE("an order whose timeout has passed is not written", "[O1]") {
  OrderFixture fixture(AnswerWith(Answer(200)));
  fixture.Start(OrderKind::kGrant, [] { return true; });
  // The server begins to accept, and the client to connect.
  fixture.context().poll_one();
  fixture.context().poll_one();
  std::this_thread::sleep_for(coordination::kOrderTimeout + milliseconds(50));
  fixture.RunUntilReplies(1);
  fixture.RunFor(milliseconds(50));
  CHECK(fixture.received.empty());
  CHECK(fixture.replies.back().outcome == OrderOutcome::kWithheld);
  CHECK_FALSE(fixture.replies.back().trace.sent);
}

// Guards against a grant with an old fence that goes to a new incarnation over
// a new connection, since it waited for one whose connection was lost.
TEST_CASE("a waiting grant asks before it opens another connection", "[O8]") {
  const bool closes = GENERATE(false, true);
  OrderFixture fixture([closes](tcp::socket& socket, const Received&) {
    if (closes) {
      asio::write(socket, asio::buffer(Answer(200, "Connection: close\r\n")));
    } else {
      socket.set_option(asio::socket_base::linger(true, 0));
      socket.close();
    }
  });
  bool lost = false;
  fixture.on_reply = [&lost](const OrderReply& reply) {
    lost = lost || reply.trace.closed || reply.outcome == OrderOutcome::kReset;
  };
  for (int i = 0; i < 3; ++i) {
    fixture.Start(
        OrderKind::kGrant, [] { return true; }, [&lost] { return !lost; });
  }
  fixture.RunUntilReplies(3);
  fixture.RunFor(milliseconds(20));
  CAPTURE(closes);
  CHECK(fixture.received.size() == 1);
  CHECK(fixture.replies[0].outcome ==
        (closes ? OrderOutcome::kAccepted : OrderOutcome::kReset));
  CHECK(fixture.replies[1].outcome == OrderOutcome::kWithheld);
  CHECK(fixture.replies[2].outcome == OrderOutcome::kWithheld);
}

}  // namespace mustardflow::tests
