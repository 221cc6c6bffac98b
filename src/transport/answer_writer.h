// Writes answers to callers and to other hosts.

#ifndef MUSTARDFLOW_TRANSPORT_ANSWER_WRITER_H_
#define MUSTARDFLOW_TRANSPORT_ANSWER_WRITER_H_

#include <string>
#include <string_view>

#include "coordination/attempt.h"
#include "coordination/request_ledger.h"
#include "transport/asio.h"
#include "transport/request_runner.h"

namespace mustardflow::transport {

// How an answer is written, as the request and its connection require.
struct AnswerOptions {
  // The HTTP version as Boost.Beast encodes it: 11 is HTTP/1.1.
  unsigned version = 11;
  bool keep_alive = true;
  // The answer to a HEAD request has no body.
  bool is_head = false;
};

// Returns the HTTP status for a request that failed.
http::status FailureStatus(coordination::AttemptOutcome end,
                           coordination::AttemptReason reason);

// Writes the result of a request. Returns whether the whole answer was written;
// if not, the connection must be closed.
awaitable<bool> WriteResult(beast::tcp_stream& stream,
                            RunResult& result,
                            const AnswerOptions& options);

// Writes an answer that the host generates itself, as problem+json. Returns
// whether the answer was written; if not, the connection must be closed.
awaitable<bool> WriteProblem(beast::tcp_stream& stream,
                             http::status status,
                             std::string_view title,
                             std::string_view outcome,
                             std::string_view reason,
                             const AnswerOptions& options);

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_ANSWER_WRITER_H_
