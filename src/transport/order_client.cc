// Sends orders and judges their answers.

#include "transport/order_client.h"

#include <iomanip>
#include <random>
#include <sstream>
#include <utility>

#include "platform/server_protocol.h"

namespace mustardflow::transport {

using coordination::KeyOrder;
using coordination::OrderKind;
using coordination::OrderOutcome;
using state::Duration;

namespace {

// A server replies to a release only when its requests on the released keys
// have ended.
constexpr Duration kReleaseTimeout = std::chrono::milliseconds(2600);
constexpr std::size_t kMaxReplyBytes = 64 << 10;

// Returns the value of a header field, or null if the reply does not have it.
const std::string* FindField(const HttpReply& reply, std::string_view name) {
  for (const auto& [field, value] : reply.fields) {
    if (beast::iequals(field, beast::string_view(name.data(), name.size()))) {
      return &value;
    }
  }
  return nullptr;
}

// Returns whether the reply states that the order was not carried out. No other
// error does: it may come from something between this host and the server, or
// from the server after it has applied the order.
bool StatesNotExecuted(const HttpReply& reply) {
  return reply.status == 421 ||
         (!reply.ok() &&
          FindField(reply, platform::kNotExecutedField) != nullptr);
}

// Returns whether the reply can be the one to the order with this id. Servers
// need not repeat the id.
bool MayAnswer(const HttpReply& reply, const std::string& id) {
  const std::string* repeated = FindField(reply, platform::kAttemptIdField);
  return repeated == nullptr || *repeated == id;
}

// Returns whether the reply repeats the id of its order.
bool RepeatsId(const HttpReply& reply) {
  return FindField(reply, platform::kAttemptIdField) != nullptr;
}

// The outcome of an order without an answer.
OrderOutcome FailureOutcome(const beast::error_code& error, bool sent) {
  if (!sent) {
    return error == asio::error::operation_aborted ? OrderOutcome::kWithheld
                                                   : OrderOutcome::kNotSent;
  }
  return error == asio::error::connection_reset ||
                 error == asio::error::broken_pipe
             ? OrderOutcome::kReset
             : OrderOutcome::kUnknown;
}

OrderOutcome GrantOutcome(const HttpReply& reply) {
  if (StatesNotExecuted(reply)) {
    return OrderOutcome::kNotSent;
  }
  if (reply.ok() && FindField(reply, platform::kNotExecutedField) == nullptr) {
    return OrderOutcome::kAccepted;
  }
  return reply.status == 409 ? OrderOutcome::kRefused : OrderOutcome::kUnknown;
}

OrderOutcome ReleaseOutcome(const HttpReply& reply) {
  if (StatesNotExecuted(reply)) {
    return OrderOutcome::kNotSent;
  }
  // Only the answer to a release has the handover. Without it, this may be a
  // late copy of the answer to an earlier grant.
  return reply.ok() &&
                 FindField(reply, platform::kNotExecutedField) == nullptr &&
                 FindField(reply, platform::kHandoverField) != nullptr
             ? OrderOutcome::kAccepted
             : OrderOutcome::kUnknown;
}

}  // namespace

OrderClient::OrderClient(const asio::any_io_executor& executor)
    : id_prefix_(std::random_device()()),
      executor_(executor),
      grants_(std::make_shared<Grants>()),
      grant_client_(executor, kMaxReplyBytes),
      release_client_(executor, kMaxReplyBytes) {}

std::string OrderClient::MakeId() {
  std::ostringstream id;
  id << std::hex << std::setfill('0') << std::setw(8) << id_prefix_
     << std::setw(8) << ++id_count_;
  return id.str();
}

HttpSendOptions OrderClient::MakeOptions(const std::string& server) {
  const std::string id = MakeId();
  HttpSendOptions options;
  options.fields.emplace_back(platform::kServerIdField, server);
  options.fields.emplace_back(platform::kAttemptIdField, id);
  options.is_own_reply = [id](const HttpReply& reply) {
    return MayAnswer(reply, id);
  };
  return options;
}

class OrderClient::Turn {
 public:
  Turn(const std::shared_ptr<Grants>& grants, state::Address address)
      : grants_(grants), address_(std::move(address)) {}
  Turn(const Turn&) = delete;
  Turn& operator=(const Turn&) = delete;

  // Lets the next grant to the server begin, if any.
  ~Turn() {
    const std::shared_ptr<Grants> grants = grants_.lock();
    const auto next =
        grants != nullptr ? grants->queue.Leave(address_) : std::nullopt;
    if (next) {
      grants->waits.at(*next)->cancel();
    }
  }

 private:
  const std::weak_ptr<Grants> grants_;
  const state::Address address_;
};

awaitable<bool> OrderClient::WaitForTurn(state::Address address) {
  const std::uint64_t ticket = ++ticket_count_;
  switch (grants_->queue.Enter(address, ticket)) {
    case coordination::OrderQueue::Entry::kBegins:
      co_return true;
    case coordination::OrderQueue::Entry::kFull:
      co_return false;
    case coordination::OrderQueue::Entry::kWaits:
      break;
  }
  asio::steady_timer timer(executor_, coordination::kOrderTimeout);
  grants_->waits[ticket] = &timer;
  co_await timer.async_wait(kNoThrow);
  grants_->waits.erase(ticket);
  co_return !grants_->queue.GiveUp(address, ticket);
}

awaitable<OrderReply> OrderClient::Send(state::Address address,
                                        KeyOrder order,
                                        OrderChecks checks) {
  if (order.kind == OrderKind::kRelease) {
    co_return co_await SendNow(address, order, std::move(checks));
  }
  const bool begins = co_await WaitForTurn(address);
  if (!begins) {
    OrderReply withheld;
    withheld.outcome = OrderOutcome::kWithheld;
    co_return withheld;
  }
  const Turn turn(grants_, address);
  co_return co_await SendNow(address, order, std::move(checks));
}

awaitable<OrderReply> OrderClient::SendNow(state::Address address,
                                           KeyOrder order,
                                           OrderChecks checks) {
  OrderReply result;
  const bool grant = order.kind == OrderKind::kGrant;
  HttpSendOptions options = MakeOptions(order.server.id);
  options.trace = &result.trace;
  options.may_write = std::move(checks.may_write);
  options.may_connect = std::move(checks.may_connect);
  // On a new connection the order could reach a later incarnation of the
  // server, for which the grant is not meant.
  options.reconnect = false;
  if (!grant) {
    // A second answer to this release may arrive later. Without an id it would
    // pass for the answer to the next release on the connection.
    options.may_keep = RepeatsId;
  }
  // These are built before the awaited call, because g++ 12 destroys the
  // temporaries of conditional arguments of an awaited call twice.
  const std::string path(grant ? platform::kGrantPath : platform::kReleasePath);
  const std::string body =
      grant ? platform::GrantBody(order.first, order.last, order.fence,
                                  coordination::kKeyLease, order.handover)
            : platform::ReleaseBody(order.first, order.last, order.fence);
  const Duration timeout =
      grant ? coordination::kOrderTimeout : kReleaseTimeout;
  HttpClient& client = grant ? grant_client_ : release_client_;
  const auto reply = co_await client.Send(address, http::verb::post, path, body,
                                          timeout, std::move(options));
  if (!reply) {
    result.outcome = FailureOutcome(reply.error(), result.trace.sent);
    co_return result;
  }
  result.status = reply.value().status;
  result.outcome =
      grant ? GrantOutcome(reply.value()) : ReleaseOutcome(reply.value());
  if (const std::string* handover =
          FindField(reply.value(), platform::kHandoverField);
      handover != nullptr && result.outcome == OrderOutcome::kAccepted) {
    result.handover = *handover;
  }
  co_return result;
}

// The release of keys that the server does not hold changes nothing.
awaitable<bool> OrderClient::Probe(state::Address address,
                                   state::ServerIncarnation server) {
  HttpSendOptions options = MakeOptions(server.id);
  options.may_keep = RepeatsId;
  const std::string path(platform::kReleasePath);
  const std::string body = platform::ReleaseBody(0, 0, 0);
  const auto reply = co_await release_client_.Send(
      address, http::verb::post, path, body, coordination::kOrderTimeout,
      std::move(options));
  co_return reply.has_value() && reply.value().ok();
}

}  // namespace mustardflow::transport
