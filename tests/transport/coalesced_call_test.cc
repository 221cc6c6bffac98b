// Requests for one call that arrive together.

#include <catch2/catch.hpp>

#include "transport/coalesced_call.h"

namespace mustardflow::tests {

namespace {

using transport::CoalescedCall;

}  // namespace

// Guards against long turns of a leader: hundreds of orders ended in one turn,
// and each walked over all keys.
TEST_CASE("requests of one turn run the function once, after them", "[OWNER]") {
  transport::asio::io_context context;
  int requests = 0;
  int runs = 0;
  int requests_before_run = 0;
  CoalescedCall call(context.get_executor(), [&] {
    ++runs;
    requests_before_run = requests;
  });
  constexpr int kOutcomes = 300;
  for (int i = 0; i < kOutcomes; ++i) {
    transport::asio::post(context, [&] {
      ++requests;
      call.Request();
    });
  }
  context.run();
  CHECK(runs == 1);
  CHECK(requests_before_run == kOutcomes);
}

TEST_CASE("a request during the run leads to another run", "[OWNER]") {
  transport::asio::io_context context;
  int runs = 0;
  CoalescedCall* requested = nullptr;
  CoalescedCall call(context.get_executor(), [&] {
    if (++runs == 1) {
      requested->Request();
    }
  });
  requested = &call;
  call.Request();
  context.run();
  CHECK(runs == 2);
}

}  // namespace mustardflow::tests
