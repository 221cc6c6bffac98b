// Parses requests, and writes answers and the close of a connection.

#include "transport/caller_connection.h"

#include <poll.h>

#include <algorithm>
#include <limits>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/server_protocol.h"
#include "transport/clocks.h"
#include "transport/header_fields.h"

namespace mustardflow::transport {

using state::Instant;

namespace {

// Maximum number of requests of one connection under way at the same time.
constexpr std::size_t kMaxPipelinedRequests = 32;
// Sizes of forwarded requests. They bound what bytes that no host has sent can
// allocate, and exceed what operators allow callers to send.
constexpr std::size_t kMaxForwardedHeaderBytes = 1 << 20;
constexpr std::size_t kMaxForwardedBodyBytes = 256 << 20;
// No further request is read while answers of more bytes wait for the caller.
constexpr std::size_t kMaxQueuedAnswerBytes = 256 << 10;
// What a request needs in memory beside its header and body.
constexpr std::size_t kRequestOverheadBytes = 2 << 10;
// The largest number of blocks that are written at once.
constexpr std::size_t kMaxBlocksPerWrite = 4;
// The status of a request for which there is no memory.
constexpr int kNoMemoryStatus = 503;
// How long a connection whose sending side is closed waits for the caller to
// close its side.
constexpr state::Duration kLingerTimeout = std::chrono::seconds(1);

int StatusFor(const beast::error_code& error) {
  if (error == http::error::header_limit) {
    return 431;
  }
  return 400;
}

// A request target in absolute form (RFC 9112, section 3.2.2).
struct AbsoluteTarget {
  std::string authority;
  // The path and the query.
  std::string origin_form;
};

// Returns nullopt if the target is not an http or https URI with a host that
// the Host field can hold.
std::optional<AbsoluteTarget> ParseAbsoluteTarget(std::string_view target) {
  const std::size_t scheme_end = target.find("://");
  if (scheme_end == std::string_view::npos) {
    return std::nullopt;
  }
  const beast::string_view scheme(target.data(), scheme_end);
  if (!beast::iequals(scheme, "http") && !beast::iequals(scheme, "https")) {
    return std::nullopt;
  }
  target.remove_prefix(scheme_end + 3);
  const std::size_t authority_end =
      std::min(target.find_first_of("/?"), target.size());
  if (authority_end == 0 || authority_end > kMaxHeldFieldBytes) {
    return std::nullopt;
  }
  AbsoluteTarget parsed{std::string(target.substr(0, authority_end)),
                        std::string(target.substr(authority_end))};
  if (!parsed.origin_form.starts_with('/')) {
    parsed.origin_form.insert(0, 1, '/');
  }
  return parsed;
}

// Returns the IP address of the peer; empty if the connection has ended.
std::string RemoteAddress(const tcp::socket& socket) {
  beast::error_code error;
  const tcp::endpoint peer = socket.remote_endpoint(error);
  return error ? std::string() : peer.address().to_string();
}

}  // namespace

CallerConnection::CallerConnection(tcp::socket socket,
                                   const state::RoutingView& view,
                                   RequestRelay& relay,
                                   EventLog& log,
                                   RequestSource source,
                                   ClosedHandler closed)
    : socket_(std::move(socket)),
      view_(view),
      relay_(relay),
      log_(log),
      source_(source),
      closed_handler_(std::move(closed)),
      caller_(RemoteAddress(socket_)),
      memory_(relay.memory()),
      own_draw_(memory_),
      idle_since_(Now()) {
  memory_->Add(this);
  CountOwnMemory();
}

CallerConnection::~CallerConnection() {
  memory_->Remove(this);
}

void CallerConnection::CountOwnMemory() {
  own_draw_.SetCounted(sizeof(CallerConnection) + sizeof(Parser) +
                       input_buffer_.capacity());
}

void CallerConnection::Start() {
  beast::error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
  ResetParser();
  Read();
}

void CallerConnection::ResetParser() {
  parser_ = std::make_unique<Parser>();
  // The parser counts the limit for a body in chunks down, so it could not be
  // raised; see CheckBodySize().
  parser_->body_limit(boost::none);
  // The parser stops after the header, so that it is checked and memory is
  // drawn before the body is kept; see AcceptHeader().
  parser_->eager(false);
  parser_->get().body().Bind(memory_, this);
  header_accepted_ = false;
  header_bytes_ = 0;
  header_limit_ = 0;
  body_limit_ = 0;
  request_started_at_.reset();
}

void CallerConnection::RaiseLimits() {
  constexpr std::size_t kMaxHeaderLimit =
      std::numeric_limits<std::uint32_t>::max();
  const state::IngressLimits limits = Limits();
  header_limit_ =
      std::max(header_limit_, std::min(limits.header_bytes, kMaxHeaderLimit));
  body_limit_ = std::max(body_limit_, limits.body_bytes);
  parser_->header_limit(static_cast<std::uint32_t>(header_limit_));
}

state::IngressLimits CallerConnection::Limits() const {
  state::IngressLimits limits =
      view_.config ? view_.config->limits() : state::IngressLimits();
  if (source_ == RequestSource::kHost) {
    // The forwarding host has checked the sizes, perhaps by limits that are not
    // known here, and has added fields of its own.
    limits.header_bytes = kMaxForwardedHeaderBytes;
    limits.body_bytes = kMaxForwardedBodyBytes;
  }
  return limits;
}

void CallerConnection::Read() {
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

void CallerConnection::HandleRead(const beast::error_code& error,
                                  std::size_t size) {
  if (closed_) {
    return;
  }
  if (error) {
    HandleDisconnect();
    return;
  }
  if (reading_finished_) {
    // Bytes after the last request are discarded. Reading goes on to detect the
    // caller's close.
    Read();
    return;
  }
  input_buffer_.append(read_chunk_.data(), size);
  receiving_.progressed = memory_->now();
  receiving_.moved_bytes += size;
  CountOwnMemory();
  Parse();
}

void CallerConnection::Parse() {
  while (!input_buffer_.empty() && !reading_finished_ && !closed_ &&
         MayReadRequest()) {
    if (!request_started_at_) {
      // Empty lines before a request are ignored (RFC 9112, section 2.2).
      input_buffer_.erase(0, input_buffer_.find_first_not_of("\r\n"));
      if (input_buffer_.empty()) {
        break;
      }
      request_started_at_ = Now();
    }
    RaiseLimits();
    if (const auto rejection = PrepareBody()) {
      Reject(*rejection);
      break;
    }
    beast::error_code error;
    const std::size_t used = parser_->put(asio::buffer(input_buffer_), error);
    input_buffer_.erase(0, used);
    if (!header_accepted_) {
      header_bytes_ += used;
    }
    if (error && error != http::error::need_more) {
      Reject({StatusFor(error), error.message()});
      break;
    }
    if (parser_->is_header_done()) {
      if (const auto rejection = AcceptHeader()) {
        Reject(*rejection);
        break;
      }
      auto rejection = CheckBodySize();
      if (!rejection) {
        rejection = ReserveMemory();
      }
      if (rejection) {
        Reject(*rejection);
        break;
      }
    }
    if (parser_->is_done()) {
      Dispatch();
      continue;
    }
    if (error == http::error::need_more || used == 0) {
      if (header_accepted_ && input_buffer_.size() > header_limit_) {
        // The begin of a trailer or of the extension of a chunk.
        Reject({431, "header limit exceeded"});
      }
      break;
    }
  }
  // The interim response has its place after the answers to earlier requests.
  if (AwaitsContinue() && exchanges_.empty() && !writing_) {
    WriteContinue();
  }
  // At the limit reading pauses, so that TCP flow control holds the caller
  // back.
  if (MayReadRequest()) {
    Read();
  }
}

bool CallerConnection::MayReadRequest() const {
  if (request_started_at_) {
    return exchanges_.size() < kMaxPipelinedRequests;
  }
  std::size_t queued = output_body_.size();
  for (const auto& exchange : exchanges_) {
    queued += exchange->answer ? exchange->answer->body.size() : 0;
  }
  return exchanges_.size() < kMaxPipelinedRequests &&
         queued < kMaxQueuedAnswerBytes;
}

bool CallerConnection::AwaitsContinue() const {
  return request_started_at_ && !reading_finished_ &&
         parser_->is_header_done() &&
         beast::iequals(parser_->get()[http::field::expect], "100-continue");
}

void CallerConnection::WriteContinue() {
  static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  parser_->get().erase(http::field::expect);
  request_started_at_ = Now();
  writing_ = true;
  sending_ = {};
  sending_.began = sending_.progressed = memory_->now();
  receiving_.began = receiving_.progressed = sending_.began;
  asio::async_write(
      socket_, asio::buffer(kContinue),
      [self = shared_from_this()](const beast::error_code& error, std::size_t) {
        self->writing_ = false;
        if (self->closed_) {
          return;
        }
        if (error) {
          self->HandleDisconnect();
        } else {
          self->WriteNextAnswer();
        }
      });
}

std::optional<CallerConnection::Rejection> CallerConnection::AcceptHeader() {
  if (header_accepted_) {
    return std::nullopt;
  }
  UseOriginForm();
  if (auto rejection = CheckHeader()) {
    return rejection;
  }
  header_accepted_ = true;
  parser_->eager(true);
  return std::nullopt;
}

std::optional<CallerConnection::Rejection> CallerConnection::ReserveMemory() {
  if (parser_->get().body().drawn_bytes() > 0) {
    return std::nullopt;
  }
  receiving_ = {};
  receiving_.began = receiving_.progressed = memory_->now();
  if (!parser_->get().body().Reserve(kRequestOverheadBytes + header_bytes_,
                                     parser_->content_length().value_or(0))) {
    return Rejection{kNoMemoryStatus, "no memory for the request"};
  }
  return std::nullopt;
}

std::optional<CallerConnection::Rejection> CallerConnection::PrepareBody() {
  if (!header_accepted_ || !parser_->chunked() ||
      parser_->get().body().Prepare(input_buffer_.size())) {
    return std::nullopt;
  }
  return Rejection{kNoMemoryStatus, "no memory for the body"};
}

void CallerConnection::UseOriginForm() {
  auto& message = parser_->get();
  const auto absolute =
      ParseAbsoluteTarget({message.target().data(), message.target().size()});
  // HTTP/1.1 requires one Host field in this form too; see CheckHeader().
  const bool valid_host_count =
      message.count(http::field::host) == 1 ||
      (message.version() == 10 && message.count(http::field::host) == 0);
  if (!absolute || !valid_host_count) {
    return;
  }
  message.target(absolute->origin_form);
  message.set(http::field::host, absolute->authority);
}

std::optional<CallerConnection::Rejection> CallerConnection::CheckHeader()
    const {
  const auto& message = parser_->get();
  if (message.version() != 11 && message.version() != 10) {
    return Rejection{505, "HTTP version"};
  }
  const LongFields& long_fields = parser_->long_fields();
  if (std::any_of(long_fields.begin(), long_fields.end(), IsInterpreted)) {
    return Rejection{431, "long field that hosts interpret"};
  }
  if (message.count(http::field::host) > 1 ||
      (message.version() == 11 && message.count(http::field::host) == 0)) {
    return Rejection{400, "not one Host field"};
  }
  if (message.count(http::field::content_length) > 1) {
    return Rejection{400, "several Content-Length fields"};
  }
  if (message.target().empty() || message.target().front() != '/') {
    return Rejection{400, "target is not a path"};
  }
  return CheckTransferCoding();
}

// Where the body of a request ends must be beyond doubt: what follows it is the
// next request.
std::optional<CallerConnection::Rejection>
CallerConnection::CheckTransferCoding() const {
  const auto& message = parser_->get();
  const std::size_t count = message.count(http::field::transfer_encoding);
  if (count == 0) {
    return std::nullopt;
  }
  if (message.version() == 10) {
    return Rejection{400, "Transfer-Encoding in HTTP/1.0"};
  }
  if (message.count(http::field::content_length) > 0) {
    return Rejection{400, "Content-Length beside Transfer-Encoding"};
  }
  if (count > 1 ||
      !beast::iequals(message[http::field::transfer_encoding], "chunked")) {
    return Rejection{501, "transfer coding other than chunked"};
  }
  return std::nullopt;
}

std::optional<CallerConnection::Rejection> CallerConnection::CheckBodySize()
    const {
  const std::uint64_t stated = parser_->content_length().value_or(0);
  if (std::max<std::uint64_t>(stated, parser_->get().body().size()) >
      body_limit_) {
    return Rejection{413, "body limit exceeded"};
  }
  return std::nullopt;
}

void CallerConnection::Dispatch() {
  CallerMessage message{parser_->release(), parser_->ReleaseLongFields(),
                        caller_};
  ResetParser();
  // A busy host may read a request long after its caller has given up.
  if (CallerHasLeft()) {
    relay_.ReportUnread(message, source_);
    HandleDisconnect();
    return;
  }
  auto exchange = std::make_shared<Exchange>();
  exchange->keep_alive = message.keep_alive();
  exchange->is_head_request = message.method() == http::verb::head;
  exchange->relay_pending = true;
  ++requests_;
  exchanges_.push_back(exchange);
  if (!exchange->keep_alive || current_request_is_last_) {
    reading_finished_ = true;
  }
  exchange->id =
      relay_.Start(std::move(message), source_,
                   [self = shared_from_this(), exchange](CallerAnswer answer) {
                     self->HandleAnswer(exchange, std::move(answer));
                   });
}

bool CallerConnection::CallerHasLeft() {
  pollfd entry{socket_.native_handle(), POLLRDHUP, 0};
  return ::poll(&entry, 1, 0) > 0;
}

void CallerConnection::Reject(const Rejection& rejection) {
  const bool by_limit = rejection.status == 413 || rejection.status == 431;
  const bool no_memory = rejection.status == kNoMemoryStatus;
  const bool refused = no_memory || (by_limit && !relay_.ConfigConfirmed());
  const std::string_view event = refused ? "refused" : "malformed";
  CallerAnswer answer;
  if (no_memory) {
    answer = RequestRelay::NoMemoryAnswer();
  } else if (refused) {
    answer = RequestRelay::UnconfirmedAnswer();
  } else {
    const auto status = static_cast<http::status>(rejection.status);
    answer = {
        rejection.status, std::string(http::obsolete_reason(status)), {}, {}};
  }
  const beast::string_view id = parser_->get()[beast::string_view(
      platform::kAttemptIdField.data(), platform::kAttemptIdField.size())];
  log_.Write(LogPart::kCaller, event,
             {{"id", std::string_view(id.data(), id.size())},
              {"status", static_cast<std::int64_t>(answer.status)},
              {"problem", rejection.problem},
              {"forwarded", source_ == RequestSource::kHost},
              {"earlier_requests", requests_},
              {"config", view_.config ? view_.config->version() : -1}});
  relay_.CountRejection(source_, answer.status,
                        no_memory ? "no-memory"
                        : refused ? "configuration-unconfirmed"
                                  : event);
  if (source_ == RequestSource::kHost) {
    answer.fields.emplace_back(kOutcomeField,
                               no_memory ? "refused" : kUnreadableOutcome);
    if (!id.empty()) {
      answer.fields.emplace_back(platform::kAttemptIdField, std::string(id));
    }
  }
  auto exchange = std::make_shared<Exchange>();
  exchange->keep_alive = false;
  exchange->answer = std::move(answer);
  exchanges_.push_back(exchange);
  reading_finished_ = true;
  request_started_at_.reset();
  parser_->get().body().Clear();
  input_buffer_ = std::string();
  CountOwnMemory();
  WriteNextAnswer();
}

void CallerConnection::HandleAnswer(const std::shared_ptr<Exchange>& exchange,
                                    CallerAnswer answer) {
  exchange->relay_pending = false;
  exchange->answer = std::move(answer);
  WriteNextAnswer();
}

void CallerConnection::WriteNextAnswer() {
  if (writing_ || closed_ || exchanges_.empty() ||
      !exchanges_.front()->answer) {
    return;
  }
  const std::shared_ptr<Exchange> exchange = exchanges_.front();
  exchanges_.pop_front();
  // A caller takes requests after an answer with "Connection: close" as not
  // processed, although they may have been run. So only an answer that no
  // request follows announces the close.
  const bool no_request_follows =
      exchanges_.empty() && input_buffer_.empty() && !request_started_at_;
  const bool close = !exchange->keep_alive ||
                     ((draining_ || reading_finished_) && no_request_follows);
  if (close) {
    reading_finished_ = true;
  }
  output_head_ = AnswerHead(*exchange, close);
  output_head_written_ = 0;
  output_body_ = exchange->is_head_request ? BodyBuffer()
                                           : std::move(exchange->answer->body);
  sending_ = {};
  sending_.began = sending_.progressed = memory_->now();
  WriteAnswer(close);
}

void CallerConnection::WriteAnswer(bool close) {
  writing_ = true;
  std::vector<asio::const_buffer> buffers;
  if (output_head_written_ < output_head_.size()) {
    buffers.push_back(asio::buffer(output_head_) + output_head_written_);
  }
  output_body_.AppendTo(&buffers, kMaxBlocksPerWrite);
  socket_.async_write_some(
      buffers, [self = shared_from_this(), close](
                   const beast::error_code& error, std::size_t size) {
        self->writing_ = false;
        self->idle_since_ = Now();
        if (self->closed_) {
          return;
        }
        if (error) {
          self->HandleDisconnect();
          return;
        }
        self->sending_.progressed = self->memory_->now();
        self->sending_.moved_bytes += size;
        const std::size_t of_head = std::min(
            size, self->output_head_.size() - self->output_head_written_);
        self->output_head_written_ += of_head;
        self->output_body_.Consume(size - of_head);
        if (self->output_head_written_ < self->output_head_.size() ||
            !self->output_body_.empty()) {
          self->WriteAnswer(close);
        } else {
          self->HandleAnswerWritten(close);
        }
      });
}

void CallerConnection::HandleAnswerWritten(bool close) {
  output_body_.Clear();
  if (close || Done()) {
    Linger();
  } else {
    WriteNextAnswer();
    Parse();
  }
}

std::string CallerConnection::AnswerHead(const Exchange& exchange,
                                         bool close) const {
  const CallerAnswer& answer = *exchange.answer;
  std::string bytes;
  bytes.reserve(256);
  bytes += "HTTP/1.1 " + std::to_string(answer.status) + ' ' + answer.reason +
           "\r\n";
  for (const auto& [name, value] : answer.fields) {
    AppendField(name, value, &bytes);
  }
  if (answer.status != 204 && answer.status != 304 &&
      !exchange.is_head_request) {
    AppendField("Content-Length", std::to_string(answer.body.size()), &bytes);
  }
  if (close) {
    AppendField("Connection", "close", &bytes);
  }
  bytes += "\r\n";
  return bytes;
}

void CallerConnection::HandleDisconnect() {
  std::deque<std::shared_ptr<Exchange>> exchanges = std::move(exchanges_);
  exchanges_.clear();
  Close();
  for (const auto& exchange : exchanges) {
    if (exchange->relay_pending) {
      relay_.Cancel(exchange->id);
    }
  }
}

void CallerConnection::Linger() {
  beast::error_code ignored;
  socket_.shutdown(tcp::socket::shutdown_send, ignored);
  lingering_ = true;
  idle_since_ = Now();
  Read();
}

void CallerConnection::StopReading() {
  if (lingering_ || closed_) {
    return;
  }
  if (!exchanges_.empty() || writing_) {
    // Bytes after the requests under way are discarded. The close tells the
    // caller that a request in them was not processed.
    reading_finished_ = true;
    input_buffer_.clear();
    request_started_at_.reset();
  } else if (request_started_at_) {
    current_request_is_last_ = true;
  } else {
    Close();
  }
}

void CallerConnection::Tick(Instant now) {
  if (!reading_ && !closed_ && CallerHasLeft()) {
    HandleDisconnect();
    return;
  }
  if (lingering_) {
    if (now - idle_since_ > kLingerTimeout) {
      Close();
    }
    return;
  }
  const state::IngressLimits limits = Limits();
  if (AwaitsContinue()) {
    // The time for the body starts when the caller is asked for it.
    return;
  }
  if (request_started_at_ && !reading_finished_) {
    // A request with a body may take the idle timeout longer than a header.
    const state::Duration allowed =
        parser_->is_header_done() ? limits.header_timeout + limits.idle_timeout
                                  : limits.header_timeout;
    if (now - *request_started_at_ > allowed) {
      Reject({408, "request not complete in time"});
    }
    return;
  }
  if (exchanges_.empty() && !writing_ && !request_started_at_ &&
      now - idle_since_ > limits.idle_timeout) {
    Close();
  }
}

bool CallerConnection::ReceivesBody() const {
  return header_accepted_ && request_started_at_ && !reading_finished_ &&
         !AwaitsContinue();
}

std::optional<admission::Transfer> CallerConnection::CurrentTransfer() const {
  if (closed_) {
    return std::nullopt;
  }
  admission::Transfer transfer;
  if (ReceivesBody()) {
    transfer = receiving_;
    transfer.held_bytes = parser_->get().body().drawn_bytes();
  } else if (writing_) {
    transfer = sending_;
    transfer.held_bytes = output_head_.size() + output_body_.drawn_bytes();
  } else {
    return std::nullopt;
  }
  return transfer;
}

void CallerConnection::EndTransfer() {
  const auto self = shared_from_this();
  if (ReceivesBody()) {
    Reject({kNoMemoryStatus, "slower than others that need its memory"});
    return;
  }
  log_.Write(LogPart::kCaller, "slow-reader-closed",
             {{"unread_bytes", static_cast<std::int64_t>(output_body_.size())},
              {"forwarded", source_ == RequestSource::kHost}});
  // A reset also frees what the system holds for the caller.
  beast::error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  HandleDisconnect();
}

admission::OpenConnection CallerConnection::Use() const {
  admission::OpenConnection use;
  const auto transfer = CurrentTransfer();
  const state::Instant now = memory_->now();
  if (transfer) {
    use.stalled = admission::IsStalled(now, *transfer);
    use.since = transfer->progressed;
  } else if (lingering_ ||
             (exchanges_.empty() && !writing_ && !request_started_at_)) {
    use.idle = true;
    // By the account's clock, like the other times.
    use.since = now - (Now() - idle_since_);
  }
  return use;
}

void CallerConnection::CloseForOthers() {
  log_.Write(LogPart::kCaller, "closed-for-others",
             {{"idle", exchanges_.empty() && !writing_},
              {"forwarded", source_ == RequestSource::kHost}});
  HandleDisconnect();
}

void CallerConnection::Close() {
  if (closed_) {
    return;
  }
  closed_ = true;
  memory_->Remove(this);
  beast::error_code ignored;
  socket_.close(ignored);
  output_body_.Clear();
  const auto self = shared_from_this();
  if (closed_handler_) {
    closed_handler_(this);
  }
}

}  // namespace mustardflow::transport
