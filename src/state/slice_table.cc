// Appending and binary search of sorted slices.

#include "state/slice_table.h"

#include <algorithm>
#include <cassert>

namespace mustardflow::state {

void SliceTable::Append(KeyHash first, std::string_view server, Fence fence) {
  assert(entries_.empty() ? first == 0 : first > entries_.back().first);
  entries_.push_back({first, fence, ServerIndex(server)});
}

SliceView SliceTable::Find(KeyHash hash) const {
  assert(!entries_.empty());
  const auto next = std::upper_bound(
      entries_.begin(), entries_.end(), hash,
      [](KeyHash value, const Entry& entry) { return value < entry.first; });
  return at(static_cast<std::size_t>(next - entries_.begin()) - 1);
}

SliceView SliceTable::at(std::size_t index) const {
  const Entry& entry = entries_[index];
  const bool is_last = index + 1 == entries_.size();
  const KeyHash last = is_last ? kLastKeyHash : entries_[index + 1].first - 1;
  return {{entry.first, last}, servers_[entry.server], entry.fence};
}

std::size_t SliceTable::MemoryBytes() const {
  std::size_t bytes = entries_.capacity() * sizeof(Entry);
  for (const std::string& server : servers_) {
    bytes += 2 * (sizeof(std::string) + server.capacity());
  }
  return bytes;
}

std::uint32_t SliceTable::ServerIndex(std::string_view server) {
  const auto next_index = static_cast<std::uint32_t>(servers_.size());
  const auto [position, inserted] =
      server_indexes_.try_emplace(std::string(server), next_index);
  if (inserted) {
    servers_.emplace_back(server);
  }
  return position->second;
}

}  // namespace mustardflow::state
