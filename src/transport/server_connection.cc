// Connects, writes requests and parses answers.

#include "transport/server_connection.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <utility>
#include <vector>

#include "platform/server_protocol.h"
#include "transport/clocks.h"

namespace mustardflow::transport {

namespace {

// Limits the memory for an answer, which is buffered until it is complete.
constexpr std::size_t kMaxAnswerBytes = 32 << 20;
// How often, and for how long, an answer waits for memory. Servers cut off an
// answer that stays unread for some seconds.
constexpr auto kPauseInterval = std::chrono::milliseconds(20);
constexpr state::Duration kMaxPause = std::chrono::seconds(1);
// Interim answers and late answers to earlier requests that may precede the
// answer to a request. A server in trouble may send them without end.
constexpr int kMaxSkippedMessages = kMaxInterimAnswers;

// Whether a write that ended with this error may have met a reset. The kernel
// reports a reset only once, so reads after it find the end of the stream as
// after a FIN. A reset after a FIN is reported as a broken pipe.
bool IsReset(const beast::error_code& write_error) {
  return write_error && write_error != asio::error::broken_pipe &&
         write_error != asio::error::operation_aborted;
}

}  // namespace

ServerConnection::ServerConnection(
    asio::io_context& context,
    const state::Address& address,
    MemoryAccountPtr memory,
    std::shared_ptr<std::size_t> open_connections)
    : socket_(context),
      endpoint_(ToEndpoint(address)),
      memory_(std::move(memory)),
      open_connections_(std::move(open_connections)),
      own_draw_(memory_),
      pause_timer_(context) {
  ++*open_connections_;
  own_draw_.SetCounted(sizeof(ServerConnection));
}

void ServerConnection::Send(std::string head,
                            std::shared_ptr<const BodyBuffer> body,
                            std::string request_id,
                            bool answer_has_no_body,
                            Handler handler) {
  output_head_ = std::move(head);
  output_body_ = std::move(body);
  request_id_ = std::move(request_id);
  answer_has_no_body_ = answer_has_no_body;
  handler_ = std::move(handler);
  idle_closed_handler_ = nullptr;
  reusable_ = false;
  ++requests_;
  skipped_messages_ = 0;
  ResetReader();
  if (connected_) {
    Write();
    Read();
  } else if (!connecting_) {
    Connect();
  }
}

void ServerConnection::ResetReader() {
  reader_ = std::make_unique<Reader>(
      AnswerTerms{answer_has_no_body_, kMaxAnswerBytes});
  reader_->message().body().Bind(memory_, nullptr);
  paused_since_.reset();
}

void ServerConnection::Connect() {
  connecting_ = true;
  socket_.async_connect(
      endpoint_, [self = shared_from_this()](const beast::error_code& error) {
        self->connecting_ = false;
        if (self->closed_) {
          return;
        }
        if (error) {
          self->FinishExchange(ExchangeResult::kNotConnected, {});
          return;
        }
        self->connected_ = true;
        beast::error_code ignored;
        self->socket_.set_option(tcp::no_delay(true), ignored);
        self->Write();
        self->Read();
      });
}

void ServerConnection::Write() {
  writing_ = true;
  std::vector<asio::const_buffer> buffers{asio::buffer(output_head_)};
  output_body_->AppendTo(&buffers, std::numeric_limits<std::size_t>::max());
  const auto bytes_to_write = [self = shared_from_this()](
                                  const beast::error_code& error,
                                  std::size_t written) -> std::size_t {
    return self->read_end_ ? 0 : asio::transfer_all()(error, written);
  };
  asio::async_write(
      socket_, buffers, bytes_to_write,
      [self = shared_from_this()](const beast::error_code& error, std::size_t) {
        self->HandleWritten(error);
      });
}

void ServerConnection::HandleWritten(const beast::error_code& error) {
  writing_ = false;
  write_error_ = error;
  output_body_.reset();
  if (closed_) {
    return;
  }
  if (read_end_) {
    FinishAtReadEnd();
    return;
  }
  // While a read is pending, the read reports the failure. The server may have
  // sent an answer before it closed, and the read delivers it first.
  if (error && !reading_) {
    FinishExchange(ExchangeResult::kBroken, {});
  }
}

void ServerConnection::Read() {
  if (reading_ || closed_) {
    return;
  }
  reading_ = true;
  socket_.async_read_some(
      asio::buffer(read_chunk_),
      [self = shared_from_this()](const beast::error_code& error,
                                  std::size_t size) {
        self->reading_ = false;
        self->HandleRead(error, size);
      });
}

void ServerConnection::HandleRead(const beast::error_code& error,
                                  std::size_t size) {
  if (closed_) {
    return;
  }
  if (!handler_) {
    // The connection is idle: the server has closed it or sends bytes without a
    // request.
    auto idle_closed = std::move(idle_closed_handler_);
    Reset();
    if (idle_closed) {
      idle_closed();
    }
    return;
  }
  if (error == asio::error::eof) {
    HandleReadEnd();
    return;
  }
  if (error) {
    FinishExchange(ExchangeResult::kBroken, {});
    return;
  }
  input_buffer_.append(read_chunk_.data(), size);
  Parse();
}

void ServerConnection::HandleReadEnd() {
  read_end_ = true;
  if (!writing_) {
    FinishAtReadEnd();
    return;
  }
  beast::error_code ignored;
  socket_.cancel(ignored);
}

void ServerConnection::FinishAtReadEnd() {
  if (!IsReset(write_error_)) {
    beast::error_code error;
    reader_->PutEnd(&error);
    if (!error && HandleMessage()) {
      return;
    }
  }
  FinishExchange(ExchangeResult::kBroken, {});
}

void ServerConnection::Parse() {
  while (!input_buffer_.empty()) {
    // To free memory, the account may end the request itself.
    preparing_ = true;
    const bool prepared = PrepareBody();
    preparing_ = false;
    if (closed_) {
      reader_.reset();
      return;
    }
    if (!prepared) {
      PauseReading();
      return;
    }
    paused_since_.reset();
    beast::error_code error;
    const std::size_t used = reader_->Put(asio::buffer(input_buffer_), &error);
    input_buffer_.erase(0, used);
    if (error && error != http::error::need_more) {
      FinishExchange(ExchangeResult::kBroken, {});
      return;
    }
    if (reader_->is_done()) {
      if (HandleMessage()) {
        return;
      }
      continue;
    }
    if (error == http::error::need_more) {
      break;
    }
  }
  Read();
}

bool ServerConnection::PrepareBody() {
  if (!reader_->has_head()) {
    return true;
  }
  // What is announced is not reserved: a server in trouble may announce what it
  // never sends.
  return reader_->message().body().Prepare(input_buffer_.size());
}

void ServerConnection::PauseReading() {
  const state::Instant now = Now();
  if (!paused_since_) {
    paused_since_ = now;
  }
  if (now - *paused_since_ > kMaxPause) {
    FinishExchange(ExchangeResult::kBroken, {});
    return;
  }
  pause_timer_.expires_after(kPauseInterval);
  pause_timer_.async_wait(
      [self = shared_from_this()](const beast::error_code& error) {
        if (!error && !self->closed_ && self->handler_) {
          self->Parse();
        }
      });
}

bool ServerConnection::HandleMessage() {
  http::response<BufferedBody>& message = reader_->message();
  const auto id = message.find(platform::kAttemptIdField);
  const bool of_earlier_request =
      id != message.end() && id->value() != request_id_;
  if (reader_->is_interim() || of_earlier_request) {
    return SkipMessage();
  }
  if (id == message.end() && !request_id_.empty() && requests_ > 1) {
    FinishExchange(ExchangeResult::kBroken, {});
    return true;
  }
  reusable_ = reader_->keep_alive() && input_buffer_.empty() && !writing_ &&
              !write_error_;
  RecordKeepAlive(message.base());
  ServerAnswer answer;
  answer.status = static_cast<int>(message.result_int());
  answer.reason = message.reason();
  answer.body = std::move(message.body());
  answer.fields = std::move(message.base());
  FinishExchange(ExchangeResult::kAnswered, std::move(answer));
  return true;
}

bool ServerConnection::SkipMessage() {
  ResetReader();
  if (++skipped_messages_ <= kMaxSkippedMessages) {
    return false;
  }
  FinishExchange(ExchangeResult::kBroken, {});
  return true;
}

// Parses "timeout=N" in the Keep-Alive field; N is in seconds.
void ServerConnection::RecordKeepAlive(const http::fields& fields) {
  const auto field = fields.find(http::field::keep_alive);
  if (field == fields.end()) {
    return;
  }
  const std::string_view text(field->value().data(), field->value().size());
  const std::size_t position = text.find("timeout=");
  if (position == std::string_view::npos) {
    return;
  }
  const std::string_view number = text.substr(position + 8);
  int seconds = 0;
  const auto parsed =
      std::from_chars(number.data(), number.data() + number.size(), seconds);
  if (parsed.ec == std::errc() && seconds >= 0) {
    keep_alive_ = std::chrono::seconds(seconds);
  }
}

void ServerConnection::FinishExchange(ExchangeResult result,
                                      ServerAnswer answer) {
  const auto self = shared_from_this();
  Handler handler = std::move(handler_);
  handler_ = nullptr;
  reader_.reset();
  idle_since_ = Now();
  if (result != ExchangeResult::kAnswered || !reusable_) {
    reusable_ = false;
    Reset();
  }
  if (handler) {
    handler(result, std::move(answer));
  }
}

void ServerConnection::Abort() {
  handler_ = nullptr;
  if (!preparing_) {
    reader_.reset();
  }
  Reset();
}

void ServerConnection::Reset() {
  if (closed_) {
    return;
  }
  closed_ = true;
  reusable_ = false;
  pause_timer_.cancel();
  beast::error_code ignored;
  if (connected_) {
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  }
  socket_.close(ignored);
}

void ServerConnection::WatchIdle(std::function<void()> closed) {
  idle_closed_handler_ = std::move(closed);
  Read();
}

}  // namespace mustardflow::transport
