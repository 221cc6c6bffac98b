// Limits retries to a fraction of the requests.

#ifndef MUSTARDFLOW_COORDINATION_RETRY_BUDGET_H_
#define MUSTARDFLOW_COORDINATION_RETRY_BUDGET_H_

namespace mustardflow::coordination {

// A token bucket. Each request deposits a fraction of a token, and each retry
// withdraws one token. In an outage, retries therefore add at most that
// fraction to the load, once the saved tokens are used up.
class RetryBudget {
 public:
  // `per_request`: the tokens that a request deposits. `maximum`: the capacity
  // of the bucket, which is full at first.
  RetryBudget(double per_request, double maximum)
      : per_request_(per_request), maximum_(maximum), tokens_(maximum) {}

  // Counts a request.
  void Deposit() {
    tokens_ += per_request_;
    if (tokens_ > maximum_) {
      tokens_ = maximum_;
    }
  }

  // Forbids retries until enough requests have been deposited again.
  void Empty() { tokens_ = 0; }

  // The tokens that are left.
  double left() const { return tokens_; }

  // Whether a retry is allowed.
  bool CanWithdraw() const { return tokens_ >= 1; }

  // Returns whether a retry is allowed, and withdraws a token if so.
  bool Withdraw() {
    if (!CanWithdraw()) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  // Puts the token of a retry that has not reached a server back.
  void Refund() {
    tokens_ += 1;
    if (tokens_ > maximum_) {
      tokens_ = maximum_;
    }
  }

 private:
  const double per_request_;
  const double maximum_;
  // Invariant: between 0 and maximum_.
  double tokens_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_RETRY_BUDGET_H_
