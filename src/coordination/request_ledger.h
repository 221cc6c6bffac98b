// The memory of request ids that keeps a resent request from running twice.

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

// A request id that carries its creation time: a UUID of version 7.
struct RequestId {
  // In canonical form: lower case, with dashes.
  std::string text;
  state::WallMilliseconds created = 0;

  state::KeyHash hash() const { return state::HashKey(text); }
};

// Parses a UUID of version 7. Returns nothing for other text.
std::optional<RequestId> ParseRequestId(std::string_view text);

// What the ledger says to a request with an id.
enum class LedgerDecision {
  // The id is new here and provably was not seen by an earlier holder.
  kRun,
  // An attempt with this id is in progress.
  kInProgress,
  // An attempt with this id has ended; its stored answer is the answer.
  kAnswered,
  // An attempt with this id has ended and may have run.
  kMayHaveRun,
  // The earlier holder's memory is on its way; ask again soon.
  kWait,
  // The id may have been seen by an earlier holder of the duty.
  kEarlierUnknown,
  // The id's creation time lies too far in the future.
  kCreatedInFuture,
};

// An answer that is kept for resent requests.
struct StoredAnswer {
  int status = 0;
  std::string content_type;
  std::string body;
};

// What has become of an id.
enum class LedgerEntryState {
  kInProgress,
  kAnswered,
  kMayHaveRun,
};

struct LedgerEntry {
  LedgerEntryState state = LedgerEntryState::kInProgress;
  state::WallMilliseconds created = 0;
  StoredAnswer answer;
};

// The memory of a range, as its holder hands it to the next one.
struct LedgerExport {
  // Ids created before this time may have been seen by still earlier holders.
  state::WallMilliseconds taken_over = 0;
  std::map<std::string, LedgerEntry> entries;
};

// A range whose former holder should be asked for its memory.
struct LedgerTransfer {
  state::KeyRange range;
  state::Fence fence;
  state::Predecessor predecessor;
};

struct LedgerLimits {
  // Ids are remembered for this long after their creation; older ones are
  // refused.
  std::uint64_t window_ms = 600'000;
  // How far ahead of a host's clock a caller's clock may be.
  std::uint64_t max_caller_clock_lead_ms = 1000;
  // The largest difference between the wall clocks of two hosts.
  std::uint64_t max_host_clock_skew_ms = 100;
  // Ids remembered at the same time. When full, new ids are refused.
  std::size_t max_entries = 1'000'000;
  // The largest answer body that is kept.
  std::size_t max_stored_body_bytes = 16 << 10;
};

// Remembers the ids whose hashes this host is granted. A host that takes a
// range over gets the memory of the former holder, if that has given the range
// up. Otherwise it refuses ids that were created before, since the former
// holder may have run them.
class RequestLedger {
 public:
  explicit RequestLedger(const LedgerLimits& limits);

  // Notes what the host is granted at `wall`. A range under a new fence counts
  // as taken over at that time. Returns the transfers to be made; each must be
  // ended by Import() or AbandonTransfer().
  std::vector<LedgerTransfer> SetGrants(const std::vector<state::Grant>& grants,
                                        state::WallMilliseconds wall);

  // The memory of `range`, which this host must have given up.
  LedgerExport Export(const state::KeyRange& range) const;

  // Takes over the memory of the former holder.
  void Import(const LedgerTransfer& transfer, LedgerExport memory);

  // Gives up waiting for the former holder.
  void AbandonTransfer(const LedgerTransfer& transfer);

  // Decides on a request. After kRun, one of the Finish methods must follow.
  LedgerDecision Begin(const RequestId& id, state::WallMilliseconds wall);

  // The attempt provably did not run: the id may be used again.
  void FinishNotRun(const RequestId& id);
  // The attempt was answered. Large bodies are not kept; the id is then
  // remembered as run.
  void FinishAnswered(const RequestId& id, StoredAnswer answer);
  void FinishUnknown(const RequestId& id);

  const StoredAnswer* FindAnswer(const RequestId& id) const;

  // Forgets ids that are older than the window.
  void Prune(state::WallMilliseconds wall);

  std::size_t size() const { return entries_.size(); }

 private:
  struct HeldRange {
    state::Grant grant;
    state::WallMilliseconds taken_over = 0;
    bool awaits_transfer = false;
  };

  HeldRange* FindTransferTarget(const LedgerTransfer& transfer);
  const HeldRange* FindHeld(state::KeyHash hash) const;
  void Finish(const RequestId& id, LedgerEntryState state, StoredAnswer answer);

  const LedgerLimits limits_;
  std::vector<HeldRange> held_;
  // When ranges that this host has given up had been taken over. Bounded.
  std::deque<HeldRange> released_;
  // Invariant: holds each id begun within the window on a range that has been
  // held since, except those that were proven not run.
  std::map<std::string, LedgerEntry> entries_;
  // Ids by creation time, to prune in order.
  std::deque<std::pair<state::WallMilliseconds, std::string>> creation_times_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_REQUEST_LEDGER_H_
