// Runs a function once for all requests of one turn of the executor's loop.

#ifndef MUSTARDFLOW_TRANSPORT_COALESCED_CALL_H_
#define MUSTARDFLOW_TRANSPORT_COALESCED_CALL_H_

#include <functional>

#include "transport/asio.h"

namespace mustardflow::transport {

// Runs on the single thread of the executor. It has to outlive the handlers of
// the executor.
class CoalescedCall {
 public:
  CoalescedCall(asio::any_io_executor executor, std::function<void()> function);
  CoalescedCall(const CoalescedCall&) = delete;
  CoalescedCall& operator=(const CoalescedCall&) = delete;

  // Runs the function after the handlers that are ready now. Further requests
  // until then have no effect.
  void Request();

 private:
  void Run();

  const asio::any_io_executor executor_;
  const std::function<void()> function_;
  // Whether a handler that runs the function has been posted.
  bool requested_ = false;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_COALESCED_CALL_H_
