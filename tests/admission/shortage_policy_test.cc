// Tests for the decisions under overload and for the order of waiting requests.

#include "admission/shortage_policy.h"

#include <catch2/catch.hpp>

#include "admission/waiting_queue.h"

namespace mustardflow::tests {

namespace {

using admission::Decision;
using admission::RequestFigures;
using admission::ServerOutlook;
using admission::ShortagePolicy;
using admission::WaitingQueue;
using state::Instant;
using std::chrono::milliseconds;
using std::chrono::seconds;

const Instant kNow{seconds(100)};

RequestFigures Verdict() {
  return {"verdict",       0, kNow, kNow + seconds(1), milliseconds(250),
          milliseconds(57)};
}

RequestFigures Browse() {
  return {"browse",         2, kNow, kNow + seconds(4), milliseconds(2000),
          milliseconds(360)};
}

ServerOutlook Busy(int wait_ms, int own_ms, int wait_behind_ms) {
  ServerOutlook outlook;
  outlook.wait = milliseconds(wait_ms);
  outlook.own = milliseconds(own_ms);
  outlook.wait_behind = milliseconds(wait_behind_ms);
  return outlook;
}

}  // namespace

TEST_CASE("a free slot is used if the answer comes before the deadline") {
  const ShortagePolicy policy;
  ServerOutlook outlook = Busy(0, 900, 0);
  outlook.free_slot = true;
  CHECK(policy.Decide(kNow, Verdict(), 0, outlook) == Decision::kSend);
  CHECK(policy.Decide(kNow + milliseconds(200), Verdict(), 0, outlook) ==
        Decision::kRefuse);
}

// Long work of little urgency filled the servers' queues, and urgent requests
// behind it were late.
TEST_CASE("a request queues at a server only while more urgent ones can") {
  ShortagePolicy policy;
  const ServerOutlook outlook = Busy(100, 360, 220);
  CHECK(policy.Decide(kNow, Browse(), 2, outlook) == Decision::kSend);
  policy.RecordArrival(kNow, Verdict());
  CHECK(policy.Decide(kNow, Browse(), 2, outlook) == Decision::kWait);
  CHECK(policy.Decide(kNow, Browse(), 2, Busy(50, 360, 170)) ==
        Decision::kSend);
  const Instant later = kNow + seconds(3);
  RequestFigures later_browse = Browse();
  later_browse.received = later;
  CHECK(policy.Decide(later, later_browse, 2, outlook) == Decision::kSend);
}

TEST_CASE("a request that cannot meet its target any more is refused") {
  const ShortagePolicy policy;
  const ServerOutlook outlook = Busy(200, 57, 220);
  CHECK(policy.Decide(kNow, Verdict(), 0, outlook) == Decision::kWait);
  CHECK(policy.Decide(kNow + milliseconds(124), Verdict(), 0, outlook) ==
        Decision::kWait);
  // Half of the target has passed.
  CHECK(policy.Decide(kNow + milliseconds(125), Verdict(), 0, outlook) ==
        Decision::kRefuse);
  CHECK(policy.Decide(kNow, Verdict(), 0, Busy(10, 260, 220)) ==
        Decision::kRefuse);
}

TEST_CASE("late work is queued only if the deadline is near the target") {
  const ShortagePolicy policy;
  RequestFigures request = Verdict();
  const ServerOutlook outlook = Busy(240, 57, 250);
  CHECK(policy.Decide(kNow, request, 0, outlook) != Decision::kSend);
  request.end = kNow + milliseconds(450);
  CHECK(policy.Decide(kNow, request, 0, outlook) == Decision::kSend);
}

// With strict priorities, a lasting burst of urgent requests left nothing for
// the others.
TEST_CASE("a kind that is served far less often than all ranks first") {
  ShortagePolicy policy;
  for (int i = 0; i < 40; ++i) {
    policy.RecordArrival(kNow, Verdict());
    policy.RecordSent(kNow, Verdict());
    policy.RecordArrival(kNow, Browse());
  }
  CHECK(policy.Rank(kNow, Browse()) < policy.Rank(kNow, Verdict()));
  for (int i = 0; i < 20; ++i) {
    policy.RecordSent(kNow, Browse());
  }
  CHECK(policy.Rank(kNow, Browse()) > policy.Rank(kNow, Verdict()));
  // The counts have decayed, so they prove nothing.
  CHECK(policy.Rank(kNow + seconds(20), Browse()) == 2);
}

TEST_CASE("waiting requests are ordered by rank, latest start and work") {
  WaitingQueue queue(3);
  CHECK_FALSE(queue.Add({1, kNow + milliseconds(5), milliseconds(10), 1}));
  CHECK_FALSE(queue.Add({0, kNow + milliseconds(9), milliseconds(10), 2}));
  CHECK_FALSE(queue.Add({1, kNow + milliseconds(5), milliseconds(4), 3}));
  CHECK(queue.First()->id == 2);
  CHECK(queue.WorkBefore({1, kNow + milliseconds(5), milliseconds(10), 1}) ==
        milliseconds(14));
  // A full queue must not grow: the last request gives way.
  CHECK(queue.Add({0, kNow, milliseconds(1), 4})->id == 1);
  CHECK(queue.First()->id == 4);
  CHECK(queue.Add({2, kNow, milliseconds(1), 5})->id == 5);
}

}  // namespace mustardflow::tests
