// Steps, messages and arrivals of the simulated deployment.

#include "tests/admission/organisation_simulation.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mustardflow::tests {

using state::Duration;
using state::Instant;
using std::chrono::milliseconds;

namespace {

constexpr Duration kStep = milliseconds(20);
constexpr Duration kReportInterval = milliseconds(400);
constexpr Duration kMinReportGap = milliseconds(100);
constexpr Duration kHeartbeatInterval = milliseconds(200);
constexpr double kLoss = 0.01;
constexpr double kRepeats = 0.05;
constexpr double kNotSent = 0.02;

std::size_t BytesOf(const admission::RequestCounts& counts) {
  std::size_t bytes = 0;
  for (const auto& [name, count] : counts) {
    bytes += name.size() + admission::kEntryBytes;
  }
  return bytes;
}

}  // namespace

OrganisationSimulation::OrganisationSimulation(std::size_t hosts,
                                               std::uint64_t seed)
    : random_(seed), hosts_(hosts) {
  for (Host& host : hosts_) {
    StartHost(&host);
  }
  leader_.Begin(now_);
}

void OrganisationSimulation::StartHost(Host* host) {
  host->limits = std::make_unique<admission::OrganisationLimits>(bounds_);
  host->next_report =
      now_ + std::chrono::duration_cast<Duration>(Random() * kReportInterval);
}

void OrganisationSimulation::AddOrganisation(const std::string& name,
                                             double rate,
                                             double burst,
                                             std::size_t spread) {
  organisations_[name] = {name, {name}, {}, rate, burst};
  std::vector<double> weights(hosts_.size(), 0);
  double weight = 0.5;
  const auto first =
      static_cast<std::size_t>(Random() * static_cast<double>(hosts_.size()));
  const std::size_t count = std::min(spread, hosts_.size());
  for (std::size_t i = 0; i < count; ++i) {
    weights[(first + i) % hosts_.size()] =
        weight + 0.5 / static_cast<double>(count);
    weight /= 2;
  }
  traffic_[name].host =
      std::discrete_distribution<std::size_t>(weights.begin(), weights.end());
}

void OrganisationSimulation::SetDemand(const std::string& name,
                                       double per_second) {
  traffic_.at(name).demand = per_second;
}

void OrganisationSimulation::PublishConfig() {
  auto config = std::make_shared<const state::RoutingConfig>(
      ++version_, std::vector<state::Route>(),
      std::map<std::string, state::ServiceRules>(), state::IngressLimits(),
      true, organisations_);
  for (Host& host : hosts_) {
    if (host.config == nullptr) {
      host.config = config;
      continue;
    }
    const auto delay =
        std::chrono::duration_cast<Duration>(Random() * bounds_.config_apply);
    messages_.emplace(now_ + delay, [&host, config] { host.config = config; });
  }
}

void OrganisationSimulation::SetLimit(const std::string& name,
                                      double rate,
                                      double burst) {
  organisations_[name].rate = rate;
  organisations_[name].burst = burst;
  PublishConfig();
}

void OrganisationSimulation::SetPartitioned(std::size_t host,
                                            bool partitioned) {
  hosts_[host].partitioned = partitioned;
}

void OrganisationSimulation::ChangeLeader(Duration gap) {
  leader_begins_ = now_ + gap;
}

void OrganisationSimulation::RestartAll() {
  for (Host& host : hosts_) {
    StartHost(&host);
  }
  ChangeLeader(std::chrono::seconds(1));
}

void OrganisationSimulation::Post(std::function<void()> message) {
  if (Random() < kLoss) {
    return;
  }
  const auto delay = milliseconds(10 + static_cast<int>(Random() * 50));
  messages_.emplace(now_ + delay, std::move(message));
}

void OrganisationSimulation::Report(std::size_t index) {
  Host& host = hosts_[index];
  host.last_report = now_;
  host.next_report = now_ + kReportInterval;
  ++reports_;
  const admission::OrganisationReport report = host.limits->TakeCounts(now_);
  max_tracked_ = std::max(max_tracked_, host.limits->tracked());
  std::size_t bytes = 0;
  for (const admission::RequestCounts& counts : report.counts) {
    bytes += BytesOf(counts);
  }
  max_report_bytes_ = std::max(max_report_bytes_, bytes);
  if (host.partitioned) {
    return;
  }
  Post([this, index, report, term = host.term] {
    if (term == term_ && !leader_begins_) {
      leader_.Record(now_, std::to_string(index), report);
    }
  });
}

void OrganisationSimulation::Lead() {
  if (leader_begins_) {
    if (now_ < *leader_begins_) {
      return;
    }
    leader_begins_.reset();
    ++term_;
    leader_.Begin(now_);
    next_heartbeat_ = now_;
  }
  if (now_ < next_heartbeat_) {
    return;
  }
  next_heartbeat_ = now_ + kHeartbeatInterval;
  const auto fractions =
      leader_.Update(now_, *hosts_.front().config, hosts_.size());
  leader_.TakeChanges();
  max_tracked_ = std::max(max_tracked_, leader_.tracked());
  if (fractions) {
    std::size_t bytes = 0;
    for (const auto& [name, fraction] : fractions->fractions) {
      bytes += name.size() + admission::kEntryBytes / 2;
    }
    max_heartbeat_bytes_ = std::max(max_heartbeat_bytes_, bytes);
  }
  for (Host& host : hosts_) {
    if (host.partitioned) {
      continue;
    }
    Post([this, &host, fractions, term = term_] {
      host.term = term;
      if (fractions) {
        host.limits->SetFractions(now_, *fractions);
      } else {
        host.limits->HandleLeader(now_);
      }
    });
  }
}

void OrganisationSimulation::Arrive(const std::string& name, Traffic* traffic) {
  const double mean =
      traffic->demand * std::chrono::duration<double>(kStep).count();
  const int count =
      mean > 0 ? std::poisson_distribution<int>(mean)(random_) : 0;
  std::uint32_t served = 0;
  std::uint32_t refused = 0;
  for (int i = 0; i < count; ++i) {
    Host& host = hosts_[traffic->host(random_)];
    const state::Organisation* organisation =
        host.config->FindOrganisation(name);
    if (!host.limits->Admit(now_, *organisation, hosts_.size(), Random())) {
      ++refused;
      continue;
    }
    const double fate = Random();
    if (fate < kNotSent) {
      host.limits->GiveBack(now_, name);
      continue;
    }
    ++served;
    if (fate > 1 - kRepeats) {
      host.limits->Charge(now_, name);
      ++served;
    }
  }
  traffic->offered.push_back(static_cast<std::uint32_t>(count));
  traffic->served.push_back(served);
  traffic->refused.push_back(refused);
}

void OrganisationSimulation::Step() {
  while (!messages_.empty() && messages_.begin()->first <= now_) {
    const auto message = std::move(messages_.begin()->second);
    messages_.erase(messages_.begin());
    message();
  }
  for (auto& [name, traffic] : traffic_) {
    Arrive(name, &traffic);
  }
  for (std::size_t i = 0; i < hosts_.size(); ++i) {
    const Host& host = hosts_[i];
    if (now_ >= host.next_report ||
        (host.limits->surging() && now_ - host.last_report >= kMinReportGap)) {
      Report(i);
    }
  }
  Lead();
  now_ += kStep;
}

void OrganisationSimulation::Run(Duration time) {
  if (hosts_.front().config == nullptr) {
    PublishConfig();
  }
  const Instant end = now_ + time;
  while (now_ < end) {
    Step();
  }
}

double OrganisationSimulation::MaxInWindow(const std::string& name,
                                           Instant since) const {
  const std::vector<std::uint32_t>& served = traffic_.at(name).served;
  const auto length = static_cast<std::size_t>(bounds_.quota_window / kStep);
  const Instant begin = now_ - kStep * static_cast<int>(served.size());
  double sum = 0;
  double highest = 0;
  for (std::size_t i = 0; i < served.size(); ++i) {
    sum += served[i];
    if (i >= length) {
      sum -= served[i - length];
    }
    if (begin + kStep * static_cast<int>(i) >= since) {
      highest = std::max(highest, sum);
    }
  }
  return highest;
}

namespace {

double RateSince(const std::vector<std::uint32_t>& counts, Duration since) {
  const auto steps =
      std::min(counts.size(), static_cast<std::size_t>(since / kStep));
  double sum = 0;
  for (std::size_t i = counts.size() - steps; i < counts.size(); ++i) {
    sum += counts[i];
  }
  return sum / std::chrono::duration<double>(since).count();
}

}  // namespace

double OrganisationSimulation::Offered(const std::string& name,
                                       Instant since) const {
  return RateSince(traffic_.at(name).offered, now_ - since);
}

double OrganisationSimulation::Served(const std::string& name,
                                      Instant since) const {
  return RateSince(traffic_.at(name).served, now_ - since);
}

double OrganisationSimulation::Refused(const std::string& name,
                                       Instant since) const {
  const double offered = Offered(name, since);
  return offered > 0
             ? RateSince(traffic_.at(name).refused, now_ - since) / offered
             : 0;
}

double OrganisationSimulation::Bound(double rate, double burst) const {
  const double window =
      std::chrono::duration<double>(bounds_.quota_window).count();
  return (rate * window + burst) * (1 + bounds_.quota_overage) +
         bounds_.quota_slack;
}

}  // namespace mustardflow::tests
