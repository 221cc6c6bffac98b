// JSON encoding of the messages that entry hosts exchange with each other and
// with backend servers, of the records in the log, and of the platform's host
// list.
//
// Decoders ignore unknown fields, so that hosts of different versions can
// communicate. They return nullopt if a required field is missing or has the
// wrong type.

#ifndef MUSTARDFLOW_PROTOCOL_MESSAGE_CODEC_H_
#define MUSTARDFLOW_PROTOCOL_MESSAGE_CODEC_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/load_sampler.h"
#include "state/config.h"
#include "state/grant.h"
#include "state/host_entry.h"
#include "state/slice_table.h"

namespace mustardflow::protocol {

// A coordinator's route tables and the state of the backend servers as the
// coordinator knows it.
struct RoutesMessage {
  state::RouteTable routes;
  std::vector<state::ServerStatus> servers;
  // Increases within a term with each change of `routes` or `servers`.
  std::uint64_t publication = 0;

  bool NewerThan(const RoutesMessage& other) const {
    if (routes.term != other.routes.term) {
      return routes.term > other.routes.term;
    }
    return publication > other.publication;
  }
};

std::string EncodeOrder(const state::Order& order);
std::optional<state::Order> DecodeOrder(std::string_view text);

std::string EncodeAck(const state::OrderAck& ack);
std::optional<state::OrderAck> DecodeAck(std::string_view text);

std::string EncodeRoutes(const RoutesMessage& message);
std::optional<RoutesMessage> DecodeRoutes(std::string_view text);

std::string EncodeHeartbeat(const state::Heartbeat& heartbeat);
std::optional<state::Heartbeat> DecodeHeartbeat(std::string_view text);

// A host's report on the load of one service.
struct LoadMessage {
  std::string service;
  coordination::LoadReport report;
};

std::string EncodeLoad(const std::string& service,
                       const coordination::LoadReport& report);
std::optional<LoadMessage> DecodeLoad(std::string_view text);

std::string EncodeSnapshot(const state::ConfigSnapshot& snapshot);
std::optional<state::ConfigSnapshot> DecodeSnapshot(std::string_view text);

std::string EncodeRecord(const state::Record& record);
// Also returns nullopt for a record whose service document has findings.
std::optional<state::Record> DecodeRecord(std::string_view text);

// Decodes the platform's host list.
std::optional<std::vector<state::HostEntry>> DecodeHostList(
    std::string_view text);

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_MESSAGE_CODEC_H_
