// A stand-in for a backend server that owns keys exclusively.

#ifndef MUSTARDFLOW_STANDINS_BACKEND_SERVER_H_
#define MUSTARDFLOW_STANDINS_BACKEND_SERVER_H_

#include <cstdint>
#include <fstream>
#include <optional>
#include <random>
#include <string>

#include "state/document.h"
#include "state/grant_registry.h"
#include "state/time.h"
#include "transport/asio.h"
#include "transport/http_listener.h"

namespace mustardflow::standins {

struct BackendOptions {
  std::string name;
  state::Address address;
  int slots = 6;
  // The time that a request occupies a slot.
  state::Duration work_time = std::chrono::milliseconds(5);
  // The body of an answer, unless the path ends in "/size/BYTES".
  std::size_t answer_bytes = 1024;
  // While cold, work takes this many times as long, and a server that runs more
  // than one request at a time for each `requests_per_warm_slot` completed ones
  // sheds.
  int cold_slowdown_factor = 1;
  int requests_per_warm_slot = 0;
  // Whether fences are compared.
  bool fence_check = true;
  // The start and the end of each run are appended to this file; none if
  // empty.
  std::string journal;
};

// Takes orders, runs requests within its slots, and writes each run down.
// Faults are induced by POST /standin/slow?factor=N&ms=N and /standin/cold. A
// request with the header field X-Poison ends the process.
class BackendServer {
 public:
  BackendServer(transport::asio::any_io_executor executor,
                const BackendOptions& options);

  void Start() { listener_.Start(); }

 private:
  transport::awaitable<transport::HttpReply> Handle(
      transport::HttpRequest request);
  transport::awaitable<transport::HttpReply> Work(
      transport::HttpRequest request);
  transport::HttpReply HandleFault(const transport::HttpRequest& request);
  transport::awaitable<void> Occupy();
  void WriteJournal(char mark,
                    const transport::HttpRequest& request,
                    const std::string& key,
                    std::int64_t started_us);
  int SlotsNow() const;

  const transport::asio::any_io_executor executor_;
  const BackendOptions options_;
  state::GrantRegistry book_;
  std::ofstream journal_;
  int running_ = 0;
  std::int64_t completed_ = 0;
  int slow_factor_ = 1;
  state::Instant slow_until_;
  transport::HttpListener listener_;
};

}  // namespace mustardflow::standins

#endif  // MUSTARDFLOW_STANDINS_BACKEND_SERVER_H_
