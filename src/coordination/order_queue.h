// Decides which grants may be under way to a server at the same time.

#ifndef MUSTARDFLOW_COORDINATION_ORDER_QUEUE_H_
#define MUSTARDFLOW_COORDINATION_ORDER_QUEUE_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "state/document.h"

namespace mustardflow::coordination {

// Lets one order to each server be under way at a time; others wait in the
// order of their arrival. Orders are named by tickets that are used once.
class OrderQueue {
 public:
  enum class Entry {
    // The order may begin.
    kBegins,
    kWaits,
    // Too many orders wait already.
    kFull,
  };

  Entry Enter(const state::Address& server, std::uint64_t ticket);

  // The order that is under way to the server has ended. Returns the ticket of
  // the order that begins now, if any.
  std::optional<std::uint64_t> Leave(const state::Address& server);

  // The order does not wait any longer. Returns false if it has begun.
  bool GiveUp(const state::Address& server, std::uint64_t ticket);

  // Whether no order is under way.
  bool empty() const { return waiting_.empty(); }

 private:
  // The tickets that wait, by server. Has an entry for each server to which an
  // order is under way.
  std::map<state::Address, std::deque<std::uint64_t>> waiting_;
};

}  // namespace mustardflow::coordination

#endif  // MUSTARDFLOW_COORDINATION_ORDER_QUEUE_H_
