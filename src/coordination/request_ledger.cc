// Decides whether a request id may run, and transfers entries between hosts.

#include "coordination/request_ledger.h"

#include <algorithm>
#include <cctype>
#include <limits>

namespace mustardflow::coordination {

using state::Grant;
using state::WallMilliseconds;

namespace {

// Number of released ranges whose entries another host may still request.
constexpr std::size_t kMaxReleasedRanges = 4096;
constexpr std::size_t kUuidLength = 36;
// Index of the hexadecimal digit that contains the version of a UUID.
constexpr std::size_t kVersionPosition = 14;
// Number of hexadecimal digits of the creation time: the first 48 bits of the
// UUID, on both sides of the first dash.
constexpr std::size_t kTimeDigits = 12;

bool IsDashPosition(std::size_t position) {
  return position == 8 || position == 13 || position == 18 || position == 23;
}

}  // namespace

std::optional<RequestId> ParseRequestId(std::string_view text) {
  if (text.size() != kUuidLength || text[kVersionPosition] != '7') {
    return std::nullopt;
  }
  RequestId id;
  std::size_t digits = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto character = static_cast<unsigned char>(text[i]);
    const bool fits =
        IsDashPosition(i) ? character == '-' : std::isxdigit(character) != 0;
    if (!fits) {
      return std::nullopt;
    }
    const char lower = static_cast<char>(std::tolower(character));
    id.text.push_back(lower);
    if (!IsDashPosition(i) && digits < kTimeDigits) {
      const int value = lower <= '9' ? lower - '0' : lower - 'a' + 10;
      id.created = id.created * 16 + static_cast<WallMilliseconds>(value);
      ++digits;
    }
  }
  return id;
}

RequestLedger::RequestLedger(const LedgerLimits& limits) : limits_(limits) {}

std::vector<LedgerTransfer> RequestLedger::SetGrants(
    const std::vector<Grant>& grants,
    WallMilliseconds wall) {
  std::vector<HeldRange> held;
  std::vector<LedgerTransfer> transfers;
  for (const Grant& grant : grants) {
    const auto before =
        std::find_if(held_.begin(), held_.end(), [&](const HeldRange& each) {
          return each.grant.fence == grant.fence &&
                 each.grant.range.first <= grant.range.first &&
                 grant.range.last <= each.grant.range.last;
        });
    if (before != held_.end()) {
      held.push_back({grant, before->taken_over, before->awaits_transfer});
      continue;
    }
    const bool transfer = !grant.predecessor.member.empty();
    held.push_back({grant, wall, transfer});
    if (transfer) {
      transfers.push_back({grant.range, grant.fence, grant.predecessor});
    }
  }
  for (const HeldRange& former : held_) {
    const bool kept =
        std::any_of(held.begin(), held.end(), [&](const HeldRange& each) {
          return each.grant.fence == former.grant.fence;
        });
    if (!kept) {
      released_.push_front(former);
    }
  }
  if (released_.size() > kMaxReleasedRanges) {
    released_.resize(kMaxReleasedRanges);
  }
  held_ = std::move(held);
  return transfers;
}

// For a range that this host does not know, returns no entries and the latest
// possible takeover time. The importer then keeps its own takeover time and
// refuses ids created before it, as without a transfer.
LedgerExport RequestLedger::Export(const state::KeyRange& range) const {
  LedgerExport exported;
  exported.taken_over = std::numeric_limits<WallMilliseconds>::max();
  const auto found = std::find_if(
      released_.begin(), released_.end(), [&](const HeldRange& each) {
        return each.grant.range.first <= range.first &&
               range.last <= each.grant.range.last;
      });
  if (found == released_.end()) {
    return exported;
  }
  exported.taken_over = found->taken_over;
  for (const auto& [id, entry] : entries_) {
    if (range.Contains(state::HashKey(id))) {
      exported.entries[id] = entry;
    }
  }
  return exported;
}

void RequestLedger::Import(const LedgerTransfer& transfer,
                           LedgerExport exported) {
  HeldRange* held = FindTransferTarget(transfer);
  if (!held) {
    return;
  }
  held->awaits_transfer = false;
  held->taken_over = std::min(held->taken_over, exported.taken_over);
  for (auto& [id, entry] : exported.entries) {
    // The former holder does not report how an attempt ends after its export.
    if (entry.state == LedgerEntryState::kInProgress) {
      entry.state = LedgerEntryState::kMayHaveRun;
    }
    creation_times_.emplace_back(entry.created, id);
    entries_.try_emplace(id, std::move(entry));
  }
}

void RequestLedger::AbandonTransfer(const LedgerTransfer& transfer) {
  HeldRange* held = FindTransferTarget(transfer);
  if (held) {
    held->awaits_transfer = false;
  }
}

RequestLedger::HeldRange* RequestLedger::FindTransferTarget(
    const LedgerTransfer& transfer) {
  const auto found =
      std::find_if(held_.begin(), held_.end(), [&](const HeldRange& each) {
        return each.grant.fence == transfer.fence &&
               each.grant.range == transfer.range;
      });
  return found == held_.end() ? nullptr : &*found;
}

LedgerDecision RequestLedger::Begin(const RequestId& id,
                                    WallMilliseconds wall) {
  if (id.created > wall + limits_.max_caller_clock_lead_ms) {
    return LedgerDecision::kCreatedInFuture;
  }
  const auto found = entries_.find(id.text);
  if (found != entries_.end()) {
    switch (found->second.state) {
      case LedgerEntryState::kInProgress:
        return LedgerDecision::kInProgress;
      case LedgerEntryState::kAnswered:
        return LedgerDecision::kAnswered;
      case LedgerEntryState::kMayHaveRun:
        return LedgerDecision::kMayHaveRun;
    }
  }
  const HeldRange* held = FindHeld(id.hash());
  if (!held || id.created + limits_.window_ms <= wall ||
      entries_.size() >= limits_.max_entries) {
    return LedgerDecision::kEarlierUnknown;
  }
  // An earlier holder accepted ids from callers whose clocks were ahead of its
  // own clock, and its own clock may have been ahead of the clock of this host.
  const bool provably_unseen =
      id.created > held->taken_over + limits_.max_caller_clock_lead_ms +
                       limits_.max_host_clock_skew_ms;
  if (!provably_unseen) {
    return held->awaits_transfer ? LedgerDecision::kWait
                                 : LedgerDecision::kEarlierUnknown;
  }
  entries_[id.text] = {LedgerEntryState::kInProgress, id.created, {}};
  creation_times_.emplace_back(id.created, id.text);
  return LedgerDecision::kRun;
}

void RequestLedger::FinishNotRun(const RequestId& id) {
  entries_.erase(id.text);
}

void RequestLedger::FinishAnswered(const RequestId& id, StoredAnswer answer) {
  if (answer.body.size() > limits_.max_stored_body_bytes) {
    Finish(id, LedgerEntryState::kMayHaveRun, {});
    return;
  }
  Finish(id, LedgerEntryState::kAnswered, std::move(answer));
}

void RequestLedger::FinishUnknown(const RequestId& id) {
  Finish(id, LedgerEntryState::kMayHaveRun, {});
}

const StoredAnswer* RequestLedger::FindAnswer(const RequestId& id) const {
  const auto found = entries_.find(id.text);
  const bool answered = found != entries_.end() &&
                        found->second.state == LedgerEntryState::kAnswered;
  return answered ? &found->second.answer : nullptr;
}

void RequestLedger::Prune(WallMilliseconds wall) {
  std::erase_if(creation_times_, [&](const auto& each) {
    if (each.first + limits_.window_ms + limits_.max_host_clock_skew_ms >=
        wall) {
      return false;
    }
    const auto found = entries_.find(each.second);
    if (found != entries_.end() &&
        found->second.state != LedgerEntryState::kInProgress) {
      entries_.erase(found);
    }
    return true;
  });
}

const RequestLedger::HeldRange* RequestLedger::FindHeld(
    state::KeyHash hash) const {
  const auto found = std::find_if(
      held_.begin(), held_.end(),
      [&](const HeldRange& each) { return each.grant.range.Contains(hash); });
  return found == held_.end() ? nullptr : &*found;
}

void RequestLedger::Finish(const RequestId& id,
                           LedgerEntryState state,
                           StoredAnswer answer) {
  const auto found = entries_.find(id.text);
  if (found == entries_.end()) {
    return;
  }
  found->second.state = state;
  found->second.answer = std::move(answer);
}

}  // namespace mustardflow::coordination
