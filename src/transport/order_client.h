// Sends the leader's orders to backend servers and tells what is known of
// their end.

#ifndef MUSTARDFLOW_TRANSPORT_ORDER_CLIENT_H_
#define MUSTARDFLOW_TRANSPORT_ORDER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <string>

#include "coordination/keyspace_coordinator.h"
#include "state/document.h"
#include "transport/asio.h"
#include "transport/http_client.h"

namespace mustardflow::transport {

// How an order has ended.
struct OrderReply {
  coordination::OrderOutcome outcome = coordination::OrderOutcome::kNotSent;
  // The status of the answer; 0 without an answer.
  int status = 0;
  // From the answer to a release: the data for the next holder.
  std::string handover;
  HttpSendTrace trace;
};

// Not thread-safe.
class OrderClient {
 public:
  explicit OrderClient(const asio::any_io_executor& executor);

  // Sends the order to the server at `address`. `may_write` is asked
  // immediately before the order is written; if it returns false, nothing is
  // written.
  awaitable<OrderReply> Send(state::Address address,
                             coordination::KeyOrder order,
                             std::function<bool()> may_write);

  // Returns whether the server answers an order that changes nothing.
  awaitable<bool> Probe(state::Address address,
                        state::ServerIncarnation server);

 private:
  std::string MakeId();
  // The options that all orders have: an id of its own, by which the answer to
  // another order is told, and the intended server.
  HttpSendOptions MakeOptions(const std::string& server);

  // Both make up an order's id.
  const std::uint32_t id_prefix_;
  std::uint32_t id_count_ = 0;
  HttpClient client_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_ORDER_CLIENT_H_
