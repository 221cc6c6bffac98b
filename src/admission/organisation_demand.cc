// Demand, token buckets and fractions.

#include "admission/organisation_demand.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mustardflow::admission {

using state::Duration;
using state::Instant;

namespace {

// From the start of a term until all hosts have reported to the new leader;
// hosts report every 400 ms.
constexpr Duration kFirstFractions = std::chrono::milliseconds(600);
// A host that has not reported for this long has stopped or is cut off.
constexpr Duration kSilence = std::chrono::milliseconds(1000);
// A host that has been silent for this long counts among the silent ones
// without an entry of its own.
constexpr Duration kForgetHost = std::chrono::seconds(30);
// The time constant of the average demand.
constexpr double kDemandSeconds = 1;
// The demand rises at once to what is this many standard deviations certain.
constexpr double kCertainty = 2;
// A debt of a bucket is repaid, and what it holds is spent, in this time.
constexpr double kRepaySeconds = 2;
// The part of the overage and the slack by which a bucket is deeper than the
// burst. The other part covers what is admitted before a surge is known.
// At the start of a term, a bucket holds this part of the slack alone. With
// less, a few requests at a time refuse organisations of one request a second.
constexpr double kMarginPart = 0.5;
// After a fraction has ended, hosts are told so for this long.
constexpr Duration kTellEnd = std::chrono::seconds(3);
// Changes of a fraction by less than this are not logged.
constexpr double kLoggedChange = 0.1;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

void OrganisationDemand::Begin(Instant now) {
  begun_ = now;
  updated_ = now;
  previous_period_ = Duration(0);
  hosts_.clear();
  entries_.clear();
  changes_.clear();
}

void OrganisationDemand::Record(Instant now,
                                const std::string& host,
                                const OrganisationReport& report) {
  const auto [found, is_new] = hosts_.try_emplace(host);
  Host& known = found->second;
  known.heard = now;
  std::int64_t unknown = report.interval - known.interval;
  if (report.sequence != known.sequence) {
    // After a restart all intervals are new. At the start of a term, those
    // before the latest have been charged by the leader before.
    unknown = is_new ? 1 : report.interval;
  }
  known.sequence = report.sequence;
  known.interval = report.interval;
  for (std::size_t i = 0;
       i < report.counts.size() && static_cast<std::int64_t>(i) < unknown;
       ++i) {
    for (const auto& [name, count] : report.counts[i]) {
      Entry& entry = entries_[name];
      entry.offered += count.offered;
      entry.admitted += count.admitted;
    }
  }
}

double OrganisationDemand::SilentShare(Instant now, std::size_t hosts) {
  std::erase_if(hosts_, [now](const auto& entry) {
    return now - entry.second.heard > kForgetHost;
  });
  const auto reporting = static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(), [now](const auto& entry) {
        return now - entry.second.heard <= kSilence;
      }));
  return hosts <= reporting ? 0
                            : static_cast<double>(hosts - reporting) /
                                  static_cast<double>(hosts);
}

void OrganisationDemand::UpdateEntry(Instant now,
                                     const state::Organisation& organisation,
                                     double silent_share,
                                     Entry* entry) {
  const double period = Seconds(now - updated_);
  // Hosts report less often than heartbeats are sent, so that a single period
  // has the reports of a part of them.
  const double periods = period + Seconds(previous_period_);
  const auto offered =
      static_cast<double>(entry->offered + entry->previous_offered);
  const double rate = offered / periods;
  entry->demand +=
      (1 - std::exp(-period / kDemandSeconds)) * (rate - entry->demand);
  const double certain = (offered - kCertainty * std::sqrt(offered)) / periods;
  entry->demand = std::max(entry->demand, certain);
  entry->previous_offered = entry->offered;
  entry->offered = 0;

  const double usable = organisation.rate * (1 - silent_share);
  const double window_limit =
      organisation.rate * Seconds(bounds_.quota_window) + organisation.burst;
  const double depth =
      organisation.burst + kMarginPart * (bounds_.quota_overage * window_limit +
                                          bounds_.quota_slack);
  const double level = entry->level ? *entry->level + usable * period
                                    : kMarginPart * bounds_.quota_slack +
                                          usable * Seconds(now - begun_);
  entry->level = std::min(depth, level) - static_cast<double>(entry->admitted);
  entry->admitted = 0;
  const double allowed = std::max(0.0, usable + *entry->level / kRepaySeconds);
  entry->fraction = allowed >= entry->demand ? 1 : allowed / entry->demand;
  RecordChange(organisation, entry);
}

void OrganisationDemand::RecordChange(const state::Organisation& organisation,
                                      Entry* entry) {
  const bool limited = entry->fraction < 1;
  const bool was_limited = entry->logged_fraction < 1;
  if (limited == was_limited &&
      std::abs(entry->fraction - entry->logged_fraction) < kLoggedChange) {
    return;
  }
  entry->logged_fraction = entry->fraction;
  changes_.push_back({organisation.name, entry->fraction, entry->demand,
                      organisation.rate, *entry->level});
}

std::optional<OrganisationFractions> OrganisationDemand::Update(
    Instant now,
    const state::RoutingConfig& config,
    std::size_t hosts) {
  const Duration period = now - updated_;
  // Heartbeats that follow one another closely say the same.
  if (period < std::chrono::milliseconds(50)) {
    return std::nullopt;
  }
  const double silent_share = SilentShare(now, hosts);
  std::vector<std::pair<const std::string*, Entry*>> named;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    const state::Organisation* organisation =
        config.FindOrganisation(entry->first);
    if (organisation == nullptr || !organisation->limited()) {
      entry = entries_.erase(entry);
      continue;
    }
    Entry& state = entry->second;
    UpdateEntry(now, *organisation, silent_share, &state);
    if (state.fraction < 1) {
      state.named_until = now + kTellEnd;
    }
    // A new entry would begin with the same bucket: a full one.
    constexpr double kNoDemand = 0.001;
    if (state.demand < kNoDemand && state.fraction == 1 &&
        now > state.named_until && *state.level >= organisation->burst &&
        Seconds(now - begun_) * organisation->rate >
            2 * organisation->burst + bounds_.quota_slack) {
      entry = entries_.erase(entry);
      continue;
    }
    if (state.fraction < 1) {
      named.emplace_back(&entry->first, &state);
    }
    ++entry;
  }
  previous_period_ = period;
  updated_ = now;
  if (now - begun_ < kFirstFractions) {
    return std::nullopt;
  }
  OrganisationFractions fractions;
  // Those named longest ago come first, if not all fit.
  std::sort(named.begin(), named.end(),
            [](const auto& left, const auto& right) {
              return left.second->named < right.second->named;
            });
  std::size_t bytes = 0;
  for (const auto& [name, entry] : named) {
    bytes += name->size() + kEntryBytes / 2;
    if (bytes > kMaxFractionBytes) {
      fractions.complete = false;
      break;
    }
    fractions.fractions.emplace(*name, entry->fraction);
    entry->named = now;
  }
  return fractions;
}

}  // namespace mustardflow::admission
