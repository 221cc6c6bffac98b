// Bounds how many requests of one service a host has under way, by how late
// answers come.

#ifndef MUSTARDFLOW_COORDINATION_LATE_WINDOW_H_
#define MUSTARDFLOW_COORDINATION_LATE_WINDOW_H_

#include <cstddef>

namespace mustardflow::coordination {

// A host that sees each server seldom cannot tell how full it is, but over all
// servers of a service it sees answers turn late. Servers that slow down when
// they are full would otherwise stay full after a burst: each answer then comes
// too late to count.
//
// Unbounded until an answer is late; then additive in both directions, so that
// the bound follows the number under way within the time of an answer.
class LateWindow {
 public:
  bool HasRoom(std::size_t in_flight) const {
    return window_ <= 0 || static_cast<double>(in_flight) < window_;
  }

  // A request has ended; `in_flight` counts it. `late`: it was not answered
  // within its target. `least`: the bound does not fall below it.
  void RecordEnd(std::size_t in_flight, bool late, double least);

  // 0: unbounded.
  double window() const { return window_; }

 private:
  double window_ = 0;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_LATE_WINDOW_H_
