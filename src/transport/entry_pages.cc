// Builds the JSON pages from the state of the host.

#include "transport/entry_pages.h"

#include <boost/json.hpp>
#include <charconv>
#include <utility>

namespace mustardflow::transport {

namespace json = boost::json;

namespace {

// Returns the value of the field "standing" of a server. If several apply, the
// first in this order: gone, draining, evacuated, unreachable, entry missing,
// cold.
std::string_view ServerStatus(
    const coordination::ServerPool& pool,
    const coordination::ServerPool::ServerState& server,
    state::Instant now) {
  if (server.gone) {
    return "gone";
  }
  if (server.record.draining) {
    return "draining";
  }
  if (server.announced.leaving_since()) {
    return "leaving";
  }
  if (pool.IsOutOfService(server)) {
    return "evacuated";
  }
  if (now < server.blocked_until) {
    return "unreachable";
  }
  if (server.unconfirmed) {
    return "entry-missing";
  }
  return pool.IsCold(now, server) ? "cold" : "ready";
}

HttpReply JsonReply(int status, const json::value& value) {
  HttpReply reply;
  reply.status = status;
  reply.body = json::serialize(value) + "\n";
  return reply;
}

}  // namespace

HttpReply EntryPages::Status(state::Instant now) const {
  json::object servers;
  for (const auto& [id, server] : pool_.servers()) {
    servers[id] =
        json::object{{"service", server.record.service},
                     {"zone", server.record.zone},
                     {"standing", ServerStatus(pool_, server, now)},
                     {"requests", server.in_flight.size()},
                     {"relative_latency", pool_.RelativeLatency(now, server)}};
  }
  json::object ranges;
  for (const auto& [service, list] : view_.table.services) {
    json::array rows;
    for (const state::OwnedRange& range : list) {
      rows.push_back(json::array{range.first, range.last, range.holder.id,
                                 range.fence, range.serving});
    }
    ranges[service] = std::move(rows);
  }
  return JsonReply(
      200, json::object{{"host", profile_.name},
                        {"zone", profile_.zone},
                        {"config", view_.config ? view_.config->version() : 0},
                        {"hosts", view_.hosts},
                        {"leading", leader_.leading()},
                        {"term", leader_.term()},
                        {"hears_leader", !leader_.lost_contact(now)},
                        {"table_term", view_.table.term},
                        {"table_revision", view_.table.revision},
                        {"servers", std::move(servers)},
                        {"ranges", std::move(ranges)}});
}

HttpReply EntryPages::Owner(state::Instant now,
                            const HttpRequest& request) const {
  const auto service = request.query.find("service");
  const auto key_text = request.query.find("key");
  std::int32_t key = -1;
  if (key_text != request.query.end()) {
    const std::string& text = key_text->second;
    std::from_chars(text.data(), text.data() + text.size(), key);
  }
  if (service == request.query.end() || key < 0 ||
      key >= state::kShardKeyCount) {
    return JsonReply(
        400, json::object{{"problem", "no service or no key"},
                          {"remedy", "give ?service=NAME&key=0..65535"}});
  }
  const auto ranges = view_.table.services.find(service->second);
  const state::OwnedRange* range =
      ranges == view_.table.services.end()
          ? nullptr
          : state::FindRange(ranges->second, static_cast<state::ShardKey>(key));
  if (range == nullptr) {
    return JsonReply(404, json::object{{"problem", "no range is known"},
                                       {"remedy", "see /v1/platform/status"}});
  }
  const auto server = pool_.servers().find(range->holder.id);
  return JsonReply(
      200,
      json::object{{"service", service->second},
                   {"key", key},
                   {"first", range->first},
                   {"last", range->last},
                   {"server", range->holder.id},
                   {"fence", range->fence},
                   {"serving", range->serving},
                   {"standing", server == pool_.servers().end()
                                    ? std::string_view("unknown")
                                    : ServerStatus(pool_, server->second, now)},
                   {"term", view_.table.term},
                   {"revision", view_.table.revision}});
}

}  // namespace mustardflow::transport
