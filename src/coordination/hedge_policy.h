// Decides when a slow request gets a second, hedged attempt.

#ifndef MUSTARDFLOW_COORDINATION_HEDGE_POLICY_H_
#define MUSTARDFLOW_COORDINATION_HEDGE_POLICY_H_

#include <map>
#include <string>

#include "coordination/retry_budget.h"
#include "state/time.h"

namespace mustardflow::coordination {

// Allows a second attempt of an idempotent request whose first attempt takes
// longer than most requests of its class. A budget limits the load that hedges
// add to a fixed fraction of the requests.
class HedgePolicy {
 public:
  HedgePolicy();

  // Records how long an attempt of the class took, and credits the budget.
  void RecordDuration(const std::string& request_class,
                      state::Duration duration);

  // Records that a request was refused for lack of capacity. Hedges would add
  // to the overload, so none is sent until the budget has refilled.
  void RecordRefusal() { budget_.Empty(); }

  // How long to wait for the first attempt before a hedge is sent: the
  // estimated 95th percentile of the durations of the class.
  state::Duration Delay(const std::string& request_class) const;

  // Returns whether a hedge may be sent now, and charges the budget if so.
  bool Withdraw() { return budget_.Withdraw(); }

 private:
  RetryBudget budget_;
  // Estimated 95th percentile of the durations, in microseconds, by class.
  std::map<std::string, double> estimates_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_HEDGE_POLICY_H_
