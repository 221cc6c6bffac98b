// Order of updates, and the updates kept for other hosts.

#include "coordination/table_follower.h"

#include <utility>

namespace mustardflow::coordination {

using state::Duration;
using state::Instant;
using state::OwnershipTable;
using state::TableUpdate;

namespace {

// The parts of an update arrive within this time.
constexpr Duration kUpdateArrivalTime = std::chrono::milliseconds(60);
// A host whose table is behind for this long is reported.
constexpr Duration kStaleTime = std::chrono::seconds(2);
// How many updates wait for a predecessor, and how many are kept for other
// hosts. A host that lacks more fetches the whole table.
constexpr std::size_t kMaxEarlyUpdates = 64;
constexpr std::size_t kMaxRecentUpdates = 64;

}  // namespace

bool TableFollower::IsBehind() const {
  return announced_term_ != table_.term ? announced_term_ > table_.term
                                        : announced_revision_ > table_.revision;
}

void TableFollower::HandleAnnouncement(Instant now,
                                       std::int64_t term,
                                       std::int64_t revision) {
  if (term > announced_term_ ||
      (term == announced_term_ && revision > announced_revision_)) {
    announced_term_ = term;
    announced_revision_ = revision;
  }
  if (!IsBehind()) {
    behind_since_.reset();
  } else if (!behind_since_) {
    behind_since_ = now;
  }
}

bool TableFollower::Apply(const TableUpdate& update) {
  if (update.term != table_.term || update.base_revision != table_.revision) {
    return false;
  }
  state::ApplyUpdate(update, &table_);
  Remember(update);
  return true;
}

void TableFollower::Remember(TableUpdate update) {
  recent_.push_back(std::move(update));
  if (recent_.size() > kMaxRecentUpdates) {
    recent_.pop_front();
  }
}

void TableFollower::ApplyEarly() {
  while (!early_.empty() && early_.begin()->first <= table_.revision) {
    Apply(early_.begin()->second);
    early_.erase(early_.begin());
  }
  if (!IsBehind()) {
    behind_since_.reset();
  }
}

bool TableFollower::HandleUpdate(TableUpdate update) {
  if (update.term != table_.term) {
    return false;
  }
  if (Apply(update)) {
    ApplyEarly();
    return true;
  }
  if (update.base_revision > table_.revision &&
      early_.size() < kMaxEarlyUpdates) {
    const std::int64_t base = update.base_revision;
    early_.emplace(base, std::move(update));
  }
  return false;
}

bool TableFollower::HandleTable(OwnershipTable table) {
  if (!table.NewerThan(table_)) {
    return false;
  }
  if (table.term != table_.term) {
    early_.clear();
  }
  table_ = std::move(table);
  recent_.clear();
  ApplyEarly();
  return true;
}

void TableFollower::HandlePublished(OwnershipTable table,
                                    const std::vector<TableUpdate>& updates) {
  const bool continues = !updates.empty() && table.term == table_.term &&
                         updates.front().base_revision == table_.revision;
  if (!continues) {
    recent_.clear();
  }
  early_.clear();
  behind_since_.reset();
  table_ = std::move(table);
  for (const TableUpdate& update : updates) {
    Remember(update);
  }
}

bool TableFollower::NeedsFetch(Instant now) const {
  return behind_since_ && now - *behind_since_ >= kUpdateArrivalTime;
}

bool TableFollower::IsStale(Instant now) const {
  return behind_since_ && now - *behind_since_ >= kStaleTime;
}

std::optional<std::vector<TableUpdate>> TableFollower::UpdatesSince(
    std::int64_t term,
    std::int64_t revision) const {
  if (term != table_.term) {
    return std::nullopt;
  }
  std::vector<TableUpdate> updates;
  for (const TableUpdate& update : recent_) {
    if (update.base_revision >= revision) {
      updates.push_back(update);
    }
  }
  const bool complete =
      revision == table_.revision ||
      (!updates.empty() && updates.front().base_revision == revision);
  return complete ? std::optional(std::move(updates)) : std::nullopt;
}

}  // namespace mustardflow::coordination
