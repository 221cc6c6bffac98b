// Stand-ins for the platform's append-only log service and its host list, for
// tests and measurements.

#ifndef MUSTARDFLOW_STANDINS_LOG_SERVICE_H_
#define MUSTARDFLOW_STANDINS_LOG_SERVICE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "state/config.h"
#include "state/document.h"
#include "state/time.h"
#include "transport/asio.h"
#include "transport/http_listener.h"

namespace mustardflow::standins {

// Keeps streams of records in memory. Injects faults on these requests:
// - POST /standin/down?ms=N: all requests to streams fail with 503 for N
//   milliseconds, or for 24 hours without `ms`.
// - POST /standin/lose?count=N: the next N appends take effect, but their
//   answers are lost: the client receives 503.
// - POST /standin/slow?ms=N: each request is delayed by N milliseconds.
// - POST /standin/retain?records=N: each stream keeps only its last N records.
class LogService {
 public:
  LogService(transport::asio::any_io_executor executor,
             const state::Address& address);

  void Start() { listener_.Start(); }

 private:
  struct Stream {
    // The offset of the oldest record that is retained.
    state::LogOffset first = 0;
    std::deque<std::string> records;
    // The offset of the next record that is appended.
    state::LogOffset next() const { return first + records.size(); }
  };

  transport::awaitable<transport::HttpReply> Handle(
      transport::HttpRequest request);
  transport::awaitable<transport::HttpReply> Append(Stream& stream,
                                                    std::string text);
  transport::awaitable<transport::HttpReply> Read(
      Stream& stream,
      std::map<std::string, std::string> query);
  // Handles the requests to /standin/, which inject faults.
  transport::HttpReply HandleFault(const transport::HttpRequest& request);
  transport::awaitable<void> Sleep(state::Duration duration);
  // Removes the oldest records beyond `retained_records_`.
  void ApplyRetention(Stream& stream);

  const transport::asio::any_io_executor executor_;
  // By the path of the stream's records.
  std::map<std::string, Stream> streams_;
  state::Instant down_until_;
  // Each request to a stream is delayed by this time.
  state::Duration delay_{0};
  // The number of further appends that take effect but are answered with 503.
  std::int64_t answers_to_drop_ = 0;
  // The maximum number of records that each stream keeps.
  std::size_t retained_records_ = 1'000'000;
  transport::HttpListener listener_;
};

// Keeps the text of the host list: POST /hosts replaces it, GET /hosts returns
// it. The path is not checked.
class HostListService {
 public:
  HostListService(transport::asio::any_io_executor executor,
                  const state::Address& address);

  void Start() { listener_.Start(); }

 private:
  transport::awaitable<transport::HttpReply> Handle(
      transport::HttpRequest request);

  std::string text_ = R"({"hosts":[]})";
  transport::HttpListener listener_;
};

}  // namespace mustardflow::standins

#endif  // MUSTARDFLOW_STANDINS_LOG_SERVICE_H_
