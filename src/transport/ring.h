// Bounded single-producer, single-consumer queues between the threads of a
// host.

#ifndef MUSTARDFLOW_TRANSPORT_RING_H_
#define MUSTARDFLOW_TRANSPORT_RING_H_

#include <atomic>
#include <boost/lockfree/spsc_queue.hpp>
#include <cstddef>
#include <functional>
#include <utility>

#include "transport/asio.h"

namespace mustardflow::transport {

// A ring buffer that passes values from one producer thread to one consumer
// thread, which runs an event loop. Neither thread ever blocks.
template <typename T>
class Ring {
 public:
  explicit Ring(std::size_t capacity) : queue_(capacity) {}

  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;

  // Sets the function that is called on `executor` for each value. Must be
  // called before the first Push().
  void Consume(asio::any_io_executor executor, std::function<void(T)> consume) {
    executor_ = std::move(executor);
    consume_ = std::move(consume);
  }

  // Appends a value. Returns false and drops the value if the ring is full.
  bool Push(T value) {
    if (!queue_.push(std::move(value))) {
      return false;
    }
    if (!drain_pending_.exchange(true)) {
      asio::post(executor_, [this] { Drain(); });
    }
    return true;
  }

 private:
  void Drain() {
    drain_pending_.store(false);
    T value;
    while (queue_.pop(value)) {
      consume_(std::move(value));
    }
  }

  boost::lockfree::spsc_queue<T> queue_;
  asio::any_io_executor executor_;
  std::function<void(T)> consume_;
  // Whether a call of Drain() has been posted to the executor and has not
  // begun.
  std::atomic<bool> drain_pending_ = false;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_RING_H_
