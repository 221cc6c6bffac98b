// Checks the revisions of records, applies checkpoints, and handles expired and
// malformed records.

#include "state/config_fold.h"

#include <algorithm>
#include <array>
#include <set>
#include <string_view>

namespace mustardflow::state {

namespace {

// The maximum number of results that are kept for writers that look up the
// outcome of a record.
constexpr std::size_t kMaxResults = 512;
// Bounds the memory of the buffer. A checkpoint arrives well before this many
// records.
constexpr std::size_t kMaxBufferedRecords = 100'000;

constexpr std::array<std::string_view, 3> kOutcomeNames = {
    "accepted", "conflict", "rejected"};

std::set<std::string> ServerNames(const std::vector<ServerEntry>& servers) {
  std::set<std::string> names;
  for (const ServerEntry& server : servers) {
    names.insert(server.name);
  }
  return names;
}

}  // namespace

std::string_view RecordOutcomeName(RecordOutcome outcome) {
  return kOutcomeNames[static_cast<std::size_t>(outcome)];
}

void ConfigFold::Apply(LogOffset offset, const Record& record) {
  if (offset < read_position_) {
    return;
  }
  read_position_ = offset + 1;
  const auto* checkpoint = std::get_if<CheckpointRecord>(&record.body);
  if (!waiting_for_checkpoint_) {
    ApplyInOrder(offset, record);
    return;
  }
  if (!checkpoint) {
    if (buffered_records_.size() < kMaxBufferedRecords) {
      buffered_records_.emplace_back(offset, record);
    }
    return;
  }
  Restore(checkpoint->snapshot);
}

void ConfigFold::SkipMalformed(LogOffset offset) {
  if (offset < read_position_) {
    return;
  }
  read_position_ = offset + 1;
  ++malformed_records_;
  if (!waiting_for_checkpoint_) {
    snapshot_.position = read_position_;
  }
}

void ConfigFold::SkipExpiredRecords(LogOffset first) {
  if (first <= read_position_) {
    return;
  }
  read_position_ = first;
  gap_end_ = first;
  waiting_for_checkpoint_ = true;
  buffered_records_.clear();
}

void ConfigFold::Restore(const ConfigSnapshot& newer) {
  if (newer.position <= snapshot_.position || newer.position < gap_end_) {
    return;
  }
  snapshot_ = newer;
  read_position_ = std::max(read_position_, newer.position);
  waiting_for_checkpoint_ = false;
  std::vector<std::pair<LogOffset, Record>> records;
  records.swap(buffered_records_);
  for (const auto& [offset, record] : records) {
    if (offset >= snapshot_.position) {
      ApplyInOrder(offset, record);
    }
  }
  // The records between the last buffered record and read_position_ were
  // checkpoints or could not be decoded.
  snapshot_.position = read_position_;
}

std::optional<RecordResult> ConfigFold::FindResult(
    const std::string& id) const {
  const auto found =
      std::find_if(snapshot_.results.rbegin(), snapshot_.results.rend(),
                   [&](const RecordResult& result) { return result.id == id; });
  if (found == snapshot_.results.rend()) {
    return std::nullopt;
  }
  return *found;
}

void ConfigFold::ApplyInOrder(LogOffset offset, const Record& record) {
  snapshot_.position = offset + 1;
  const bool duplicate = FindResult(record.id).has_value();
  if (duplicate) {
    return;
  }
  RecordResult result =
      std::visit([&](const auto& body) { return ApplyBody(offset + 1, body); },
                 record.body);
  if (std::holds_alternative<CheckpointRecord>(record.body)) {
    return;
  }
  result.id = record.id;
  snapshot_.results.push_back(std::move(result));
  if (snapshot_.results.size() > kMaxResults) {
    snapshot_.results.pop_front();
  }
}

RecordResult ConfigFold::ApplyBody(Revision revision,
                                   const DocumentRecord& record) {
  const auto found = snapshot_.services.find(record.document.service);
  const Revision current =
      found == snapshot_.services.end() ? 0 : found->second.revision;
  if (record.base != current) {
    return {"", RecordOutcome::kConflict, current};
  }
  ServiceConfig& config = snapshot_.services[record.document.service];
  const bool same_servers = ServerNames(config.document.servers) ==
                            ServerNames(record.document.servers);
  if (config.revision == 0 || !same_servers) {
    config.witness_revision = revision;
  }
  if (config.revision == 0) {
    config.established_revision = revision;
    config.established_servers = record.document.servers;
  }
  config.revision = revision;
  config.document = record.document;
  config.text = record.text;
  return {"", RecordOutcome::kAccepted, revision};
}

RecordResult ConfigFold::ApplyBody(Revision revision,
                                   const ZoneRecord& record) {
  snapshot_.zones[record.zone] = {revision, record.in_service};
  return {"", RecordOutcome::kAccepted, revision};
}

RecordResult ConfigFold::ApplyBody(Revision revision,
                                   const HostRecord& record) {
  snapshot_.hosts[record.host] = {revision, record.in_service};
  return {"", RecordOutcome::kAccepted, revision};
}

RecordResult ConfigFold::ApplyBody(Revision /*revision*/,
                                   const WitnessRecord& record) {
  const auto found = snapshot_.services.find(record.service);
  if (found == snapshot_.services.end()) {
    return {"", RecordOutcome::kRejected, 0};
  }
  ServiceConfig& config = found->second;
  if (config.witness_revision != record.witness_revision) {
    return {"", RecordOutcome::kConflict, config.witness_revision};
  }
  config.established_revision = record.witness_revision;
  config.established_servers = config.document.servers;
  return {"", RecordOutcome::kAccepted, record.witness_revision};
}

// A checkpoint that is met in order changes nothing: it contains the state that
// the fold already has, or an older one.
RecordResult ConfigFold::ApplyBody(Revision /*revision*/,
                                   const CheckpointRecord& /*record*/) {
  return {"", RecordOutcome::kAccepted, 0};
}

}  // namespace mustardflow::state
