// Counts answers for each round and each group of witnesses.

#include "coordination/round_tracker.h"

#include <algorithm>
#include <utility>

namespace mustardflow::coordination {

using state::Instant;

RoundTracker::RoundTracker(const OwnershipTiming& timing) : timing_(timing) {}

void RoundTracker::SetGroups(WitnessGroups groups) {
  groups_ = std::move(groups);
  rounds_.clear();
}

void RoundTracker::Reset() {
  rounds_.clear();
  last_success_.reset();
}

std::uint64_t RoundTracker::Start(Instant now) {
  while (!rounds_.empty() &&
         now - rounds_.front().started > timing_.round_timeout) {
    rounds_.pop_front();
  }
  rounds_.push_back({++last_number_,
                     now,
                     std::vector<std::size_t>(groups_.size(), 0),
                     {},
                     false});
  return last_number_;
}

std::vector<RoundAnswer> RoundTracker::RecordAnswer(Instant now,
                                                    std::uint64_t round,
                                                    RoundAnswer answer,
                                                    bool counts_as_witness) {
  const auto found =
      std::find_if(rounds_.begin(), rounds_.end(),
                   [&](const Round& each) { return each.number == round; });
  if (found == rounds_.end() || now - found->started > timing_.round_timeout) {
    return {};
  }
  const bool duplicate = std::any_of(
      found->answers.begin(), found->answers.end(),
      [&](const RoundAnswer& each) { return each.server == answer.server; });
  if (duplicate) {
    return {};
  }
  if (counts_as_witness) {
    CountWitness(*found, answer.server);
  }
  found->answers.push_back(std::move(answer));
  if (!HasMajorities(*found)) {
    return {};
  }
  if (!last_success_ || *last_success_ < found->started) {
    last_success_ = found->started;
  }
  if (found->succeeded) {
    return {found->answers.back()};
  }
  found->succeeded = true;
  return found->answers;
}

void RoundTracker::CountWitness(Round& round, const std::string& server) const {
  for (std::size_t i = 0; i < groups_.size(); ++i) {
    round.answered[i] += groups_[i].contains(server) ? 1 : 0;
  }
}

bool RoundTracker::HasMajorities(const Round& round) const {
  for (std::size_t i = 0; i < groups_.size(); ++i) {
    if (round.answered[i] < groups_[i].size() / 2 + 1) {
      return false;
    }
  }
  return !groups_.empty();
}

bool RoundTracker::RoundDue(Instant now) const {
  return rounds_.empty() ||
         now - rounds_.back().started >= timing_.round_period;
}

}  // namespace mustardflow::coordination
