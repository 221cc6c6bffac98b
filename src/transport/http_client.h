// An HTTP client for internal requests with small bodies, such as orders,
// heartbeats and calls to the platform's log.

#ifndef MUSTARDFLOW_TRANSPORT_HTTP_CLIENT_H_
#define MUSTARDFLOW_TRANSPORT_HTTP_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "state/document.h"
#include "state/time.h"
#include "transport/asio.h"

namespace mustardflow::transport {

// The reply to a request, as HttpClient returns it and HttpListener sends it.
struct HttpReply {
  int status = 0;
  std::string body;
  std::string content_type = "application/json";
  // To send: the header fields besides Content-Type. Received: all header
  // fields; content_type keeps its default then.
  std::vector<std::pair<std::string, std::string>> fields = {};

  bool ok() const { return status >= 200 && status < 300; }
};

// What became of the request itself.
struct HttpSendTrace {
  // Whether bytes of the request may have left this host.
  bool sent = false;
  // Whether the last connection that it was written to had been used before.
  bool reused = false;
  // Whether the connection was closed after the reply.
  bool closed = false;
  // When it was last handed to the network.
  state::Instant written{};
};

// Optional properties of a request.
struct HttpSendOptions {
  // The constructor keeps this type from being an aggregate: g++ 12 destroys an
  // aggregate twice if it is created in the arguments of an awaited call.
  HttpSendOptions() {}

  std::vector<std::pair<std::string, std::string>> fields;
  // Whether the request is retried on another connection if a reused connection
  // fails for another reason than the timeout, and whether a connection is
  // opened for it after an idle one was found to be unusable.
  bool reconnect = true;
  // How much longer than the timeout a reply may take whose header has arrived
  // in time, as long as no two parts of it are farther apart than the timeout:
  // a long reply takes seconds over a busy link.
  state::Duration transfer_time{0};
  // Asked immediately before the request is written. If it returns false,
  // nothing is written, and the request fails. If empty, it is always written.
  std::function<bool()> may_write;
  // Asked before a connection is opened. If it returns false, none is opened,
  // and the request fails. If empty, it may always be opened.
  std::function<bool()> may_connect;
  // Returns whether a reply belongs to this request. If not, the request fails
  // and its connection is reset. If empty, each reply belongs to it.
  std::function<bool(const HttpReply&)> is_own_reply;
  // Returns whether the connection may be used again after this reply, if
  // nothing else forbids it. If empty, it may.
  std::function<bool(const HttpReply&)> may_keep;
  // If not null, filled in while the request is sent.
  HttpSendTrace* trace = nullptr;
};

// A request that was not written because of HttpSendOptions::may_write or
// may_connect, or because its timeout had passed before its connection was
// open, fails with operation_aborted. Its connection is kept.
//
// Sends requests with bodies that fit in memory. Reuses idle connections on
// which nothing has arrived since their last reply; a peer may receive a
// request twice unless HttpSendOptions::reconnect is false. Not thread-safe.
class HttpClient {
 public:
  HttpClient(asio::any_io_executor executor, std::size_t max_reply_bytes);

  // Returns the reply, or the error because of which none arrived within
  // `timeout`.
  awaitable<boost::outcome_v2::result<HttpReply>> Send(
      state::Address address,
      http::verb method,
      std::string target,
      std::string body,
      state::Duration timeout,
      HttpSendOptions options = HttpSendOptions());

 private:
  using Stream = std::unique_ptr<beast::tcp_stream>;
  using Request = http::request<http::string_body>;

  // The times that a reply may take.
  struct ReplyTimes {
    // Until the header, and between two parts of the body.
    state::Duration silence;
    // When the whole reply must have arrived.
    std::chrono::steady_clock::time_point end;
  };

  // Sends the request on an established connection, whose timeout is set. Sets
  // `keep` to whether the connection can be reused.
  awaitable<boost::outcome_v2::result<HttpReply>> SendOver(
      beast::tcp_stream& stream,
      Request& request,
      ReplyTimes times,
      const HttpSendOptions& options,
      bool* keep);

  // An open connection without a request.
  struct IdleStream {
    Stream stream;
    std::chrono::steady_clock::time_point since;
  };

  void KeepIdle(const state::Address& address, Stream stream);
  // Closes connections that have been idle for too long.
  void PruneIdle();

  const asio::any_io_executor executor_;
  const std::size_t max_reply_bytes_;
  std::map<state::Address, std::vector<IdleStream>> idle_;
  std::chrono::steady_clock::time_point next_prune_{};
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_HTTP_CLIENT_H_
