// The Prometheus metrics of an entry host on the platform.

#ifndef MUSTARDFLOW_TRANSPORT_ENTRY_METRICS_H_
#define MUSTARDFLOW_TRANSPORT_ENTRY_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

#include "state/time.h"

namespace mustardflow::transport {

// Names begin with "mustardflow_"; durations are in seconds.
// docs/operate/metrics.md lists the metrics; a test compares that page with the
// code.
class EntryMetrics {
 public:
  EntryMetrics();

  // Records the duration of a caller's request that has ended. `outcome` is one
  // of "answered", "refused", "unknown", "timed-out", "failed", "abandoned",
  // and for forwarded requests "unreadable".
  void ObserveRequest(const std::string& route,
                      const std::string& outcome,
                      state::Duration duration);

  // Counts a final answer to a caller. `origin` tells who made it: "server",
  // "unsigned" for a server's answer without its signature, or "host". `reason`
  // is why a host made it, as in the log; empty for answers of servers.
  void CountAnswer(int status,
                   std::string_view origin,
                   std::string_view reason);

  // Counts a request whose caller left before the final answer. `place` tells
  // where the request was, as in the log.
  void CountCallerLeft(std::string_view place, bool continues);

  // Counts a request of an organisation that has a limit. `organisation` is its
  // name, or "other" for all but the largest.
  void CountOrganisationRequest(std::string_view organisation, bool admitted);

  // Sets a gauge or a counter, which must not decrease. Throws
  // std::out_of_range for a name that is neither.
  void Set(const std::string& name, double value);

  // Returns all metrics in the text format of Prometheus.
  std::string Page() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
  prometheus::Family<prometheus::Histogram>& request_seconds_;
  // By route and outcome. The registry owns the metrics.
  std::map<std::pair<std::string, std::string>, prometheus::Histogram*>
      histograms_;
  prometheus::Family<prometheus::Counter>& answers_;
  // By status, origin and reason.
  std::map<std::tuple<int, std::string, std::string>, prometheus::Counter*>
      answer_counters_;
  prometheus::Family<prometheus::Counter>& callers_left_;
  // By place and whether the request continues.
  std::map<std::pair<std::string, bool>, prometheus::Counter*> left_counters_;
  prometheus::Family<prometheus::Counter>& organisation_requests_;
  // By organisation and whether the requests were admitted.
  std::map<std::pair<std::string, bool>, prometheus::Counter*>
      organisation_counters_;
  std::map<std::string, prometheus::Gauge*> gauges_;
  std::map<std::string, prometheus::Counter*> counters_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_ENTRY_METRICS_H_
