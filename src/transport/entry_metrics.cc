// Names, help texts and buckets of the metrics.

#include "transport/entry_metrics.h"

#include <prometheus/text_serializer.h>

#include <array>
#include <utility>

namespace mustardflow::transport {

namespace {

// Upper bounds of the buckets, in seconds.
const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.75, 1, 2, 5};
  return buckets;
}

using NameAndHelp = std::pair<const char*, const char*>;

constexpr std::array<NameAndHelp, 17> kGauges = {{
    {"mustardflow_requests_under_way", "Requests that have no answer yet."},
    {"mustardflow_oldest_request_seconds", "Age of the oldest of them."},
    {"mustardflow_waiting_for_owner", "Requests whose key has no server."},
    {"mustardflow_waiting_for_capacity",
     "Requests that wait at this host until their server has capacity."},
    {"mustardflow_repeats_left", "Repeats left in the smallest budget."},
    {"mustardflow_crashing_requests",
     "Requests that are refused because they crash backend servers."},
    {"mustardflow_store_silence_seconds",
     "Time since the store last answered while it was asked."},
    {"mustardflow_servers_blocked",
     "Backend servers without a connection at present."},
    {"mustardflow_servers_doubtful",
     "Backend servers whose entry is missing but may come back."},
    {"mustardflow_servers_cold", "Backend servers that are cold."},
    {"mustardflow_servers_limited",
     "Backend servers that limit the requests per second."},
    {"mustardflow_servers_leaving",
     "Backend servers that announce in their answers that they leave."},
    {"mustardflow_servers_paused",
     "Backend servers that want no requests from this host at present."},
    {"mustardflow_memory_account_bytes",
     "Memory that requests and answers hold."},
    {"mustardflow_memory_account_limit_bytes", "The most that they may hold."},
    {"mustardflow_leading", "1 if this host leads."},
    {"mustardflow_leader_silence_seconds",
     "Time since the leader was last heard; 0 at the leader."},
}};

// Set from counts that other components keep.
constexpr std::array<NameAndHelp, 7> kCounters = {{
    {"mustardflow_repeats_total", "Requests sent to a server once more."},
    {"mustardflow_crashing_requests_refused_total",
     "Requests refused because they crash backend servers."},
    {"mustardflow_store_calls_total", "Calls to the platform's store."},
    {"mustardflow_server_connections_total",
     "Connections opened to backend servers."},
    {"mustardflow_transfers_ended_total",
     "Transfers of callers ended to free memory."},
    {"mustardflow_entries_unreadable_total",
     "Entries in the store that name no server."},
    {"mustardflow_log_lines_suppressed_total",
     "Log lines beyond the budget of their event."},
}};

}  // namespace

EntryMetrics::EntryMetrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      request_seconds_(prometheus::BuildHistogram()
                           .Name("mustardflow_request_seconds")
                           .Help("Time from a request's arrival to its end.")
                           .Register(*registry_)),
      answers_(prometheus::BuildCounter()
                   .Name("mustardflow_answers_total")
                   .Help("Final answers to callers.")
                   .Register(*registry_)),
      callers_left_(prometheus::BuildCounter()
                        .Name("mustardflow_callers_left_total")
                        .Help("Requests whose callers left.")
                        .Register(*registry_)),
      organisation_requests_(
          prometheus::BuildCounter()
              .Name("mustardflow_organisation_requests_total")
              .Help("Requests of organisations that have a limit.")
              .Register(*registry_)) {
  for (const auto& [name, help] : kGauges) {
    gauges_[name] = &prometheus::BuildGauge()
                         .Name(name)
                         .Help(help)
                         .Register(*registry_)
                         .Add({});
  }
  for (const auto& [name, help] : kCounters) {
    counters_[name] = &prometheus::BuildCounter()
                           .Name(name)
                           .Help(help)
                           .Register(*registry_)
                           .Add({});
  }
}

void EntryMetrics::ObserveRequest(const std::string& route,
                                  const std::string& outcome,
                                  state::Duration duration) {
  const std::pair key(route, outcome);
  auto found = histograms_.find(key);
  if (found == histograms_.end()) {
    found = histograms_
                .emplace(key, &request_seconds_.Add(
                                  {{"route", route}, {"outcome", outcome}},
                                  LatencyBuckets()))
                .first;
  }
  found->second->Observe(std::chrono::duration<double>(duration).count());
}

void EntryMetrics::CountAnswer(int status,
                               std::string_view origin,
                               std::string_view reason) {
  const std::tuple key(status, std::string(origin), std::string(reason));
  auto found = answer_counters_.find(key);
  if (found == answer_counters_.end()) {
    found = answer_counters_
                .emplace(key, &answers_.Add({{"status", std::to_string(status)},
                                             {"origin", std::get<1>(key)},
                                             {"reason", std::get<2>(key)}}))
                .first;
  }
  found->second->Increment();
}

void EntryMetrics::CountCallerLeft(std::string_view place, bool continues) {
  const std::pair key(std::string(place), continues);
  auto found = left_counters_.find(key);
  if (found == left_counters_.end()) {
    found = left_counters_
                .emplace(key, &callers_left_.Add(
                                  {{"place", key.first},
                                   {"continues", continues ? "yes" : "no"}}))
                .first;
  }
  found->second->Increment();
}

void EntryMetrics::CountOrganisationRequest(std::string_view organisation,
                                            bool admitted) {
  const std::pair key(std::string(organisation), admitted);
  auto found = organisation_counters_.find(key);
  if (found == organisation_counters_.end()) {
    found =
        organisation_counters_
            .emplace(key,
                     &organisation_requests_.Add(
                         {{"organisation", key.first},
                          {"outcome", admitted ? "admitted" : "over-limit"}}))
            .first;
  }
  found->second->Increment();
}

void EntryMetrics::Set(const std::string& name, double value) {
  if (const auto counter = counters_.find(name); counter != counters_.end()) {
    counter->second->Increment(value - counter->second->Value());
    return;
  }
  gauges_.at(name)->Set(value);
}

std::string EntryMetrics::Page() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace mustardflow::transport
