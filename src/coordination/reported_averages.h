// Averages of a quantity that several hosts measure and report to the leader.

#ifndef MUSTARDFLOW_COORDINATION_REPORTED_AVERAGES_H_
#define MUSTARDFLOW_COORDINATION_REPORTED_AVERAGES_H_

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "state/time.h"

namespace mustardflow::coordination {

// For each subject, such as a server or a service, the mean over the hosts that
// have reported it lately.
class ReportedAverages {
 public:
  void Record(state::Instant now,
              const std::string& subject,
              const std::string& host,
              double value);
  // Nullopt if no host has reported the subject lately.
  std::optional<double> Mean(state::Instant now, const std::string& subject);
  // Forgets the subjects for which `forgotten` holds.
  void Prune(const std::function<bool(const std::string&)>& forgotten);

 private:
  struct Average {
    // Exponential moving average of one host's reports.
    double value = 0;
    state::Instant updated_at{};
  };

  // By subject and host.
  std::map<std::string, std::map<std::string, Average>> averages_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_REPORTED_AVERAGES_H_
