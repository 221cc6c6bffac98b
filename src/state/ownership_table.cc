// Look-up, merging and comparison of key ranges.

#include "state/ownership_table.h"

#include <algorithm>
#include <set>
#include <tuple>
#include <utility>

namespace mustardflow::state {

void MarkServingRanges(OwnershipTable* table) {
  for (auto& [service, ranges] : table->services) {
    for (OwnedRange& range : ranges) {
      range.serving = !range.holder.id.empty() && range.former.empty();
    }
  }
}

void MergeAdjacentRanges(ServiceRanges* ranges) {
  ServiceRanges merged;
  for (OwnedRange& range : *ranges) {
    if (!merged.empty() && merged.back().holder == range.holder &&
        merged.back().serving == range.serving &&
        merged.back().former == range.former) {
      merged.back().last = range.last;
      merged.back().fence = std::max(merged.back().fence, range.fence);
    } else {
      merged.push_back(std::move(range));
    }
  }
  *ranges = std::move(merged);
}

void ApplyChanges(const ServiceRanges& changes, ServiceRanges* ranges) {
  ServiceRanges result;
  auto change = changes.begin();
  for (OwnedRange range : *ranges) {
    while (range.first <= range.last) {
      while (change != changes.end() && change->last < range.first) {
        ++change;
      }
      if (change == changes.end() || change->first > range.last) {
        result.push_back(range);
        break;
      }
      if (change->first > range.first) {
        OwnedRange kept = range;
        kept.last = change->first - 1;
        result.push_back(std::move(kept));
      }
      OwnedRange changed = *change;
      changed.first = std::max(change->first, range.first);
      changed.last = std::min(change->last, range.last);
      range.first = changed.last + 1;
      result.push_back(std::move(changed));
    }
  }
  MergeAdjacentRanges(&result);
  *ranges = std::move(result);
}

namespace {

// Sets the changed entries; removes those without a value.
template <typename Value>
void ApplyEntries(const std::map<std::string, std::optional<Value>>& changes,
                  std::map<std::string, Value>* entries) {
  for (const auto& [server, value] : changes) {
    if (value) {
      (*entries)[server] = *value;
    } else {
      entries->erase(server);
    }
  }
}

}  // namespace

void ApplyUpdate(const TableUpdate& update, OwnershipTable* table) {
  table->revision = update.revision;
  for (const auto& [service, changes] : update.changes) {
    ApplyChanges(changes, &table->services[service]);
  }
  ApplyEntries(update.gates, &table->gates);
  ApplyEntries(update.limits, &table->limits);
}

ServiceRanges DiffRanges(const ServiceRanges& before,
                         const ServiceRanges& after) {
  std::set<std::tuple<std::int32_t, std::int32_t, ServerIncarnation, bool>>
      known;
  for (const OwnedRange& range : before) {
    known.emplace(range.first, range.last, range.holder, range.serving);
  }
  ServiceRanges changes;
  for (const OwnedRange& range : after) {
    if (!known.contains(
            {range.first, range.last, range.holder, range.serving})) {
      changes.push_back(range);
    }
  }
  return changes;
}

const OwnedRange* FindRange(const ServiceRanges& ranges, ShardKey key) {
  const auto after = std::upper_bound(
      ranges.begin(), ranges.end(), static_cast<std::int32_t>(key),
      [](std::int32_t value, const OwnedRange& range) {
        return value < range.first;
      });
  return after == ranges.begin() ? nullptr : &*(after - 1);
}

}  // namespace mustardflow::state
