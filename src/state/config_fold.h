// The fold of the log's records into the configuration in force.

#ifndef MUSTARDFLOW_STATE_CONFIG_FOLD_H_
#define MUSTARDFLOW_STATE_CONFIG_FOLD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "state/config.h"

namespace mustardflow::state {

// Folds records in the order of their offsets. The log's order decides between
// writers: every host reaches the same state from the same records, whatever
// record or checkpoint it starts from.
class ConfigFold {
 public:
  // Applies the record at `offset`. Records before position() are skipped.
  void Apply(LogOffset offset, const Record& record);

  // Skips the record at `offset`, which could not be read.
  void SkipMalformed(LogOffset offset);

  // Says that the records before `first` have expired. Unless position() has
  // passed them, records wait for a checkpoint.
  void SkipExpiredRecords(LogOffset first);

  // Takes over a newer state, from a peer or a checkpoint.
  void Restore(const ConfigSnapshot& snapshot);

  // The next offset to read.
  LogOffset position() const { return read_position_; }
  const ConfigSnapshot& snapshot() const { return snapshot_; }
  // Whether earlier records are missing and no checkpoint has been met.
  bool waiting_for_checkpoint() const { return waiting_for_checkpoint_; }
  std::uint64_t malformed_records() const { return malformed_records_; }

  // The result of the record with this id, if it is among the latest.
  std::optional<RecordResult> FindResult(const std::string& id) const;

 private:
  void ApplyInOrder(LogOffset offset, const Record& record);
  RecordResult ApplyBody(Revision revision, const DocumentRecord& record);
  RecordResult ApplyBody(Revision revision, const ZoneRecord& record);
  RecordResult ApplyBody(Revision revision, const HostRecord& record);
  RecordResult ApplyBody(Revision revision, const WitnessRecord& record);
  RecordResult ApplyBody(Revision revision, const CheckpointRecord& record);

  // Invariant: no item's revision ever decreases, and snapshot_.position is not
  // above read_position_.
  ConfigSnapshot snapshot_;
  LogOffset read_position_ = 0;
  // A state is complete only if it covers all records before this offset.
  LogOffset gap_end_ = 0;
  bool waiting_for_checkpoint_ = false;
  // Records read while waiting for a checkpoint. Bounded.
  std::vector<std::pair<LogOffset, Record>> buffered_records_;
  std::uint64_t malformed_records_ = 0;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_CONFIG_FOLD_H_
