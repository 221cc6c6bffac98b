// A host's part in the limits of organisations, which apply to all hosts
// together.

#ifndef MUSTARDFLOW_ADMISSION_ORGANISATION_LIMITS_H_
#define MUSTARDFLOW_ADMISSION_ORGANISATION_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "admission/organisation_counts.h"
#include "admission/rate_share.h"
#include "state/host_profile.h"
#include "state/routing_config.h"
#include "state/time.h"

namespace mustardflow::admission {

// Decides which requests of limited organisations this host admits, and counts
// them for the leader.
//
// In contact with the leader, a host admits each request with the probability
// that the leader publishes for the organisation, and bounds what a surge can
// send before the leader knows of it. Without contact, it uses an equal share
// of the limit.
class OrganisationLimits {
 public:
  explicit OrganisationLimits(const state::ServiceBounds& bounds)
      : bounds_(bounds) {}

  // Whether the request is admitted, as one of `hosts` hosts. `random` is
  // uniformly distributed in [0, 1). Organisations without a limit are always
  // admitted and not counted.
  bool Admit(state::Instant now,
             const state::Organisation& organisation,
             std::size_t hosts,
             double random);
  // Counts a request that reaches a server once more than admitted.
  void Charge(state::Instant now, std::string_view organisation);
  // Returns a request that was admitted and has not been sent.
  void GiveBack(state::Instant now, std::string_view organisation);

  // Ends the current interval. Returns it and the interval before it.
  OrganisationReport TakeCounts(state::Instant now);
  // Whether some organisation sends so much more than before that the leader
  // should know before the next report is due.
  bool surging() const { return surging_; }

  // A heartbeat of the leader has arrived.
  void HandleLeader(state::Instant now);
  // The fractions in that heartbeat. A new leader sends none until all hosts
  // have reported to it; the former ones remain in force until then.
  void SetFractions(state::Instant now, const OrganisationFractions& fractions);

  // The number of organisations that are kept in memory.
  std::size_t tracked() const { return uses_.size(); }

 private:
  // One organisation's requests at this host.
  struct Use {
    // Not reported yet.
    RequestCount count;
    // The moving average of the requests offered per second, up to `average_at`
    // and without those counted since then.
    double average = 0;
    state::Instant average_at;
    std::int64_t offered_since = 0;
    state::Instant last;
    // This host's equal share of the limit, in requests per second.
    double equal_share = 0;
    // What may still be sent at once before the leader learns of a surge.
    double tokens = 0;
    state::Instant tokens_at;
    // Set while this host uses an equal share.
    std::optional<RateShare> share;
  };
  struct Fraction {
    double value = 1;
    state::Instant at;
  };

  bool InContact(state::Instant now);
  Use& UseOf(state::Instant now, std::string_view organisation);
  double FractionOf(state::Instant now, std::string_view organisation) const;
  // Refills the bucket against surges.
  static void Refill(state::Instant now, Use* use);
  bool AdmitShare(state::Instant now,
                  const state::Organisation& organisation,
                  std::size_t hosts,
                  Use* use) const;
  void UpdateAverages(state::Instant now);

  const state::ServiceBounds& bounds_;
  std::map<std::string, Use, std::less<>> uses_;
  std::map<std::string, Fraction, std::less<>> fractions_;
  std::optional<state::Instant> leader_heard_;
  // Whether fractions have arrived since this host last lost contact.
  bool has_fractions_ = false;
  bool surging_ = false;
  OrganisationReport report_;
};

}  // namespace mustardflow::admission

#endif  // MUSTARDFLOW_ADMISSION_ORGANISATION_LIMITS_H_
