// A stand-in for a backend server that owns shard keys exclusively, for tests
// and measurements.

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

// The options of one stand-in server.
struct BackendOptions {
  std::string name;
  state::Address address;
  // The maximum number of requests that run at a time.
  int slots = 6;
  // The time for which a request occupies a slot of a warm server.
  state::Duration work_time = std::chrono::milliseconds(5);
  // The size of an answer's body, unless the path of the request ends in
  // "/size/BYTES".
  std::size_t answer_bytes = 1024;
  // A server that has started or was reset by /standin/cold is cold: it has one
  // slot, and one more for each `requests_per_warm_slot` requests completed, up
  // to `slots`. It sheds requests beyond its current slots. Until it has all
  // slots, `work_time` is multiplied by `cold_slowdown_factor`. If
  // `requests_per_warm_slot` is 0, the server is always warm.
  int cold_slowdown_factor = 1;
  int requests_per_warm_slot = 0;
  // Whether a request with a fence other than the current one is rejected, also
  // if the fence changes while the request runs. If false, only requests for
  // keys that the server does not own at their start are rejected.
  bool fence_check = true;
  // The file to which the start and the end of each execution are appended. If
  // empty, nothing is written.
  std::string journal;
};

// Applies orders, executes requests, each in one slot, and records each
// execution in the journal. POST /standin/slow?factor=N&ms=N slows requests
// down for a time, and POST /standin/cold makes the server cold. A request with
// the header field X-Poison terminates the process.
class BackendServer {
 public:
  BackendServer(transport::asio::any_io_executor executor,
                const BackendOptions& options);

  void Start() { listener_.Start(); }

 private:
  transport::awaitable<transport::HttpReply> Handle(
      transport::HttpRequest request);
  transport::awaitable<transport::HttpReply> Execute(
      transport::HttpRequest request);
  // Handles the requests to /standin/slow and /standin/cold.
  transport::HttpReply HandleFault(const transport::HttpRequest& request);
  // Waits for the work time of one request.
  transport::awaitable<void> OccupySlot();
  void WriteJournal(char event,
                    const transport::HttpRequest& request,
                    const std::string& key,
                    std::int64_t started_us);
  int CurrentSlots() const;

  const transport::asio::any_io_executor executor_;
  const BackendOptions options_;
  state::GrantRegistry grants_;
  std::ofstream journal_;
  // Requests that occupy a slot; at most `slots`.
  int running_ = 0;
  // Requests completed since the start or the last POST /standin/cold.
  std::int64_t completed_ = 0;
  // Until `slow_until_`, the work time is multiplied by this factor.
  int slow_factor_ = 1;
  state::Instant slow_until_;
  transport::HttpListener listener_;
};

}  // namespace mustardflow::standins

#endif  // MUSTARDFLOW_STANDINS_BACKEND_SERVER_H_
