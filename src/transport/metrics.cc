// Implements the registration and the updates of the metrics.

#include "transport/metrics.h"

#include <prometheus/text_serializer.h>

namespace mustardflow::transport {

namespace {

// Upper bounds of the latency histogram, in seconds.
const prometheus::Histogram::BucketBoundaries& LatencyBuckets() {
  static const prometheus::Histogram::BucketBoundaries buckets = {
      0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
      0.1,    0.2,   0.5,   1,     2,    5,    10};
  return buckets;
}

}  // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>()),
      request_seconds_(
          prometheus::BuildHistogram()
              .Name("mustardflow_request_seconds")
              .Help("Time from a request's arrival to the end of its answer.")
              .Register(*registry_)),
      requests_(prometheus::BuildCounter()
                    .Name("mustardflow_requests_total")
                    .Help("Requests of callers by outcome.")
                    .Register(*registry_)),
      retries_(prometheus::BuildCounter()
                   .Name("mustardflow_retries_total")
                   .Help("Attempts after the first one.")
                   .Register(*registry_)),
      hedges_(prometheus::BuildCounter()
                  .Name("mustardflow_hedges_total")
                  .Help("Second attempts beside slow first ones.")
                  .Register(*registry_)),
      bad_requests_(prometheus::BuildCounter()
                        .Name("mustardflow_bad_requests_total")
                        .Help("Requests refused before they had a class.")
                        .Register(*registry_)),
      owned_share_(
          prometheus::BuildGauge()
              .Name("mustardflow_owned_share")
              .Help("Share of the key space with an acknowledged owner.")
              .Register(*registry_)),
      malformed_records_(prometheus::BuildCounter()
                             .Name("mustardflow_malformed_records_total")
                             .Help("Log records that could not be read.")
                             .Register(*registry_)),
      log_position_(prometheus::BuildGauge()
                        .Name("mustardflow_log_position")
                        .Help("The next log offset to read.")
                        .Register(*registry_)) {}

void Metrics::CountRequest(const std::string& service,
                           const std::string& request_class,
                           const std::string& outcome,
                           state::Duration duration) {
  const double seconds = std::chrono::duration<double>(duration).count();
  request_seconds_
      .Add({{"service", service}, {"class", request_class}}, LatencyBuckets())
      .Observe(seconds);
  requests_
      .Add({{"service", service},
            {"class", request_class},
            {"outcome", outcome}})
      .Increment();
}

void Metrics::CountRetry(const std::string& service) {
  retries_.Add({{"service", service}}).Increment();
}

void Metrics::CountHedge(const std::string& service) {
  hedges_.Add({{"service", service}}).Increment();
}

void Metrics::CountBadRequest(const std::string& reason) {
  bad_requests_.Add({{"reason", reason}}).Increment();
}

void Metrics::SetOwnedShare(const std::string& service, double share) {
  owned_share_.Add({{"service", service}}).Set(share);
}

void Metrics::CountMalformedRecords(double count) {
  malformed_records_.Add({}).Increment(count);
}

void Metrics::SetLogPosition(double position) {
  log_position_.Add({}).Set(position);
}

std::string Metrics::Page() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace mustardflow::transport
