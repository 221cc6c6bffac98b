// One connection to a backend server, which carries one request at a time.

#ifndef MUSTARDFLOW_TRANSPORT_SERVER_CONNECTION_H_
#define MUSTARDFLOW_TRANSPORT_SERVER_CONNECTION_H_

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "state/document.h"
#include "state/time.h"
#include "transport/asio.h"

namespace mustardflow::transport {

// A whole answer of a backend server.
struct ServerAnswer {
  int status = 0;
  std::string reason;
  http::fields fields;
  std::string body;
};

enum class ExchangeResult {
  // A whole answer to the request has arrived.
  kAnswered,
  // No connection was made; nothing was sent.
  kNotConnected,
  // The connection broke, or what arrived is no answer.
  kBroken,
};

class ServerConnection : public std::enable_shared_from_this<ServerConnection> {
 public:
  using Handler = std::function<void(ExchangeResult, ServerAnswer)>;

  ServerConnection(asio::io_context& context, const state::Address& address);

  // Sends the bytes of a request, after connecting if need be. Calls `handler`
  // once, unless Abort() comes first. Answers with another request id are
  // dropped: they belong to a request of before.
  void Send(std::string bytes,
            std::string request_id,
            bool answer_has_no_body,
            Handler handler);

  // Resets the connection, so that what was sent is not carried out later.
  void Abort();

  // Watches the idle connection; `closed` is called when the server ends it or
  // sends bytes that nobody asked for.
  void WatchIdle(std::function<void()> closed);

  bool connected() const { return connected_; }
  // Whether another request may be sent after the answer.
  bool reusable() const { return reusable_; }
  // How long the server keeps the idle connection, if it says.
  std::optional<state::Duration> keep_alive() const { return keep_alive_; }
  state::Instant idle_since() const { return idle_since_; }

 private:
  using Parser = http::response_parser<http::string_body>;

  void Connect();
  void Write();
  void Read();
  void HandleRead(const beast::error_code& error, std::size_t size);
  void Parse();
  void NewParser();
  // Handles a complete message; returns whether it was the answer.
  bool HandleMessage();
  void RecordKeepAlive(const http::fields& fields);
  void End(ExchangeResult end, ServerAnswer answer);
  void Reset();

  tcp::socket socket_;
  const tcp::endpoint endpoint_;
  bool connected_ = false;
  bool connecting_ = false;
  bool closed_ = false;
  bool reusable_ = false;
  bool reading_ = false;
  bool writing_ = false;
  std::string out_;
  std::string in_;
  std::string request_id_;
  bool answer_has_no_body_ = false;
  Handler handler_;
  std::function<void()> idle_closed_handler_;
  std::unique_ptr<Parser> parser_;
  std::array<char, 16 << 10> chunk_{};
  std::optional<state::Duration> keep_alive_;
  state::Instant idle_since_{};
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_SERVER_CONNECTION_H_
