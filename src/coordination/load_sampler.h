// A bounded sample of the keys that a host's callers ask for.

#ifndef MUSTARDFLOW_COORDINATION_LOAD_SAMPLER_H_
#define MUSTARDFLOW_COORDINATION_LOAD_SAMPLER_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "state/key_range.h"

namespace mustardflow::coordination {

// What a host saw of one service since its last report.
struct LoadReport {
  // All requests with a key.
  std::uint64_t requests = 0;
  // A uniform sample of their key hashes; a hot key occurs more than once.
  std::vector<state::KeyHash> samples;
};

// Draws the sample. Its size, and with it the report's, does not depend on the
// number of requests, keys or slices.
class LoadSampler {
 public:
  explicit LoadSampler(std::size_t capacity);

  // Notes a request. `random` is uniform over 64 bits.
  void Record(state::KeyHash hash, std::uint64_t random);

  // Returns what was seen since the last call.
  LoadReport Take();

 private:
  const std::size_t capacity_;
  // Invariant: the samples are at most capacity_ and a uniform choice of the
  // requests noted.
  LoadReport report_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_LOAD_SAMPLER_H_
