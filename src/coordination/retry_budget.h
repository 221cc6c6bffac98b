// A limit on retries as a fraction of requests.

#ifndef MUSTARDFLOW_COORDINATION_RETRY_BUDGET_H_
#define MUSTARDFLOW_COORDINATION_RETRY_BUDGET_H_

namespace mustardflow::coordination {

// Each request deposits a fraction of a retry; each retry withdraws one. Under
// an outage, retries then add at most that fraction to the load.
class RetryBudget {
 public:
  RetryBudget(double per_request, double maximum)
      : per_request_(per_request), maximum_(maximum), tokens_(maximum) {}

  void Deposit() {
    tokens_ += per_request_;
    if (tokens_ > maximum_) {
      tokens_ = maximum_;
    }
  }

  // Forbids retries until enough requests have been deposited again.
  void Empty() { tokens_ = 0; }

  double left() const { return tokens_; }

  // Returns whether a retry is allowed, and if so counts it.
  bool Withdraw() {
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

 private:
  const double per_request_;
  const double maximum_;
  // Invariant: between 0 and maximum_.
  double tokens_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_RETRY_BUDGET_H_
