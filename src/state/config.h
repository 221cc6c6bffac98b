// The configuration in force: service documents, and whether zones and hosts
// are in service.

#ifndef MUSTARDFLOW_STATE_CONFIG_H_
#define MUSTARDFLOW_STATE_CONFIG_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "state/document.h"

namespace mustardflow::state {

// An offset in the platform's log.
using LogOffset = std::uint64_t;

// The version of a configuration item: one more than the offset of the log
// record that wrote the item, or 0 if no record has written it.
using Revision = std::uint64_t;

// The configuration of one service.
struct ServiceConfig {
  Revision revision = 0;
  ServiceDocument document;
  // The document's text as published.
  std::string text;
  // The revision that last changed the set of backend servers. These servers
  // are the witnesses of the service: a coordinator needs the answers of a
  // majority of them.
  Revision witness_revision = 0;
  // The newest set of backend servers with which a coordinator has established
  // itself. While this set differs from the document's, coordinators need
  // majorities in both sets.
  Revision established_revision = 0;
  std::vector<ServerEntry> established_servers;

  bool operator==(const ServiceConfig&) const = default;
};

// Whether a zone or a host is in service.
struct InServiceState {
  Revision revision = 0;
  bool in_service = true;

  bool operator==(const InServiceState&) const = default;
};

// The result of applying a record.
enum class RecordOutcome {
  kAccepted,
  // The record is based on a revision other than the current one.
  kConflict,
  // The record is invalid in the current state, such as one that names an
  // unknown service.
  kRejected,
};

std::string_view RecordOutcomeName(RecordOutcome outcome);

// The outcome of a record, kept for a writer that did not receive the log's
// reply.
struct RecordResult {
  std::string id;
  RecordOutcome outcome = RecordOutcome::kAccepted;
  // The current revision of the item after the record.
  Revision revision = 0;

  bool operator==(const RecordResult&) const = default;
};

// The state after all records before `position` have been applied.
struct ConfigSnapshot {
  LogOffset position = 0;
  std::map<std::string, ServiceConfig> services;
  std::map<std::string, InServiceState> zones;
  std::map<std::string, InServiceState> hosts;
  // The latest results, oldest first. The number of results is bounded.
  std::deque<RecordResult> results;

  bool operator==(const ConfigSnapshot&) const = default;
};

// Publishes a document that is based on revision `base`.
struct DocumentRecord {
  Revision base = 0;
  ServiceDocument document;
  std::string text;
};

// Takes a zone out of service or puts it back into service.
struct ZoneRecord {
  std::string zone;
  bool in_service = true;
};

// Takes a host out of service or puts it back into service.
struct HostRecord {
  std::string host;
  bool in_service = true;
};

// Announces that a coordinator has established itself with the witnesses of
// `witness_revision`.
struct WitnessRecord {
  std::string service;
  Revision witness_revision = 0;
};

// Contains the whole state, so that earlier records may expire.
struct CheckpointRecord {
  ConfigSnapshot snapshot;
};

using RecordBody = std::variant<DocumentRecord,
                                ZoneRecord,
                                HostRecord,
                                WitnessRecord,
                                CheckpointRecord>;

// One record of the configuration stream.
struct Record {
  // Unique per record. A retried append carries the same id, so the record
  // takes effect once.
  std::string id;
  RecordBody body;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_CONFIG_H_
