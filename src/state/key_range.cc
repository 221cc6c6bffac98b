// Key hashing and range arithmetic.

#include "state/key_range.h"

#include <xxhash.h>

#include <cmath>

namespace mustardflow::state {

KeyHash HashKey(std::string_view key) {
  return XXH3_64bits(key.data(), key.size());
}

double KeyRange::Share() const {
  const double width = static_cast<double>(last - first) + 1.0;
  return std::ldexp(width, -64);
}

}  // namespace mustardflow::state
