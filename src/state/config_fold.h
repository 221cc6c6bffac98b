// Folds the records of the log into the configuration in force.

#ifndef MUSTARDFLOW_STATE_CONFIG_FOLD_H_
#define MUSTARDFLOW_STATE_CONFIG_FOLD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "state/config.h"

namespace mustardflow::state {

// Applies records in the order of their offsets. The order of the log resolves
// conflicts between writers, so every host reaches the same state from the same
// records, whichever record or checkpoint it starts from.
class ConfigFold {
 public:
  // Applies the record at `offset`. Records before position() are skipped.
  void Apply(LogOffset offset, const Record& record);

  // Skips and counts the record at `offset`, which could not be decoded.
  void SkipMalformed(LogOffset offset);

  // To be called when the log records before `first` have expired. If
  // position() is below `first`, skips to `first` and buffers the records from
  // there on until a checkpoint arrives.
  void SkipExpiredRecords(LogOffset first);

  // Replaces the state by a newer snapshot from a peer or a checkpoint, then
  // applies the buffered records that follow the snapshot. Ignores a snapshot
  // that is not newer than the state, or that does not cover all records which
  // may have expired unread.
  void Restore(const ConfigSnapshot& snapshot);

  // The next offset to read.
  LogOffset position() const { return read_position_; }
  const ConfigSnapshot& snapshot() const { return snapshot_; }
  // Whether records have expired unread and no checkpoint has been applied
  // since.
  bool waiting_for_checkpoint() const { return waiting_for_checkpoint_; }
  std::uint64_t malformed_records() const { return malformed_records_; }

  // The result of the record with this id, if it is among the latest results.
  std::optional<RecordResult> FindResult(const std::string& id) const;

 private:
  void ApplyInOrder(LogOffset offset, const Record& record);
  RecordResult ApplyBody(Revision revision, const DocumentRecord& record);
  RecordResult ApplyBody(Revision revision, const ZoneRecord& record);
  RecordResult ApplyBody(Revision revision, const HostRecord& record);
  RecordResult ApplyBody(Revision revision, const WitnessRecord& record);
  RecordResult ApplyBody(Revision revision, const CheckpointRecord& record);

  // Invariant: the revision of an item never decreases, and snapshot_.position
  // is not above read_position_.
  ConfigSnapshot snapshot_;
  LogOffset read_position_ = 0;
  // The records before this offset may have expired unread. Only a snapshot
  // that covers all of them ends the wait for a checkpoint.
  LogOffset gap_end_ = 0;
  bool waiting_for_checkpoint_ = false;
  // Records read while waiting for a checkpoint. At most kMaxBufferedRecords.
  std::vector<std::pair<LogOffset, Record>> buffered_records_;
  std::uint64_t malformed_records_ = 0;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_CONFIG_FOLD_H_
