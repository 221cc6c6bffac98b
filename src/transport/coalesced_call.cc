// Posts one handler for any number of requests.

#include "transport/coalesced_call.h"

#include <utility>

namespace mustardflow::transport {

CoalescedCall::CoalescedCall(asio::any_io_executor executor,
                             std::function<void()> function)
    : executor_(std::move(executor)), function_(std::move(function)) {}

void CoalescedCall::Request() {
  if (requested_) {
    return;
  }
  requested_ = true;
  asio::post(executor_, [this] { Run(); });
}

void CoalescedCall::Run() {
  // Comes first: a request that the function makes needs a run of its own.
  requested_ = false;
  function_();
}

}  // namespace mustardflow::transport
