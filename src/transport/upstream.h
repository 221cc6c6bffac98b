// HTTP client for backend servers and other hosts, with streamed answers.

#ifndef MUSTARDFLOW_TRANSPORT_UPSTREAM_H_
#define MUSTARDFLOW_TRANSPORT_UPSTREAM_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordination/attempt.h"
#include "state/document.h"
#include "state/time.h"
#include "transport/answer_reader.h"
#include "transport/asio.h"

namespace mustardflow::transport {

using UpstreamRequest = http::request<http::string_body>;

// An HTTP/1.1 connection that carries one exchange at a time.
struct UpstreamConnection {
  explicit UpstreamConnection(const asio::any_io_executor& executor);

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
};

class UpstreamPool;

// An answer whose header has arrived. The body is read in parts, so that memory
// stays bounded and a slow reader slows the sender down.
class UpstreamAnswer {
 public:
  using Reader = AnswerReader<http::buffer_body>;

  UpstreamAnswer(UpstreamPool* pool,
                 state::Address address,
                 std::unique_ptr<UpstreamConnection> connection,
                 std::unique_ptr<Reader> reader);
  ~UpstreamAnswer();

  UpstreamAnswer(const UpstreamAnswer&) = delete;
  UpstreamAnswer& operator=(const UpstreamAnswer&) = delete;

  http::response_header<>& header() { return reader_->message(); }
  // The length of the body in bytes, if the header gives it.
  std::optional<std::uint64_t> content_length() const {
    return reader_->content_length();
  }
  // Whether the last byte of the body has been read.
  bool complete() const { return reader_->is_done(); }

  // Reads the next part of the body, at most `size` bytes. Returns the number
  // of bytes read, 0 at the end, or nothing if the connection failed before the
  // end of the body.
  awaitable<std::optional<std::size_t>> Read(char* data, std::size_t size);

  // Sets the function that the destructor calls. Its argument is true if the
  // body has been read to the end.
  void OnClose(std::function<void(bool)> on_close);

 private:
  UpstreamPool* const pool_;
  const state::Address address_;
  std::unique_ptr<UpstreamConnection> connection_;
  std::unique_ptr<Reader> reader_;
  std::function<void(bool)> on_close_;
};

// How an attempt ended. `answer` is set if and only if `end` is kAnswered.
struct AttemptResult {
  coordination::AttemptOutcome end = coordination::AttemptOutcome::kNotRun;
  coordination::AttemptReason reason = coordination::AttemptReason::kNone;
  std::unique_ptr<UpstreamAnswer> answer;
};

// Returns the result of an attempt without an answer.
AttemptResult Failed(coordination::AttemptOutcome end,
                     coordination::AttemptReason reason);

// Whether an exchange may use a connection that has been used before.
enum class ConnectionUse {
  kReuse,
  // Opens a new connection. If it fails before the request is written, the
  // request has provably not been run.
  kFresh,
};

// Keeps idle connections by address for reuse. Closes a connection unless its
// last exchange ended cleanly: with a complete answer that allows keep-alive
// and without unread bytes after it. Must be used from one thread.
class UpstreamPool {
 public:
  explicit UpstreamPool(asio::any_io_executor executor);

  // Returns true once the answer of an exchange is no longer needed.
  using CancelPredicate = std::function<bool()>;

  // Sends `request` and waits for the answer's header until `deadline`, or
  // until a call of Tick() finds that `is_cancelled` returns true.
  // `is_cancelled` may be empty.
  awaitable<AttemptResult> Exchange(state::Address address,
                                    const UpstreamRequest& request,
                                    state::Instant deadline,
                                    ConnectionUse use,
                                    CancelPredicate is_cancelled);

  // Cancels the exchanges whose predicate returns true.
  void Tick();

  // Makes a connection available for reuse after an exchange that ended
  // cleanly.
  void Return(const state::Address& address,
              std::unique_ptr<UpstreamConnection> connection);

 private:
  std::unique_ptr<UpstreamConnection> TakeIdle(const state::Address& address);

  // An exchange that waits for the header of its answer and may be cancelled.
  struct CancellableExchange {
    UpstreamConnection* connection;
    CancelPredicate is_cancelled;
  };

  const asio::any_io_executor executor_;
  std::map<state::Address, std::vector<std::unique_ptr<UpstreamConnection>>>
      idle_;
  // Invariant: holds only connections that wait for the header of an answer.
  std::list<CancellableExchange> cancellable_exchanges_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_UPSTREAM_H_
