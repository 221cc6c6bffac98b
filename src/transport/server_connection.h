// A connection to a backend server or to the gate of one.

#ifndef MUSTARDFLOW_TRANSPORT_SERVER_CONNECTION_H_
#define MUSTARDFLOW_TRANSPORT_SERVER_CONNECTION_H_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "state/document.h"
#include "state/time.h"
#include "transport/answer_reader.h"
#include "transport/asio.h"
#include "transport/body_buffer.h"
#include "transport/memory_account.h"

namespace mustardflow::transport {

// A complete answer of a backend server or gate.
struct ServerAnswer {
  int status = 0;
  std::string reason;
  http::fields fields;
  BodyBuffer body;
};

// How a request on a connection has ended.
enum class ExchangeResult {
  // A complete answer to the request has arrived.
  kAnswered,
  // No connection was established; nothing was sent.
  kNotConnected,
  // The connection broke, or the bytes received are not a valid answer.
  kBroken,
};

// Carries one request at a time. The first Send() establishes the connection;
// further requests may be sent as long as reusable() holds after an answer.
class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Handler = std::function<void(ExchangeResult, ServerAnswer)>;

  // Answers draw from `memory`. `open_connections` counts the connections.
  ServerConnection(asio::io_context& context,
                   const state::Address& address,
                   MemoryAccountPtr memory,
                   std::shared_ptr<std::size_t> open_connections);
  ~ServerConnection() { --*open_connections_; }
  ServerConnection(const ServerConnection&) = delete;
  ServerConnection& operator=(const ServerConnection&) = delete;

  // Sends a request, after connecting if necessary; `head` ends with the empty
  // line, and `body` is not changed until the request ends. Calls
  // `handler` once, unless Abort() is called first. `request_id` is the
  // X-Attempt-Id of the request. Answers with another X-Attempt-Id belong to an
  // earlier request and are dropped; on a connection that is used again, an
  // answer without one may belong to any request and breaks the connection.
  // `answer_has_no_body` is set for HEAD requests, whose answers end with the
  // header.
  void Send(std::string head,
            std::shared_ptr<const BodyBuffer> body,
            std::string request_id,
            bool answer_has_no_body,
            Handler handler);

  // Resets the connection, so that bytes of the request which have not reached
  // the server yet are discarded and the request is not run later.
  void Abort();

  // Watches the idle connection. Closes it and calls `closed` when the server
  // closes it or sends bytes without a request.
  void WatchIdle(std::function<void()> closed);

  bool connected() const { return connected_; }
  // Whether another request may be sent on this connection.
  bool reusable() const { return reusable_; }
  // How long the server keeps the connection open while idle, if announced.
  std::optional<state::Duration> keep_alive() const { return keep_alive_; }
  // When the last request ended.
  state::Instant idle_since() const { return idle_since_; }

 private:
  using Reader = AnswerReader<BufferedBody>;

  void Connect();
  void Write();
  void Read();
  void HandleRead(const beast::error_code& error, std::size_t size);
  void HandleWritten(const beast::error_code& error);
  // Reading has reached the end of the stream: the server has sent a FIN, or a
  // reset that was reported to the write of the request. Cancels that write;
  // its result tells which.
  void HandleReadEnd();
  // Ends the request after the end of the stream, when nothing is being
  // written. An answer without a length is whole only after a FIN.
  void FinishAtReadEnd();
  void Parse();
  void ResetReader();
  // Draws memory for the answer's bytes that have been received. Returns
  // whether the account allows it.
  bool PrepareBody();
  // Pauses reading until the account allows more; the server is held back by
  // TCP flow control. Breaks the connection if that takes too long.
  void PauseReading();
  // Handles a complete message. Returns whether it was the final answer to the
  // request, rather than an interim (1xx) answer or one to an earlier request.
  bool HandleMessage();
  // Skips a message that is not the final answer to the request. Returns
  // whether the exchange has ended because the server sends too many of them.
  bool SkipMessage();
  // Reads the idle timeout of the server from the Keep-Alive field.
  void RecordKeepAlive(const http::fields& fields);
  // Ends the request and calls its handler. Closes the connection unless it can
  // be reused.
  void FinishExchange(ExchangeResult result, ServerAnswer answer);
  // Closes the connection with a TCP reset.
  void Reset();

  tcp::socket socket_;
  const tcp::endpoint endpoint_;
  const MemoryAccountPtr memory_;
  const std::shared_ptr<std::size_t> open_connections_;
  // The memory of the connection itself.
  MemoryDraw own_draw_;
  asio::steady_timer pause_timer_;
  // Since when reading has been paused for memory.
  std::optional<state::Instant> paused_since_;
  // The number of requests sent on the connection.
  int requests_ = 0;
  // The messages skipped since the request was sent.
  int skipped_messages_ = 0;
  bool connected_ = false;
  bool connecting_ = false;
  bool closed_ = false;
  bool reusable_ = false;
  bool reading_ = false;
  bool writing_ = false;
  // Whether reading has reached the end of the stream.
  bool read_end_ = false;
  // How the last write has ended.
  beast::error_code write_error_;
  // The request that is being written; null without one.
  std::string output_head_;
  std::shared_ptr<const BodyBuffer> output_body_;
  // Received bytes that have not been parsed yet.
  std::string input_buffer_;
  std::string request_id_;
  bool answer_has_no_body_ = false;
  // Null while no request is under way.
  Handler handler_;
  std::function<void()> idle_closed_handler_;
  std::unique_ptr<Reader> reader_;
  // Whether memory is being drawn for the body of the reader.
  bool preparing_ = false;
  std::array<char, 16 << 10> read_chunk_{};
  std::optional<state::Duration> keep_alive_;
  state::Instant idle_since_{};
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_SERVER_CONNECTION_H_
