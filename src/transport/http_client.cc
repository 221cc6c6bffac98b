// Connects, sends requests and keeps idle connections.

#include "transport/http_client.h"

#include <algorithm>
#include <utility>

#include "transport/answer_reader.h"
#include "transport/clocks.h"

namespace mustardflow::transport {

namespace outcome = boost::outcome_v2;

namespace {

constexpr std::size_t kMaxIdleConnectionsPerAddress = 4;
// Connecting takes one round trip, however long the request itself takes. A
// peer that is partitioned or powered off never answers, so a short timeout
// detects it.
constexpr auto kConnectTimeout = std::chrono::milliseconds(300);
// Connections to peers that are gone must not stay open.
constexpr auto kMaxIdleTime = std::chrono::seconds(30);
constexpr auto kPruneInterval = std::chrono::seconds(5);

// Returns whether an idle connection cannot be reused, because the peer has
// closed it or has sent something that is not the reply to the next request.
bool IsUnusable(beast::tcp_stream& stream) {
  beast::error_code error;
  stream.socket().non_blocking(true, error);
  char byte = 0;
  stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                          error);
  return error != asio::error::would_block;
}

}  // namespace

HttpClient::HttpClient(asio::any_io_executor executor,
                       std::size_t max_reply_bytes)
    : executor_(std::move(executor)), max_reply_bytes_(max_reply_bytes) {}

awaitable<outcome::result<HttpReply>> HttpClient::Send(
    state::Address address,
    http::verb method,
    std::string target,
    std::string body,
    state::Duration timeout,
    HttpSendOptions options) {
  HttpSendTrace ignored_trace;
  HttpSendTrace& trace =
      options.trace != nullptr ? *options.trace : ignored_trace;
  Request request(method, target, 11);
  request.set(http::field::host, address.ip);
  request.set(http::field::content_type, "application/json");
  for (const auto& [name, value] : options.fields) {
    request.set(name, value);
  }
  request.body() = std::move(body);
  request.prepare_payload();
  const auto end = std::chrono::steady_clock::now() + timeout;
  const ReplyTimes times{timeout, end + options.transfer_time};
  PruneIdle();
  bool lost = false;
  while (!idle_[address].empty()) {
    Stream stream = std::move(idle_[address].back().stream);
    idle_[address].pop_back();
    if (IsUnusable(*stream)) {
      lost = true;
      continue;
    }
    if (options.may_write && !options.may_write()) {
      KeepIdle(address, std::move(stream));
      co_return beast::error_code(asio::error::operation_aborted);
    }
    stream->expires_at(end);
    bool keep = false;
    trace = {true, true, false, Now()};
    auto reply = co_await SendOver(*stream, request, times, options, &keep);
    if (reply) {
      trace.closed = !keep;
      if (keep) {
        KeepIdle(address, std::move(stream));
      }
      co_return reply;
    }
    if (reply.error() == beast::error::timeout || !options.reconnect) {
      // Assumes that the other idle connections to the peer, which were opened
      // at about the same time, are lost as well.
      idle_.erase(address);
      co_return reply;
    }
  }
  if (lost && !options.reconnect) {
    co_return beast::error_code(asio::error::connection_aborted);
  }
  if (options.may_connect && !options.may_connect()) {
    co_return beast::error_code(asio::error::operation_aborted);
  }
  auto stream = std::make_unique<beast::tcp_stream>(executor_);
  stream->expires_at(
      std::min(end, std::chrono::steady_clock::now() + kConnectTimeout));
  const auto [error] =
      co_await stream->async_connect(ToEndpoint(address), kNoThrow);
  if (error) {
    co_return error;
  }
  stream->expires_at(end);
  beast::error_code ignored;
  stream->socket().set_option(tcp::no_delay(true), ignored);
  // Makes a close reset the connection. Bytes that are delayed on the way are
  // then discarded, so that a request which timed out is not executed later.
  // The option is set here because the stream closes itself when it times out.
  stream->socket().set_option(asio::socket_base::linger(true, 0), ignored);
  // A busy thread may learn of the connection only after the timeout. The
  // request would then leave and be reset at once.
  const bool late = std::chrono::steady_clock::now() >= end;
  if (late || (options.may_write && !options.may_write())) {
    KeepIdle(address, std::move(stream));
    co_return beast::error_code(asio::error::operation_aborted);
  }
  bool keep = false;
  trace = {true, false, false, Now()};
  auto reply = co_await SendOver(*stream, request, times, options, &keep);
  trace.closed = reply && !keep;
  if (reply && keep) {
    KeepIdle(address, std::move(stream));
  }
  co_return reply;
}

void HttpClient::KeepIdle(const state::Address& address, Stream stream) {
  std::vector<IdleStream>& idle = idle_[address];
  if (idle.size() < kMaxIdleConnectionsPerAddress) {
    idle.push_back({std::move(stream), std::chrono::steady_clock::now()});
  }
}

void HttpClient::PruneIdle() {
  const auto now = std::chrono::steady_clock::now();
  if (now < next_prune_) {
    return;
  }
  next_prune_ = now + kPruneInterval;
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::erase_if(entry->second, [now](const IdleStream& idle) {
      return now - idle.since > kMaxIdleTime;
    });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

awaitable<outcome::result<HttpReply>> HttpClient::SendOver(
    beast::tcp_stream& stream,
    Request& request,
    ReplyTimes times,
    const HttpSendOptions& options,
    bool* keep) {
  const auto [write_error, written] =
      co_await http::async_write(stream, request, kNoThrow);
  if (write_error) {
    co_return write_error;
  }
  beast::flat_buffer buffer;
  AnswerReader<http::string_body> reader({false, max_reply_bytes_});
  beast::error_code read_error = co_await ReadFinalHead(stream, buffer, reader);
  while (!read_error && !reader.is_done()) {
    stream.expires_at(
        std::min(times.end, std::chrono::steady_clock::now() + times.silence));
    read_error = co_await ReadPart(stream, buffer, reader);
  }
  if (read_error) {
    co_return read_error;
  }
  HttpReply reply;
  reply.status = static_cast<int>(reader.message().result_int());
  reply.body = std::move(reader.message().body());
  for (const auto& field : reader.message().base()) {
    reply.fields.emplace_back(std::string(field.name_string()),
                              std::string(field.value()));
  }
  if (options.is_own_reply && !options.is_own_reply(reply)) {
    co_return make_error_code(boost::system::errc::bad_message);
  }
  *keep = reader.keep_alive() && buffer.size() == 0 &&
          (!options.may_keep || options.may_keep(reply));
  co_return reply;
}

}  // namespace mustardflow::transport
