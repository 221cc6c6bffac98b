// The changes between two tables of ranges, checked by the holder of each key.

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "state/ownership_table.h"

namespace mustardflow::tests {

namespace {

using state::OwnedRange;
using state::ServiceRanges;

// Returns ranges that cover all keys, with a range boundary after the key of
// each cut.
ServiceRanges TableOf(const std::vector<std::pair<int, int>>& cuts) {
  std::set<std::int32_t> lasts = {state::kShardKeyCount - 1};
  for (const auto& [cut, holder] : cuts) {
    lasts.insert(cut);
  }
  ServiceRanges ranges;
  std::int32_t first = 0;
  for (const std::int32_t last : lasts) {
    OwnedRange range;
    range.first = first;
    range.last = last;
    const auto index = ranges.size() % (cuts.size() + 1);
    const int holder = index < cuts.size() ? cuts[index].second : 0;
    range.holder = {std::to_string(holder), 1};
    range.serving = holder % 2 == 0;
    ranges.push_back(range);
    first = last + 1;
  }
  return ranges;
}

const std::string& HolderOf(const ServiceRanges& ranges, int key) {
  return state::FindRange(ranges, static_cast<state::ShardKey>(key))->holder.id;
}

}  // namespace

TEST_CASE("the changes between two tables turn the first into the second") {
  const auto cuts = rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange<int>(0, state::kShardKeyCount - 1),
                    rc::gen::inRange(0, 4)));
  const bool holds = rc::check([&] {
    ServiceRanges before = TableOf(*cuts);
    ServiceRanges after = TableOf(*cuts);
    state::MergeAdjacentRanges(&before);
    state::MergeAdjacentRanges(&after);
    ServiceRanges changed = before;
    state::ApplyChanges(state::DiffRanges(before, after), &changed);
    std::int32_t next = 0;
    for (const OwnedRange& range : changed) {
      RC_ASSERT(range.first == next);
      next = range.last + 1;
    }
    RC_ASSERT(next == state::kShardKeyCount);
    for (int key = 0; key < state::kShardKeyCount; key += 37) {
      RC_ASSERT(HolderOf(changed, key) == HolderOf(after, key));
    }
    for (const OwnedRange& range : after) {
      RC_ASSERT(HolderOf(changed, range.first) == range.holder.id);
      RC_ASSERT(HolderOf(changed, range.last) == range.holder.id);
    }
  });
  REQUIRE(holds);
}

}  // namespace mustardflow::tests
