// One connection of a caller: reads requests, writes answers in their order.

#ifndef MUSTARDFLOW_TRANSPORT_CALLER_CONNECTION_H_
#define MUSTARDFLOW_TRANSPORT_CALLER_CONNECTION_H_

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "state/routing_config.h"
#include "state/time.h"
#include "transport/asio.h"
#include "transport/event_log.h"
#include "transport/request_relay.h"

namespace mustardflow::transport {

class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
 public:
  using ClosedHandler = std::function<void(CallerConnection*)>;

  CallerConnection(tcp::socket socket,
                   const state::RoutingView& view,
                   RequestRelay& relay,
                   EventLog& log,
                   RequestSource source,
                   ClosedHandler closed);

  void Start();

  // Answers from now on announce that the connection ends.
  void Drain() { draining_ = true; }
  // Reads no further request: the connection ends with the requests that have
  // been read, or at once without any.
  void StopReading();

  // Enforces the time limits on what the caller sends.
  void Tick(state::Instant now);

 private:
  using Parser = http::request_parser<http::string_body>;

  // A request that has been read, until its answer is written.
  struct Exchange {
    RequestRelay::RequestId id = 0;
    // Whether the relay still has the request.
    bool relay_pending = false;
    bool keep_alive = true;
    bool head = false;
    std::optional<CallerAnswer> answer;
  };

  // The limits in force now.
  state::IngressLimits Limits() const;
  void Read();
  void HandleRead(const beast::error_code& error, std::size_t size);
  void Parse();
  void NewParser();
  // What is wrong with the head of a request, as a status; 0 if nothing is.
  int CheckHead() const;
  void Dispatch();
  void Reject(int status);
  void HandleAnswer(const std::shared_ptr<Exchange>& exchange,
                    CallerAnswer answer);
  void Flush();
  std::string AnswerBytes(const Exchange& exchange, bool close) const;
  // Whether all that was to be read has been answered.
  bool Done() const { return reading_finished_ && exchanges_.empty(); }
  void HandleDisconnect();
  // Ends after the caller has taken the last answer.
  void Linger();
  void Close();

  tcp::socket socket_;
  const state::RoutingView& view_;
  RequestRelay& relay_;
  EventLog& log_;
  const RequestSource source_;
  ClosedHandler closed_handler_;
  std::unique_ptr<Parser> parser_;
  std::array<char, 8 << 10> chunk_{};
  std::string in_;
  std::string out_;
  // Invariant: in the order of the requests.
  std::deque<std::shared_ptr<Exchange>> exchanges_;
  bool reading_ = false;
  bool writing_ = false;
  bool closed_ = false;
  bool draining_ = false;
  // No request is read any more; the last answer ends the connection.
  bool reading_finished_ = false;
  // The request that is coming in is the last one to be read.
  bool current_request_is_last_ = false;
  bool lingering_ = false;
  // When the present request began to arrive, if one has.
  std::optional<state::Instant> request_started_at_;
  state::Instant idle_since_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_CALLER_CONNECTION_H_
