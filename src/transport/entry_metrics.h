// The metrics of an entry host on the platform, by prometheus-cpp.

#ifndef MUSTARDFLOW_TRANSPORT_ENTRY_METRICS_H_
#define MUSTARDFLOW_TRANSPORT_ENTRY_METRICS_H_

#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>

#include "state/time.h"

namespace mustardflow::transport {

// Names begin with "mustardflow_"; durations are in seconds.
// docs/operate/metrics.md lists them; a test holds the page against the code.
class EntryMetrics {
 public:
  EntryMetrics();

  // A request of a caller has ended. `outcome` is one of "answered",
  // "refused", "unknown", "timed-out", "failed" and "abandoned".
  void ObserveRequest(const std::string& route,
                      const std::string& outcome,
                      state::Duration duration);

  // Sets a value that is read when the page is asked for. The name has to be in
  // the table of values.
  void Set(const std::string& name, double value);

  // The page in the text format of Prometheus.
  std::string Page() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>& request_seconds_;
  std::map<std::pair<std::string, std::string>, prometheus::Histogram*>
      histograms_;
  std::map<std::string, prometheus::Gauge*> gauges_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_ENTRY_METRICS_H_
