// Limits the memory for answers that are being received.

#ifndef MUSTARDFLOW_TRANSPORT_BYTE_BUDGET_H_
#define MUSTARDFLOW_TRANSPORT_BYTE_BUDGET_H_

#include <cstddef>

namespace mustardflow::transport {

// A number of bytes that several connections share. A server may send bytes
// without end, and several servers may do so at the same time.
class ByteBudget {
 public:
  explicit ByteBudget(std::size_t bytes) : limit_(bytes) {}
  ByteBudget(const ByteBudget&) = delete;
  ByteBudget& operator=(const ByteBudget&) = delete;

  // Returns whether `bytes` more are available, and takes them if so.
  bool Take(std::size_t bytes) {
    if (bytes > limit_ - used_) {
      return false;
    }
    used_ += bytes;
    return true;
  }

  // Returns bytes that were taken.
  void Return(std::size_t bytes) { used_ -= bytes; }

  std::size_t used() const { return used_; }

 private:
  const std::size_t limit_;
  // Invariant: at most limit_.
  std::size_t used_ = 0;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_BYTE_BUDGET_H_
