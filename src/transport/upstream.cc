// Implements exchanges with backend servers and other hosts.

#include "transport/upstream.h"

#include <utility>

#include "transport/clocks.h"

namespace mustardflow::transport {

using coordination::AttemptOutcome;
using coordination::AttemptReason;

namespace {

constexpr std::size_t kMaxIdlePerAddress = 64;
constexpr std::size_t kReadBufferBytes = 64 << 10;
// Time limit for receiving the next bytes of a body.
constexpr state::Duration kBodyTimeout = std::chrono::seconds(10);

// Returns whether an idle connection cannot be reused, because the peer has
// closed it or has sent data without a request.
bool IsUnusable(UpstreamConnection& connection) {
  tcp::socket& socket = connection.stream.socket();
  beast::error_code error;
  socket.non_blocking(true, error);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

// Returns the reason why no answer header was read after the request had been
// written.
AttemptReason ReasonFromError(const beast::error_code& error) {
  if (error == beast::error::timeout) {
    return AttemptReason::kTimedOut;
  }
  const bool malformed =
      error.category() ==
      http::make_error_code(http::error::bad_field).category();
  const bool truncated = error == http::error::end_of_stream ||
                         error == http::error::partial_message;
  return malformed && !truncated ? AttemptReason::kBadAnswer
                                 : AttemptReason::kConnectionBroken;
}

}  // namespace

UpstreamConnection::UpstreamConnection(const asio::any_io_executor& executor)
    : stream(executor) {
  // Reserved in advance, because Boost.Beast reads at most the capacity of the
  // buffer at a time.
  buffer.reserve(kReadBufferBytes);
}

AttemptResult Failed(AttemptOutcome end, AttemptReason reason) {
  return {end, reason, nullptr};
}

UpstreamAnswer::UpstreamAnswer(UpstreamPool* pool,
                               state::Address address,
                               std::unique_ptr<UpstreamConnection> connection,
                               std::unique_ptr<Reader> reader)
    : pool_(pool),
      address_(std::move(address)),
      connection_(std::move(connection)),
      reader_(std::move(reader)) {}

UpstreamAnswer::~UpstreamAnswer() {
  const bool body_complete = complete();
  const bool reusable =
      body_complete && reader_->keep_alive() && connection_->buffer.size() == 0;
  if (reusable) {
    pool_->Return(address_, std::move(connection_));
  }
  if (on_close_) {
    on_close_(body_complete);
  }
}

awaitable<std::optional<std::size_t>> UpstreamAnswer::Read(char* data,
                                                           std::size_t size) {
  std::size_t filled = 0;
  while (filled < size && !complete()) {
    auto& body = reader_->message().body();
    body.data = data + filled;
    body.size = size - filled;
    connection_->stream.expires_after(kBodyTimeout);
    const beast::error_code error =
        co_await ReadPart(connection_->stream, connection_->buffer, *reader_);
    filled = size - reader_->message().body().size;
    if (error && error != http::error::need_buffer) {
      co_return std::nullopt;
    }
    if (filled > 0 && connection_->buffer.size() == 0) {
      break;
    }
  }
  co_return filled;
}

void UpstreamAnswer::OnClose(std::function<void(bool)> on_close) {
  on_close_ = std::move(on_close);
}

UpstreamPool::UpstreamPool(asio::any_io_executor executor)
    : executor_(std::move(executor)) {}

awaitable<AttemptResult> UpstreamPool::Exchange(state::Address address,
                                                const UpstreamRequest& request,
                                                state::Instant deadline,
                                                ConnectionUse use,
                                                CancelPredicate is_cancelled) {
  std::unique_ptr<UpstreamConnection> connection;
  if (use == ConnectionUse::kReuse) {
    connection = TakeIdle(address);
  }
  if (!connection) {
    connection = std::make_unique<UpstreamConnection>(executor_);
    connection->stream.expires_after(deadline - Now());
    const auto [error] = co_await connection->stream.async_connect(
        ToEndpoint(address), kNoThrow);
    if (error) {
      co_return Failed(AttemptOutcome::kNotRun, AttemptReason::kConnectFailed);
    }
    connection->stream.socket().set_option(tcp::no_delay(true));
  }
  connection->stream.expires_after(deadline - Now());
  const auto [write_error, written] =
      co_await http::async_write(connection->stream, request, kNoThrow);
  if (write_error) {
    // The server cannot run a request that it received only in part.
    co_return Failed(AttemptOutcome::kNotRun, AttemptReason::kConnectFailed);
  }
  auto reader = std::make_unique<UpstreamAnswer::Reader>(
      AnswerTerms{request.method() == http::verb::head, boost::none});
  auto cancellable = cancellable_exchanges_.end();
  if (is_cancelled) {
    cancellable = cancellable_exchanges_.insert(
        cancellable_exchanges_.end(),
        {connection.get(), std::move(is_cancelled)});
  }
  const beast::error_code read_error =
      co_await ReadFinalHead(connection->stream, connection->buffer, *reader);
  if (cancellable != cancellable_exchanges_.end()) {
    cancellable_exchanges_.erase(cancellable);
  }
  if (read_error) {
    co_return Failed(AttemptOutcome::kUnknown, ReasonFromError(read_error));
  }
  AttemptResult result{AttemptOutcome::kAnswered, AttemptReason::kNone,
                       nullptr};
  result.answer = std::make_unique<UpstreamAnswer>(
      this, std::move(address), std::move(connection), std::move(reader));
  co_return result;
}

void UpstreamPool::Tick() {
  for (CancellableExchange& each : cancellable_exchanges_) {
    if (each.is_cancelled()) {
      each.connection->stream.cancel();
    }
  }
}

void UpstreamPool::Return(const state::Address& address,
                          std::unique_ptr<UpstreamConnection> connection) {
  auto& idle = idle_[address];
  if (idle.size() < kMaxIdlePerAddress) {
    connection->stream.expires_never();
    idle.push_back(std::move(connection));
  }
}

std::unique_ptr<UpstreamConnection> UpstreamPool::TakeIdle(
    const state::Address& address) {
  auto& idle = idle_[address];
  while (!idle.empty()) {
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (!IsUnusable(*connection)) {
      return connection;
    }
  }
  return nullptr;
}

}  // namespace mustardflow::transport
