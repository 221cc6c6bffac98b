// The Prometheus metrics of a host.

#ifndef MUSTARDFLOW_TRANSPORT_METRICS_H_
#define MUSTARDFLOW_TRANSPORT_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

#include "state/time.h"

namespace mustardflow::transport {

// Registers and updates all metrics of a host. The names begin with
// "mustardflow_"; durations are in seconds. Thread-safe.
class Metrics {
 public:
  Metrics();

  // Counts a caller's request that has ended. `outcome` is "answered",
  // "not-run" or "unknown".
  void CountRequest(const std::string& service,
                    const std::string& request_class,
                    const std::string& outcome,
                    state::Duration duration);
  void CountRetry(const std::string& service);
  void CountHedge(const std::string& service);
  // Counts a request that was refused before it was classified, for example
  // because it was malformed.
  void CountBadRequest(const std::string& reason);
  // Sets the share of the key space with an acknowledged owner, from 0 to 1.
  void SetOwnedShare(const std::string& service, double share);
  // Adds `count` to the counter of malformed log records.
  void CountMalformedRecords(double count);
  // Sets the next log offset to read.
  void SetLogPosition(double position);

  // Returns all metrics in the text format of Prometheus.
  std::string Page() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>& request_seconds_;
  prometheus::Family<prometheus::Counter>& requests_;
  prometheus::Family<prometheus::Counter>& retries_;
  prometheus::Family<prometheus::Counter>& hedges_;
  prometheus::Family<prometheus::Counter>& bad_requests_;
  prometheus::Family<prometheus::Gauge>& owned_share_;
  prometheus::Family<prometheus::Counter>& malformed_records_;
  prometheus::Family<prometheus::Gauge>& log_position_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_METRICS_H_
