// Remembers request ids, so that a retry does not run a request a second time.

#ifndef MUSTARDFLOW_COORDINATION_REQUEST_LEDGER_H_
#define MUSTARDFLOW_COORDINATION_REQUEST_LEDGER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "state/grant.h"
#include "state/key_range.h"
#include "state/time.h"

namespace mustardflow::coordination {

// A request id: a UUID of version 7, which contains its creation time.
struct RequestId {
  // In canonical form: lower case, with dashes.
  std::string text;
  state::WallMilliseconds created = 0;

  state::KeyHash hash() const { return state::HashKey(text); }
};

// Parses a UUID of version 7. Returns std::nullopt for any other text.
std::optional<RequestId> ParseRequestId(std::string_view text);

// What a host must do with a request that has an id.
enum class LedgerDecision {
  // Run the request: the id is new to this host, and provably no earlier holder
  // of the duty has seen it.
  kRun,
  // An attempt with this id is in progress.
  kInProgress,
  // An attempt with this id has ended; return its stored answer.
  kAnswered,
  // An attempt with this id has ended and may have run the request.
  kMayHaveRun,
  // The transfer of the entries from the earlier holder is in progress; call
  // Begin() again soon.
  kWait,
  // An earlier holder of the duty may have seen the id, so the request may have
  // run. Also returned for an id on a range that is not held, for an id older
  // than the window, and for a new id when the ledger is full.
  kEarlierUnknown,
  // The creation time of the id lies further in the future than the clock of a
  // caller may be ahead.
  kCreatedInFuture,
};

// An answer that is kept for retries of its request.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

// The state of the latest attempt with an id.
enum class LedgerEntryState {
  kInProgress,
  kAnswered,
  kMayHaveRun,
};

// What a ledger stores for one id.
struct LedgerEntry {
  LedgerEntryState state = LedgerEntryState::kInProgress;
  state::WallMilliseconds created = 0;
  StoredAnswer answer;
};

// The entries of a range, as its former holder sends them to the next one.
struct LedgerExport {
  // When the former holder took the range over. Holders before it may have seen
  // ids created before this time.
  state::WallMilliseconds taken_over = 0;
  std::map<std::string, LedgerEntry> entries;
};

// A range whose entries should be requested from its former holder.
struct LedgerTransfer {
  state::KeyRange range;
  state::Fence fence;
  state::Predecessor predecessor;
};

// Limits on time, clock differences and memory of a ledger.
struct LedgerLimits {
  // The window: ids are remembered for this long after their creation; older
  // ids are refused.
  std::uint64_t window_ms = 600'000;
  // How far the clock of a caller may be ahead of the clock of a host.
  std::uint64_t max_caller_clock_lead_ms = 1000;
  // The largest difference between the wall clocks of two hosts.
  std::uint64_t max_host_clock_skew_ms = 100;
  // Number of ids remembered at the same time. A full ledger refuses new ids.
  std::size_t max_entries = 1'000'000;
  // The largest body of an answer that is kept.
  std::size_t max_stored_body_bytes = 16 << 10;
};

// Remembers the ids whose hashes lie in the ranges that this host is granted. A
// host that takes a range over gets the entries of the former holder, if the
// former holder has released the range. Otherwise the host refuses ids created
// before the takeover, since the former holder may have run their requests.
class RequestLedger {
 public:
  explicit RequestLedger(const LedgerLimits& limits);

  // Sets the ranges that the host is granted from `wall` on. A range under a
  // new fence counts as taken over at `wall`. Returns the transfers to be made;
  // each must be ended by Import() or AbandonTransfer().
  std::vector<LedgerTransfer> SetGrants(const std::vector<state::Grant>& grants,
                                        state::WallMilliseconds wall);

  // Returns the entries of `range`, which this host must have released.
  LedgerExport Export(const state::KeyRange& range) const;

  // Adds the entries of the former holder.
  void Import(const LedgerTransfer& transfer, LedgerExport exported);

  // Ends a transfer without the entries of the former holder. Ids that the
  // former holder may have seen are refused from now on.
  void AbandonTransfer(const LedgerTransfer& transfer);

  // Decides on a request. After kRun, one of the Finish methods must follow.
  LedgerDecision Begin(const RequestId& id, state::WallMilliseconds wall);

  // The attempt provably did not run the request: the id may be used again.
  void FinishNotRun(const RequestId& id);
  // The attempt was answered. An answer with a body above the limit is not
  // kept; its id is remembered as one that may have run.
  void FinishAnswered(const RequestId& id, StoredAnswer answer);
  // The attempt may have run the request.
  void FinishUnknown(const RequestId& id);

  // Returns the stored answer, or null if none is stored.
  const StoredAnswer* FindAnswer(const RequestId& id) const;

  // Removes ids that are older than the window by more than the clock skew,
  // except ids with an attempt in progress.
  void Prune(state::WallMilliseconds wall);

  std::size_t size() const { return entries_.size(); }

 private:
  // A range that this host is or was granted.
  struct HeldRange {
    state::Grant grant;
    // Holders before this host may have seen ids created before this time.
    state::WallMilliseconds taken_over = 0;
    bool awaits_transfer = false;
  };

  HeldRange* FindTransferTarget(const LedgerTransfer& transfer);
  const HeldRange* FindHeld(state::KeyHash hash) const;
  void Finish(const RequestId& id, LedgerEntryState state, StoredAnswer answer);

  const LedgerLimits limits_;
  std::vector<HeldRange> held_;
  // Ranges that this host has released, newest first. Kept for their takeover
  // times, which Export() returns. Bounded by kMaxReleasedRanges.
  std::deque<HeldRange> released_;
  // By id. Invariant: contains each id that Begin() let run within the window
  // on a range held without interruption since, except ids whose attempts
  // provably did not run.
  std::map<std::string, LedgerEntry> entries_;
  // Creation time and text of each id, in the order of insertion. Prune() scans
  // it for old ids.
  std::deque<std::pair<state::WallMilliseconds, std::string>> creation_times_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_REQUEST_LEDGER_H_
