// Tests the division of memory and the choice of the transfer to end.

#include "admission/memory_policy.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace mustardflow::tests {

namespace {

using admission::ChooseTransferToClose;
using admission::Transfer;
using std::chrono::milliseconds;

constexpr std::size_t kMebibyte = 1 << 20;
const state::Instant kNow(std::chrono::seconds(100));

// A transfer that has lasted for 10 s.
Transfer TransferOf(milliseconds since_progress, std::size_t moved) {
  return {kMebibyte, moved, kNow - std::chrono::seconds(10),
          kNow - since_progress};
}

}  // namespace

// Guards against a division by which the largest body of the default limits is
// refused on the smallest hosts.
TEST_CASE("a body of 64 MiB fits into 112 MiB", "[M1]") {
  const auto limits = admission::MemoryLimitsFor(112 * kMebibyte);
  CHECK(limits.large >= 65 * kMebibyte);
  CHECK(limits.total < 112 * kMebibyte);
}

TEST_CASE("small bodies have a reserve that larger ones leave", "[M1]") {
  for (const std::size_t mebibytes : {1, 8, 96, 112, 260, 512}) {
    const auto limits = admission::MemoryLimitsFor(mebibytes * kMebibyte);
    CHECK(limits.large < limits.total);
    CHECK(limits.total < mebibytes * kMebibyte);
    CHECK(limits.total - limits.large >= admission::kSmallBytes);
  }
}

// Guards against ending a transfer that is merely larger than others.
TEST_CASE("transfers that make progress alike are not ended", "[M2]") {
  CHECK_FALSE(ChooseTransferToClose(kNow, {}));
  CHECK_FALSE(
      ChooseTransferToClose(kNow, {TransferOf(milliseconds(900), kMebibyte),
                                   TransferOf(milliseconds(0), 2 * kMebibyte),
                                   TransferOf(milliseconds(10), kMebibyte / 2),
                                   TransferOf(milliseconds(20), kMebibyte)}));
}

TEST_CASE("the transfer without progress for longest is ended", "[M2]") {
  const auto chosen =
      ChooseTransferToClose(kNow, {TransferOf(milliseconds(1200), kMebibyte),
                                   TransferOf(milliseconds(3000), kMebibyte),
                                   TransferOf(milliseconds(0), 1)});
  REQUIRE(chosen);
  CHECK(*chosen == 1);
}

// Guards against a client that sends a byte now and then to hold memory.
TEST_CASE("a transfer that is far slower than the others is ended", "[M2]") {
  const std::vector<Transfer> transfers = {
      TransferOf(milliseconds(0), kMebibyte), TransferOf(milliseconds(0), 100),
      TransferOf(milliseconds(0), kMebibyte),
      TransferOf(milliseconds(0), 2 * kMebibyte)};
  const auto chosen = ChooseTransferToClose(kNow, transfers);
  REQUIRE(chosen);
  CHECK(*chosen == 1);
}

// Guards against judging the rate of a transfer that has only just begun.
TEST_CASE("a new transfer is not taken as slow", "[M2]") {
  std::vector<Transfer> transfers(5,
                                  TransferOf(milliseconds(0), 8 * kMebibyte));
  transfers[2].began = kNow - milliseconds(50);
  transfers[2].moved_bytes = 0;
  CHECK_FALSE(ChooseTransferToClose(kNow, transfers));
}

}  // namespace mustardflow::tests
