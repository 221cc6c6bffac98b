// Hosts that share the limits of organisations, without a network or a clock.

#ifndef MUSTARDFLOW_TESTS_ADMISSION_ORGANISATION_SIMULATION_H_
#define MUSTARDFLOW_TESTS_ADMISSION_ORGANISATION_SIMULATION_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "admission/organisation_demand.h"
#include "admission/organisation_limits.h"

namespace mustardflow::tests {

// A deployment in steps of 20 ms. Messages take 10 to 60 ms, and one in a
// hundred is lost. One admitted request in twenty reaches a server twice, and
// one in fifty is given back.
class OrganisationSimulation {
 public:
  OrganisationSimulation(std::size_t hosts, std::uint64_t seed);

  // Adds an organisation with a limit. `spread` is the number of hosts that see
  // its requests; each sees half as many as the one before, down to an equal
  // share of a half.
  void AddOrganisation(const std::string& name,
                       double rate,
                       double burst,
                       std::size_t spread);
  // Sets what the callers of the organisation send per second.
  void SetDemand(const std::string& name, double per_second);
  // Changes the limit; hosts learn of it within config_apply.
  void SetLimit(const std::string& name, double rate, double burst);
  // Cuts the hosts off from all others, or ends that.
  void SetPartitioned(std::size_t host, bool partitioned);
  // The leader ends; another one begins after `gap`.
  void ChangeLeader(state::Duration gap);
  // All processes start anew.
  void RestartAll();
  void Run(state::Duration time);

  state::Instant now() const { return now_; }
  // The most requests of the organisation that reached servers in any window
  // that ends after `since`.
  double MaxInWindow(const std::string& name, state::Instant since = {}) const;
  // Requests per second of the organisation that were offered and that reached
  // servers since `since`.
  double Offered(const std::string& name, state::Instant since) const;
  double Served(const std::string& name, state::Instant since) const;
  // The fraction of the organisation's requests since `since` that the limit
  // refused.
  double Refused(const std::string& name, state::Instant since) const;
  // What a window may have at a limit of `rate` and `burst`.
  double Bound(double rate, double burst) const;

  std::size_t max_report_bytes() const { return max_report_bytes_; }
  std::size_t max_heartbeat_bytes() const { return max_heartbeat_bytes_; }
  std::size_t reports() const { return reports_; }
  std::size_t max_tracked() const { return max_tracked_; }
  const state::ServiceBounds& bounds() const { return bounds_; }

 private:
  struct Host {
    std::unique_ptr<admission::OrganisationLimits> limits;
    std::shared_ptr<const state::RoutingConfig> config;
    state::Instant next_report;
    state::Instant last_report;
    std::int64_t term = 0;
    bool partitioned = false;
  };
  struct Traffic {
    double demand = 0;
    std::discrete_distribution<std::size_t> host;
    // By step.
    std::vector<std::uint32_t> offered;
    std::vector<std::uint32_t> served;
    std::vector<std::uint32_t> refused;
  };

  void Step();
  void Arrive(const std::string& name, Traffic* traffic);
  void Report(std::size_t host);
  void Lead();
  void Post(std::function<void()> message);
  void PublishConfig();
  void StartHost(Host* host);
  double Random() { return std::uniform_real_distribution<>(0, 1)(random_); }

  std::mt19937_64 random_;
  state::ServiceBounds bounds_;
  state::Instant now_{std::chrono::seconds(1000)};
  std::vector<Host> hosts_;
  state::Organisations organisations_;
  std::int64_t version_ = 0;
  std::map<std::string, Traffic> traffic_;
  std::multimap<state::Instant, std::function<void()>> messages_;
  admission::OrganisationDemand leader_{bounds_};
  std::int64_t term_ = 1;
  std::optional<state::Instant> leader_begins_;
  state::Instant next_heartbeat_{};
  std::size_t max_report_bytes_ = 0;
  std::size_t max_heartbeat_bytes_ = 0;
  std::size_t reports_ = 0;
  std::size_t max_tracked_ = 0;
};

}  // namespace mustardflow::tests

#endif  // MUSTARDFLOW_TESTS_ADMISSION_ORGANISATION_SIMULATION_H_
