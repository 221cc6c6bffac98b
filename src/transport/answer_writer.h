// Writing of answers to callers and to other hosts.

#ifndef MUSTARDFLOW_TRANSPORT_ANSWER_WRITER_H_
#define MUSTARDFLOW_TRANSPORT_ANSWER_WRITER_H_

#include <string>
#include <string_view>

#include "coordination/attempt.h"
#include "coordination/request_ledger.h"
#include "transport/asio.h"
#include "transport/request_runner.h"

namespace mustardflow::transport {

// What the connection asks of an answer.
struct AnswerOptions {
  unsigned version = 11;
  bool keep_alive = true;
  // The answer to a HEAD request has no body.
  bool is_head = false;
};

// The status that a caller sees for a failure.
http::status FailureStatus(coordination::AttemptOutcome end,
                           coordination::AttemptReason reason);

// Writes the result of a request. Returns whether the whole answer was written;
// if not, the connection must be closed.
awaitable<bool> WriteResult(beast::tcp_stream& stream,
                            RunResult& result,
                            const AnswerOptions& options);

// Writes a short answer of the host's own, as problem+json.
awaitable<bool> WriteProblem(beast::tcp_stream& stream,
                             http::status status,
                             std::string_view title,
                             std::string_view outcome,
                             std::string_view reason,
                             const AnswerOptions& options);

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_ANSWER_WRITER_H_
