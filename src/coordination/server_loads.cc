// Keeps servers sorted by load.

#include "coordination/server_loads.h"

#include <utility>

namespace mustardflow::coordination {

namespace {

// A lower load, in requests per second, is a rounding error of a load that was
// moved away. A key counts for more than this.
constexpr double kMinLoad = 1e-6;

}  // namespace

ServerLoads::ServerLoads(Entries entries) : entries_(std::move(entries)) {
  for (const auto& entry : entries_) {
    by_ratio_.insert(&entry);
    total_load_ += entry.second.load;
    total_capacity_ += entry.second.capacity;
  }
}

void ServerLoads::Add(const state::ServerIncarnation& server, double load) {
  const auto found = entries_.find(server);
  if (found == entries_.end()) {
    return;
  }
  by_ratio_.erase(&*found);
  Entry& entry = found->second;
  const double sum = entry.load + load;
  entry.load = sum < kMinLoad ? 0 : sum;
  total_load_ += load;
  by_ratio_.insert(&*found);
}

void ServerLoads::Move(const state::ServerIncarnation& from,
                       const state::ServerIncarnation& to,
                       double load) {
  Add(from, -load);
  Add(to, load);
}

}  // namespace mustardflow::coordination
