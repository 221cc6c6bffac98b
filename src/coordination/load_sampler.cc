// Reservoir sampling of key hashes.

#include "coordination/load_sampler.h"

#include <utility>

namespace mustardflow::coordination {

LoadSampler::LoadSampler(std::size_t capacity) : capacity_(capacity) {}

void LoadSampler::Record(state::KeyHash hash, std::uint64_t random) {
  ++report_.requests;
  if (report_.samples.size() < capacity_) {
    report_.samples.push_back(hash);
    return;
  }
  const std::uint64_t position = random % report_.requests;
  if (position < capacity_) {
    report_.samples[position] = hash;
  }
}

LoadReport LoadSampler::Take() {
  return std::exchange(report_, LoadReport());
}

}  // namespace mustardflow::coordination
