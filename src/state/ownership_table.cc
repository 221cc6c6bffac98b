// Look-up of a key's range.

#include "state/ownership_table.h"

#include <algorithm>

namespace mustardflow::state {

const OwnedRange* FindRange(const ServiceRanges& ranges, ShardKey key) {
  const auto after = std::upper_bound(
      ranges.begin(), ranges.end(), static_cast<std::int32_t>(key),
      [](std::int32_t value, const OwnedRange& range) {
        return value < range.first;
      });
  return after == ranges.begin() ? nullptr : &*(after - 1);
}

}  // namespace mustardflow::state
