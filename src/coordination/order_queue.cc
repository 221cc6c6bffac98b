// Keeps the waiting orders of each server.

#include "coordination/order_queue.h"

#include <algorithm>
#include <cstddef>

namespace mustardflow::coordination {

namespace {

constexpr std::size_t kMaxWaitingPerServer = 64;

}  // namespace

OrderQueue::Entry OrderQueue::Enter(const state::Address& server,
                                    std::uint64_t ticket) {
  const auto [entry, begins] = waiting_.try_emplace(server);
  if (begins) {
    return Entry::kBegins;
  }
  if (entry->second.size() >= kMaxWaitingPerServer) {
    return Entry::kFull;
  }
  entry->second.push_back(ticket);
  return Entry::kWaits;
}

std::optional<std::uint64_t> OrderQueue::Leave(const state::Address& server) {
  const auto entry = waiting_.find(server);
  if (entry == waiting_.end()) {
    return std::nullopt;
  }
  if (entry->second.empty()) {
    waiting_.erase(entry);
    return std::nullopt;
  }
  const std::uint64_t next = entry->second.front();
  entry->second.pop_front();
  return next;
}

bool OrderQueue::GiveUp(const state::Address& server, std::uint64_t ticket) {
  const auto entry = waiting_.find(server);
  return entry != waiting_.end() && std::erase(entry->second, ticket) > 0;
}

}  // namespace mustardflow::coordination
