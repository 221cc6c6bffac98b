// The leader's part in the limits of organisations.

#ifndef MUSTARDFLOW_ADMISSION_ORGANISATION_DEMAND_H_
#define MUSTARDFLOW_ADMISSION_ORGANISATION_DEMAND_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "admission/organisation_counts.h"
#include "state/host_profile.h"
#include "state/routing_config.h"
#include "state/time.h"

namespace mustardflow::admission {

// A fraction that has begun, changed much, or ended.
struct FractionChange {
  std::string organisation;
  double fraction = 1;
  // Requests per second: what is offered, and the limit.
  double demand = 0;
  double limit = 0;
  // The level of the organisation's bucket; negative for a debt.
  double level = 0;
};

// Adds up what the hosts report of each organisation, and decides which
// fraction of its requests the hosts admit.
class OrganisationDemand {
 public:
  explicit OrganisationDemand(const state::ServiceBounds& bounds)
      : bounds_(bounds) {}

  // A term begins. All buckets are empty, so that a change of leader grants no
  // second burst.
  void Begin(state::Instant now);
  // Handles the report of a host that follows this leader.
  void Record(state::Instant now,
              const std::string& host,
              const OrganisationReport& report);
  // Returns the fractions for the next heartbeat to `hosts` hosts; nullopt
  // while hosts may not have reported in this term.
  std::optional<OrganisationFractions> Update(
      state::Instant now,
      const state::RoutingConfig& config,
      std::size_t hosts);
  // Returns the changes since the last call.
  std::vector<FractionChange> TakeChanges() {
    return std::exchange(changes_, {});
  }

  // The number of organisations that are kept in memory.
  std::size_t tracked() const { return entries_.size(); }

 private:
  struct Entry {
    // Requests offered since the last Update() and between the two before.
    std::int64_t offered = 0;
    std::int64_t previous_offered = 0;
    std::int64_t admitted = 0;
    // The moving average of the requests offered per second.
    double demand = 0;
    // The level of the token bucket at the last Update(); nullopt before the
    // first.
    std::optional<double> level;
    double fraction = 1;
    double logged_fraction = 1;
    // When the fraction was last sent.
    state::Instant named{};
    // Until when hosts are told that the fraction is 1 again.
    state::Instant named_until{};
  };
  struct Host {
    std::int64_t sequence = 0;
    std::int64_t interval = 0;
    state::Instant heard;
  };

  // The part of each limit that is kept for hosts that have stopped reporting.
  double SilentShare(state::Instant now, std::size_t hosts);
  void UpdateEntry(state::Instant now,
                   const state::Organisation& organisation,
                   double silent_share,
                   Entry* entry);
  void RecordChange(const state::Organisation& organisation, Entry* entry);

  const state::ServiceBounds& bounds_;
  state::Instant begun_{};
  state::Instant updated_{};
  state::Duration previous_period_{0};
  std::map<std::string, Host, std::less<>> hosts_;
  std::map<std::string, Entry, std::less<>> entries_;
  std::vector<FractionChange> changes_;
};

}  // namespace mustardflow::admission

#endif  // MUSTARDFLOW_ADMISSION_ORGANISATION_DEMAND_H_
