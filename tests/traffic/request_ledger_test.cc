// Tests RequestLedger: each id runs at most once, whichever host holds the duty
// and however the duty moves between hosts.

#include <rapidcheck.h>
#include <catch2/catch.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/request_ledger.h"
#include "protocol/ledger_codec.h"

namespace mustardflow::tests {

namespace {

using coordination::LedgerDecision;
using coordination::LedgerLimits;
using coordination::ParseRequestId;
using coordination::RequestId;
using coordination::RequestLedger;
using state::WallMilliseconds;

constexpr WallMilliseconds kStart = 1'000'000'000;

state::Grant MakeWholeRangeGrant(std::uint64_t fence, std::string predecessor) {
  state::Grant grant{{}, {{1, 1, 1}, fence}, false};
  grant.predecessor = {std::move(predecessor), 1};
  return grant;
}

RequestId IdAt(WallMilliseconds created, int number) {
  return {"id-" + std::to_string(number), created};
}

}  // namespace

TEST_CASE("ParseRequestId accepts only UUIDs of version 7 and reads their time",
          "[R2]") {
  const auto id = ParseRequestId("0190B0F4-1C2D-7ABC-8123-0123456789ab");
  REQUIRE(id);
  CHECK(id->created == 0x0190b0f41c2dULL);
  CHECK(id->text == "0190b0f4-1c2d-7abc-8123-0123456789ab");
  CHECK_FALSE(ParseRequestId("0190b0f4-1c2d-4abc-8123-0123456789ab"));
  CHECK_FALSE(ParseRequestId("0190b0f4-1c2d-7abc-8123-0123456789a"));
  CHECK_FALSE(ParseRequestId("0190b0f4x1c2d-7abc-8123-0123456789ab"));
}

TEST_CASE("a retry gets the stored answer of the first attempt", "[R2]") {
  RequestLedger ledger{LedgerLimits()};
  ledger.SetGrants({MakeWholeRangeGrant(1, "")}, kStart);
  const WallMilliseconds now = kStart + 5000;
  const RequestId id = IdAt(now, 1);
  CHECK(ledger.Begin(id, now) == LedgerDecision::kRun);
  CHECK(ledger.Begin(id, now) == LedgerDecision::kInProgress);
  ledger.FinishAnswered(id, {200, "text/plain", "booked"});
  CHECK(ledger.Begin(id, now) == LedgerDecision::kAnswered);
  CHECK(ledger.FindAnswer(id)->body == "booked");
}

TEST_CASE("without a transfer, ids created before the takeover are refused",
          "[R2]") {
  RequestLedger ledger{LedgerLimits()};
  ledger.SetGrants({MakeWholeRangeGrant(1, "")}, kStart);
  CHECK(ledger.Begin(IdAt(kStart - 10, 1), kStart + 100) ==
        LedgerDecision::kEarlierUnknown);
  CHECK(ledger.Begin(IdAt(kStart + 5000, 2), kStart + 5000) ==
        LedgerDecision::kRun);
}

TEST_CASE("an id too far in the future or older than the window is refused",
          "[O14][R2]") {
  RequestLedger ledger{LedgerLimits()};
  ledger.SetGrants({MakeWholeRangeGrant(1, "")}, kStart);
  const WallMilliseconds now = kStart + 10'000'000;
  CHECK(ledger.Begin(IdAt(now + 5000, 1), now) ==
        LedgerDecision::kCreatedInFuture);
  CHECK(ledger.Begin(IdAt(now - 700'000, 2), now) ==
        LedgerDecision::kEarlierUnknown);
}

TEST_CASE("ids older than the window are pruned", "[S5]") {
  RequestLedger ledger{LedgerLimits()};
  ledger.SetGrants({MakeWholeRangeGrant(1, "")}, kStart);
  WallMilliseconds now = kStart + 5000;
  for (int i = 0; i < 100; ++i) {
    const RequestId id = IdAt(now, i);
    ledger.Begin(id, now);
    ledger.FinishUnknown(id);
  }
  CHECK(ledger.size() == 100);
  ledger.Prune(now + 700'000);
  CHECK(ledger.size() == 0);
}

TEST_CASE("an export keeps its content through encoding and decoding") {
  coordination::LedgerExport exported;
  exported.taken_over = 7;
  exported.entries["a"] = {
      coordination::LedgerEntryState::kAnswered, 5, {201, "text/plain", "ok"}};
  const auto decoded =
      protocol::DecodeLedgerExport(protocol::EncodeLedgerExport(exported));
  REQUIRE(decoded);
  CHECK(decoded->taken_over == 7);
  CHECK(decoded->entries.at("a").answer.body == "ok");
  CHECK_FALSE(protocol::DecodeLedgerExport("{\"entries\":[[1]]}"));
}

// One range moves between hosts with skewed clocks: by planned moves with or
// without a transfer of the entries, by the loss of a host's entries, and by a
// release that offers no transfer. Callers with clocks ahead of the hosts
// retry their ids many times.
TEST_CASE("an id runs at most once while the duty moves between hosts",
          "[R2][O14]") {
  const bool held = rc::check("ledger", [] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 1000)));
    constexpr int kHosts = 3;
    constexpr WallMilliseconds kSkews[kHosts] = {0, 100, 50};
    std::vector<std::optional<RequestLedger>> ledgers(kHosts);
    for (auto& ledger : ledgers) {
      ledger.emplace(LedgerLimits());
    }
    WallMilliseconds now = kStart;
    std::uint64_t fence = 1;
    std::size_t holder = 0;
    const auto wall = [&](std::size_t host) { return now + kSkews[host]; };
    ledgers[0]->SetGrants({MakeWholeRangeGrant(fence, "")}, wall(0));
    std::vector<RequestId> ids;
    std::map<std::string, int> runs;
    std::set<std::string> in_progress;
    const auto release = [&](std::size_t host) {
      ledgers[host]->SetGrants({}, wall(host));
    };
    for (const auto& [kind, number] : steps) {
      const auto host = static_cast<std::size_t>(number) % kHosts;
      if (kind <= 3) {
        const bool resend = kind <= 1 && !ids.empty();
        if (!resend) {
          ids.push_back(IdAt(now + static_cast<WallMilliseconds>(number),
                             static_cast<int>(ids.size())));
        }
        const RequestId& id =
            ids[resend ? static_cast<std::size_t>(number) % ids.size()
                       : ids.size() - 1];
        if (ledgers[holder]->Begin(id, wall(holder)) == LedgerDecision::kRun) {
          ++runs[id.text];
          RC_ASSERT(runs[id.text] == 1);
          if (number % 4 == 0) {
            ledgers[holder]->FinishUnknown(id);
          } else if (number % 4 == 1) {
            ledgers[holder]->FinishAnswered(id, {200, "", "ok"});
          } else if (number % 4 == 2) {
            --runs[id.text];
            ledgers[holder]->FinishNotRun(id);
          } else {
            in_progress.insert(id.text);
          }
        }
      } else if (kind == 4 || kind == 5) {
        now += static_cast<WallMilliseconds>(number);
      } else if (kind == 6 && in_progress.empty()) {
        release(holder);
        const auto transfers = ledgers[host]->SetGrants(
            {MakeWholeRangeGrant(++fence, "host/former")}, wall(host));
        RC_ASSERT(transfers.size() == 1u);
        if (host == holder || number % 3 == 0) {
          ledgers[host]->AbandonTransfer(transfers[0]);
        } else {
          ledgers[host]->Import(transfers[0],
                                ledgers[holder]->Export(transfers[0].range));
        }
        holder = host;
      } else if (kind == 7) {
        ledgers[holder].emplace(LedgerLimits());
        in_progress.clear();
        holder = host;
        ledgers[holder]->SetGrants({MakeWholeRangeGrant(++fence, "")},
                                   wall(holder));
      } else if (kind == 8) {
        release(holder);
        in_progress.clear();
        holder = host;
        ledgers[holder]->SetGrants({MakeWholeRangeGrant(++fence, "")},
                                   wall(holder));
      }
    }
  });
  REQUIRE(held);
}

}  // namespace mustardflow::tests
