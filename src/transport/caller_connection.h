// An accepted HTTP connection of a caller or of a forwarding host.

#ifndef MUSTARDFLOW_TRANSPORT_CALLER_CONNECTION_H_
#define MUSTARDFLOW_TRANSPORT_CALLER_CONNECTION_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "admission/connection_limits.h"
#include "admission/memory_policy.h"
#include "state/routing_config.h"
#include "state/time.h"
#include "transport/asio.h"
#include "transport/body_buffer.h"
#include "transport/event_log.h"
#include "transport/memory_account.h"
#include "transport/request_parser.h"
#include "transport/request_relay.h"

namespace mustardflow::transport {

// Reads pipelined requests, passes them to the relay and writes the answers in
// the order of the requests. Closes itself on errors, at its time limits and
// after the last answer, and then calls the closed handler.
class CallerConnection : public std::enable_shared_from_this<CallerConnection>,
                         public MemoryHolder {
 public:
  using ClosedHandler = std::function<void(CallerConnection*)>;

  CallerConnection(tcp::socket socket,
                   const state::RoutingView& view,
                   RequestRelay& relay,
                   EventLog& log,
                   RequestSource source,
                   ClosedHandler closed);
  ~CallerConnection() override;
  CallerConnection(const CallerConnection&) = delete;
  CallerConnection& operator=(const CallerConnection&) = delete;

  void Start();

  // From now on, the connection closes after an answer unless a further request
  // has arrived by then, at least in part. The last answer carries
  // "Connection: close".
  void Drain() { draining_ = true; }
  // Accepts no further request. A request that has arrived in part is still
  // read to its end, but only if no other request waits for its answer. The
  // connection closes after the answers to the accepted requests, or at once if
  // there are none.
  void StopReading();

  // Enforces the timeouts for arriving requests and idle connections, and
  // detects the caller's close while nothing is read. Call several times a
  // second.
  void Tick(state::Instant now);

  // How the connection is used, to choose one that can be closed.
  admission::OpenConnection Use() const;
  // Closes an idle connection, or one whose caller makes no progress.
  void CloseForOthers();

  // MemoryHolder:
  std::optional<admission::Transfer> CurrentTransfer() const override;
  void EndTransfer() override;

 private:
  using Parser = RequestParser<BufferedBody>;

  // A request that has been read and whose answer is not being written yet.
  struct Exchange {
    RequestRelay::RequestId id = 0;
    // Whether the relay still has to answer the request.
    bool relay_pending = false;
    bool keep_alive = true;
    bool is_head_request = false;
    std::optional<CallerAnswer> answer;
  };

  // Returns the limits of the current configuration, or the defaults without a
  // configuration. Those on the sizes of forwarded requests are fixed.
  state::IngressLimits Limits() const;
  void Read();
  void HandleRead(const beast::error_code& error, std::size_t size);
  void Parse();
  void ResetParser();
  // Judges the arriving request by the current limits where they are above
  // those that it has been judged by so far, so that a change of the limits in
  // the middle of a request does not reject it.
  void RaiseLimits();
  // Whether the caller waits to be asked for the body of the arriving request.
  bool AwaitsContinue() const;
  // Asks the caller for the body of the arriving request.
  void WriteContinue();
  // Why a request is rejected before it is complete.
  struct Rejection {
    int status = 400;
    std::string problem;
  };

  // Checks the complete header once, and prepares to read the body. Returns why
  // the request is rejected, if it is.
  std::optional<Rejection> AcceptHeader();
  // Draws memory for the head of the request and for a body of announced
  // length. Returns why the request is rejected, if it is.
  std::optional<Rejection> ReserveMemory();
  // Draws memory for the received bytes of a body whose length is not
  // announced. Returns why the request is rejected, if it is.
  std::optional<Rejection> PrepareBody();
  // Whether the body of the arriving request waits for the caller.
  bool ReceivesBody() const;
  // Whether a further request may be read. Too many requests under way, or
  // answers that the caller does not read, delay it.
  bool MayReadRequest() const;
  // Counts the memory of the connection itself.
  void CountOwnMemory();
  // Replaces a target in absolute form by its path and query, and the Host
  // field by the target's host.
  void UseOriginForm();
  // Returns what is wrong with the request line or the header, if anything.
  std::optional<Rejection> CheckHeader() const;
  std::optional<Rejection> CheckTransferCoding() const;
  // Rejects a body that is too large, as stated or as received so far.
  std::optional<Rejection> CheckBodySize() const;
  // Passes the request that the parser has completed to the relay, unless the
  // caller has left in the meantime.
  void Dispatch();
  // Whether the caller has closed the connection, also if the bytes before its
  // close have not been read yet.
  bool CallerHasLeft();
  // Answers the arriving request with an error, as the last answer of the
  // connection.
  void Reject(const Rejection& rejection);
  void HandleAnswer(const std::shared_ptr<Exchange>& exchange,
                    CallerAnswer answer);
  // Writes the answer to the oldest request if it is known and no write is in
  // progress.
  void WriteNextAnswer();
  std::string AnswerHead(const Exchange& exchange, bool close) const;
  // Writes a part of the current answer, and then the rest.
  void WriteAnswer(bool close);
  void HandleAnswerWritten(bool close);
  // Whether no further request is read and no answer is missing.
  bool Done() const { return reading_finished_ && exchanges_.empty(); }
  void HandleDisconnect();
  // Closes the sending side, then waits until the caller closes the connection
  // or a timeout expires. An immediate close could reset the connection before
  // the caller has received the last answer.
  void Linger();
  void Close();

  tcp::socket socket_;
  const state::RoutingView& view_;
  RequestRelay& relay_;
  EventLog& log_;
  const RequestSource source_;
  ClosedHandler closed_handler_;
  // The IP address of the peer.
  const std::string caller_;
  std::unique_ptr<Parser> parser_;
  // Whether AcceptHeader() has accepted the header of the arriving request.
  bool header_accepted_ = false;
  // The size of the arriving request's header, as far as it was parsed.
  std::size_t header_bytes_ = 0;
  // The sizes in bytes that the arriving request may have.
  std::size_t header_limit_ = 0;
  std::size_t body_limit_ = 0;
  std::array<char, 8 << 10> read_chunk_{};
  // Received bytes that have not been parsed yet.
  std::string input_buffer_;
  // The answer that is being written. Bytes are removed from the body once they
  // are written.
  std::string output_head_;
  std::size_t output_head_written_ = 0;
  BodyBuffer output_body_;
  const MemoryAccountPtr memory_;
  // The memory of the connection itself.
  MemoryDraw own_draw_;
  // The progress of the arriving body and of the answer that is being written,
  // by the clock of the memory account.
  admission::Transfer receiving_;
  admission::Transfer sending_;
  // The number of requests that were passed to the relay.
  std::int64_t requests_ = 0;
  // Invariant: in the order in which the requests arrived.
  std::deque<std::shared_ptr<Exchange>> exchanges_;
  bool reading_ = false;
  bool writing_ = false;
  bool closed_ = false;
  bool draining_ = false;
  // No further request is read; the last answer ends the connection.
  bool reading_finished_ = false;
  // No request is read after the one that is arriving.
  bool current_request_is_last_ = false;
  // The sending side is closed; see Linger().
  bool lingering_ = false;
  // When the first bytes of the arriving request were parsed; unset between
  // requests.
  std::optional<state::Instant> request_started_at_;
  // When the last write ended, or the connection was opened or began to linger.
  state::Instant idle_since_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_CALLER_CONNECTION_H_
