// Key hashes and ranges of key hashes.

#ifndef MUSTARDFLOW_STATE_KEY_RANGE_H_
#define MUSTARDFLOW_STATE_KEY_RANGE_H_

#include <compare>
#include <cstdint>
#include <limits>
#include <string_view>

namespace mustardflow::state {

// A position in the 64-bit hash space into which keys are hashed.
using KeyHash = std::uint64_t;

inline constexpr KeyHash kLastKeyHash = std::numeric_limits<KeyHash>::max();

// Hashes `key` with XXH3. All processes must use the same function, since they
// exchange ranges of its values.
KeyHash HashKey(std::string_view key);

// A range of key hashes, including both bounds.
struct KeyRange {
  KeyHash first = 0;
  KeyHash last = kLastKeyHash;

  bool Contains(KeyHash hash) const { return first <= hash && hash <= last; }
  bool Overlaps(const KeyRange& other) const {
    return first <= other.last && other.first <= last;
  }
  // The fraction of the hash space that the range covers, between 0 and 1.
  double Share() const;

  auto operator<=>(const KeyRange&) const = default;
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_KEY_RANGE_H_
