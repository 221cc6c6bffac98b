// When a second attempt is sent beside a slow one.

#ifndef MUSTARDFLOW_COORDINATION_HEDGE_POLICY_H_
#define MUSTARDFLOW_COORDINATION_HEDGE_POLICY_H_

#include <map>
#include <string>

#include "coordination/retry_budget.h"
#include "state/time.h"

namespace mustardflow::coordination {

// Hedges idempotent requests that take longer than most of their class. A
// budget bounds the load that this adds to a fixed fraction of the requests.
class HedgePolicy {
 public:
  HedgePolicy();

  // Notes how long an attempt of the class took.
  void RecordDuration(const std::string& request_class,
                      state::Duration duration);

  // Notes that a request was refused for want of capacity. Hedges would make
  // that worse and stop for a while.
  void RecordRefusal() { budget_.Empty(); }

  // How long to wait for the first attempt: an estimate of the class's 95th
  // percentile.
  state::Duration Delay(const std::string& request_class) const;

  // Whether a second attempt may be sent now; if so it is counted.
  bool Withdraw() { return budget_.Withdraw(); }

 private:
  RetryBudget budget_;
  // Estimates of the 95th percentile in microseconds, by class.
  std::map<std::string, double> estimates_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_HEDGE_POLICY_H_
