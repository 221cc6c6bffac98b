// Estimates how much work a request of each kind takes, and how fast each
// backend server is.

#ifndef MUSTARDFLOW_ADMISSION_WORK_ESTIMATE_H_
#define MUSTARDFLOW_ADMISSION_WORK_ESTIMATE_H_

#include <map>
#include <optional>
#include <string>
#include <utility>

#include "state/time.h"

namespace mustardflow::admission {

// Keeps the work of each kind of request, in seconds at a server of average
// speed, and the time that each server takes relative to it. A kind is a route
// of one service. Each measured execution refines both: its deviation from the
// expected time is attributed to the kind and to the server.
//
// An estimate that is not refreshed decays: that of a kind to the mean of its
// service, that of a server to 1, and the mean of a service becomes unknown.
class WorkEstimate {
 public:
  // The work of the kind in seconds; for an unknown kind, the mean of the
  // service; nullopt if that is unknown as well.
  std::optional<double> WorkSeconds(state::Instant now,
                                    const std::string& service,
                                    const std::string& route) const;
  // The mean work of the service's recent requests in seconds.
  std::optional<double> MeanSeconds(state::Instant now,
                                    const std::string& service) const;
  // The execution time at the server, relative to that at a server of average
  // speed.
  double RelativeTime(state::Instant now, const std::string& server) const;

  // Records that the server executed a request of the kind for `seconds`,
  // without the wait for a slot and without the slowness that it reported.
  void Record(state::Instant now,
              const std::string& service,
              const std::string& route,
              const std::string& server,
              double seconds);

  // Drops what has not been refreshed for long.
  void Prune(state::Instant now);

 private:
  struct Average {
    double value = 0;
    state::Instant at{};
  };

  // The fraction of the average's weight that is left at `now`.
  static double Confidence(state::Instant now, const Average& average);

  // Adds a value with at least this weight.
  static void Refresh(state::Instant now,
                      double value,
                      double weight,
                      Average* average);

  // By service and route.
  std::map<std::pair<std::string, std::string>, Average> kinds_;
  // By service.
  std::map<std::string, Average> means_;
  // By server id.
  std::map<std::string, Average> servers_;
};

}  // namespace mustardflow::admission

#endif  // MUSTARDFLOW_ADMISSION_WORK_ESTIMATE_H_
