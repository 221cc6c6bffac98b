// Limits the concurrent requests of one service on a host when responses exceed
// the target latency.

#ifndef MUSTARDFLOW_COORDINATION_LATE_WINDOW_H_
#define MUSTARDFLOW_COORDINATION_LATE_WINDOW_H_

#include <cstddef>

namespace mustardflow::coordination {

// An adaptive limit on the concurrent requests that a host sends to a service.
//
// A host that sends few requests to each server cannot tell how full that
// server is. Over all servers of a service, however, the host sees that
// responses become late. Without this limit, servers that slow down when they
// are full would stay full after a burst, and every response would come too
// late.
//
// There is no limit until a response is late. From then on, the limit decreases
// additively with late responses and increases additively with timely ones, so
// that it follows the number of requests in flight within one response time.
class LateWindow {
 public:
  // Whether another request may be sent while `in_flight` are in flight.
  bool HasRoom(std::size_t in_flight) const {
    return window_ <= 0 || static_cast<double>(in_flight) < window_;
  }

  // Records the end of a request. `in_flight`: the requests in flight,
  // including this one. `late`: the request was not answered within its target
  // latency. The limit does not fall below `min_window`.
  void RecordEnd(std::size_t in_flight, bool late, double min_window);

  // The limit; 0: none.
  double window() const { return window_; }

 private:
  // 0: no limit.
  double window_ = 0;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_LATE_WINDOW_H_
