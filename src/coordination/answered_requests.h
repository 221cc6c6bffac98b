// Remembers which requests have been answered by a backend server lately.

#ifndef MUSTARDFLOW_COORDINATION_ANSWERED_REQUESTS_H_
#define MUSTARDFLOW_COORDINATION_ANSWERED_REQUESTS_H_

#include <array>
#include <optional>
#include <vector>

#include "coordination/crash_report.h"
#include "state/time.h"

namespace mustardflow::coordination {

// A table of fixed size, in which a later answer replaces the older one of two.
// An answer may thus be forgotten early, but none is ever made up.
class AnsweredRequests {
 public:
  AnsweredRequests();

  void Record(state::Instant now, RequestFingerprint request);
  // When the request was last answered, if that is still known.
  std::optional<state::Instant> LastAnswer(RequestFingerprint request) const;

 private:
  struct Answer {
    RequestFingerprint request = 0;
    state::Instant at{};
  };
  // The two places of a request.
  using Bucket = std::array<Answer, 2>;

  std::vector<Bucket> buckets_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_ANSWERED_REQUESTS_H_
