// Sends the leader's orders to backend servers and tells what is known of
// their end.

#ifndef MUSTARDFLOW_TRANSPORT_ORDER_CLIENT_H_
#define MUSTARDFLOW_TRANSPORT_ORDER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "coordination/keyspace_coordinator.h"
#include "coordination/order_queue.h"
#include "state/document.h"
#include "transport/asio.h"
#include "transport/http_client.h"

namespace mustardflow::transport {

// Asked about an order while it is sent; what is refused is not done.
struct OrderChecks {
  // Whether the order may be written, asked immediately before.
  std::function<bool()> may_write;
  // Whether a connection may be opened for the order.
  std::function<bool()> may_connect;
};

// How an order has ended.
struct OrderReply {
  coordination::OrderOutcome outcome = coordination::OrderOutcome::kNotSent;
  // The status of the answer; 0 without an answer.
  int status = 0;
  // From the answer to a release: the data for the next holder.
  std::string handover;
  HttpSendTrace trace;
};

// Grants to one server go one after the other over one kept connection: a
// server may let new connections wait. Not thread-safe.
class OrderClient {
 public:
  explicit OrderClient(const asio::any_io_executor& executor);

  // Sends the order to the server at `address`, as far as `checks` permits. A
  // grant that waits for earlier ones longer than kOrderTimeout is not written.
  awaitable<OrderReply> Send(state::Address address,
                             coordination::KeyOrder order,
                             OrderChecks checks);

  // Returns whether the server answers an order that changes nothing.
  awaitable<bool> Probe(state::Address address,
                        state::ServerIncarnation server);

 private:
  // The grants that are under way or wait.
  struct Grants {
    coordination::OrderQueue queue;
    // By ticket: ends the wait of a grant whose turn has come.
    std::map<std::uint64_t, asio::steady_timer*> waits;
  };
  // Ends the turn of a grant when it is destroyed.
  class Turn;

  // Waits until no other grant to the server is under way. Returns false if
  // that takes too long.
  awaitable<bool> WaitForTurn(state::Address address);
  // Sends the order at once.
  awaitable<OrderReply> SendNow(state::Address address,
                                coordination::KeyOrder order,
                                OrderChecks checks);
  std::string MakeId();
  // The options that all orders have: an id of its own, by which the answer to
  // another order is told, and the intended server.
  HttpSendOptions MakeOptions(const std::string& server);

  // Both make up an order's id.
  const std::uint32_t id_prefix_;
  std::uint32_t id_count_ = 0;
  const asio::any_io_executor executor_;
  // Never null. Turns that end after this client do not touch it.
  const std::shared_ptr<Grants> grants_;
  std::uint64_t ticket_count_ = 0;
  HttpClient grant_client_;
  // Releases have connections of their own, since a server answers them only
  // when its requests on the released keys have ended. A connection is used for
  // a second release only if the server repeats the ids of orders.
  HttpClient release_client_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_ORDER_CLIENT_H_
