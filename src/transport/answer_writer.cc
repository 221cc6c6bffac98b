// Implements the writing of buffered, streamed, stored and problem answers.

#include "transport/answer_writer.h"

#include <boost/json.hpp>
#include <utility>
#include <vector>

#include "platform/backend_protocol.h"
#include "protocol/peer_protocol.h"

namespace mustardflow::transport {

using coordination::AttemptOutcome;
using coordination::AttemptReason;

namespace {

// Bodies up to this size are buffered and written with their header; larger
// bodies are streamed in parts of this size.
constexpr std::size_t kBodyBufferBytes = 64 << 10;
// Time limit for writing one part of an answer.
constexpr state::Duration kWriteTimeout = std::chrono::seconds(30);
constexpr std::string_view kRetryAfterSeconds = "1";

// Removes the fields of the upstream connection and adds the outcome.
void PrepareHeader(http::fields& fields) {
  fields.erase(http::field::connection);
  fields.erase(http::field::keep_alive);
  fields.erase(platform::kExchangeField);
  fields.set(protocol::kOutcomeField,
             AttemptOutcomeName(AttemptOutcome::kAnswered));
}

awaitable<bool> WriteBuffer(
    beast::tcp_stream& stream,
    http::response_serializer<http::buffer_body>& writer) {
  stream.expires_after(kWriteTimeout);
  const auto [error, written] =
      co_await http::async_write(stream, writer, kNoThrow);
  co_return !error || error == http::error::need_buffer;
}

// Writes an answer whose body has been read completely into `body`.
awaitable<bool> WriteBuffered(beast::tcp_stream& stream,
                              UpstreamAnswer& answer,
                              std::size_t size,
                              std::string body,
                              const AnswerOptions& options) {
  http::response<http::string_body> response(
      http::response_header<>(answer.header()));
  PrepareHeader(response.base());
  response.version(options.version);
  response.keep_alive(options.keep_alive);
  if (!options.is_head) {
    body.resize(size);
    response.body() = std::move(body);
    response.erase(http::field::transfer_encoding);
    response.content_length(size);
  }
  stream.expires_after(kWriteTimeout);
  const auto [error, written] =
      co_await http::async_write(stream, response, kNoThrow);
  co_return !error;
}

awaitable<bool> WriteStreamed(beast::tcp_stream& stream,
                              UpstreamAnswer& answer,
                              std::size_t size,
                              std::string buffer,
                              const AnswerOptions& options) {
  http::response<http::buffer_body> response(
      http::response_header<>(answer.header()));
  PrepareHeader(response.base());
  response.version(options.version);
  response.keep_alive(options.keep_alive);
  if (!answer.content_length()) {
    response.chunked(true);
  }
  http::response_serializer<http::buffer_body> writer(response);
  while (true) {
    response.body().data = buffer.data();
    response.body().size = size;
    response.body().more = !answer.complete();
    const bool written = co_await WriteBuffer(stream, writer);
    if (!written) {
      co_return false;
    }
    if (answer.complete()) {
      co_return true;
    }
    const auto read = co_await answer.Read(buffer.data(), buffer.size());
    if (!read) {
      co_return false;
    }
    size = *read;
  }
}

awaitable<bool> WriteAnswer(beast::tcp_stream& stream,
                            UpstreamAnswer& answer,
                            const AnswerOptions& options) {
  const std::size_t expected_bytes =
      answer.content_length().value_or(kBodyBufferBytes);
  std::string buffer(std::min(expected_bytes, kBodyBufferBytes), '\0');
  std::size_t size = 0;
  while (!answer.complete() && size < buffer.size()) {
    const auto read =
        co_await answer.Read(buffer.data() + size, buffer.size() - size);
    if (!read) {
      // Nothing has been written yet, so the peer gets an error status instead
      // of a truncated body.
      co_return co_await WriteProblem(
          stream, http::status::bad_gateway, "The answer broke off.",
          AttemptOutcomeName(AttemptOutcome::kUnknown),
          AttemptReasonName(AttemptReason::kConnectionBroken), options);
    }
    size += *read;
  }
  if (answer.complete()) {
    co_return co_await WriteBuffered(stream, answer, size, std::move(buffer),
                                     options);
  }
  co_return co_await WriteStreamed(stream, answer, size, std::move(buffer),
                                   options);
}

awaitable<bool> WriteStored(beast::tcp_stream& stream,
                            const coordination::StoredAnswer& stored,
                            const AnswerOptions& options) {
  http::response<http::string_body> response(
      static_cast<http::status>(stored.status), options.version);
  if (!stored.content_type.empty()) {
    response.set(http::field::content_type, stored.content_type);
  }
  response.set(protocol::kOutcomeField,
               AttemptOutcomeName(AttemptOutcome::kAnswered));
  response.keep_alive(options.keep_alive);
  response.body() = stored.body;
  response.prepare_payload();
  stream.expires_after(kWriteTimeout);
  const auto [error, written] =
      co_await http::async_write(stream, response, kNoThrow);
  co_return !error;
}

std::string_view FailureTitle(AttemptOutcome end) {
  return end == AttemptOutcome::kNotRun
             ? "The request was not run."
             : "Whether the request was run is unknown.";
}

}  // namespace

http::status FailureStatus(AttemptOutcome end, AttemptReason reason) {
  if (end == AttemptOutcome::kNotRun) {
    return http::status::service_unavailable;
  }
  switch (reason) {
    case AttemptReason::kDuplicateInProgress:
    case AttemptReason::kEarlierUnknown:
      return http::status::conflict;
    case AttemptReason::kTimedOut:
      return http::status::gateway_timeout;
    default:
      return http::status::bad_gateway;
  }
}

awaitable<bool> WriteResult(beast::tcp_stream& stream,
                            RunResult& result,
                            const AnswerOptions& options) {
  if (result.stored) {
    co_return co_await WriteStored(stream, *result.stored, options);
  }
  if (result.attempt.answer) {
    co_return co_await WriteAnswer(stream, *result.attempt.answer, options);
  }
  co_return co_await WriteProblem(
      stream, FailureStatus(result.attempt.end, result.attempt.reason),
      FailureTitle(result.attempt.end), AttemptOutcomeName(result.attempt.end),
      AttemptReasonName(result.attempt.reason), options);
}

awaitable<bool> WriteProblem(beast::tcp_stream& stream,
                             http::status status,
                             std::string_view title,
                             std::string_view outcome,
                             std::string_view reason,
                             const AnswerOptions& options) {
  http::response<http::string_body> response(status, options.version);
  response.set(http::field::content_type, "application/problem+json");
  response.set(protocol::kOutcomeField, outcome);
  response.set(protocol::kReasonField, reason);
  if (status == http::status::service_unavailable) {
    response.set(http::field::retry_after, kRetryAfterSeconds);
  }
  response.keep_alive(options.keep_alive);
  response.body() = boost::json::serialize(
      boost::json::object{{"title", title},
                          {"status", static_cast<int>(status)},
                          {"outcome", outcome},
                          {"reason", reason}});
  response.prepare_payload();
  stream.expires_after(kWriteTimeout);
  const auto [error, written] =
      co_await http::async_write(stream, response, kNoThrow);
  co_return !error;
}

}  // namespace mustardflow::transport
