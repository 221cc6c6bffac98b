// The control thread of a host: configuration, membership and coordination.

#ifndef MUSTARDFLOW_TRANSPORT_CONTROL_DUTY_H_
#define MUSTARDFLOW_TRANSPORT_CONTROL_DUTY_H_

#include <boost/asio/experimental/channel.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "coordination/host_directory.h"
#include "coordination/service_coordinator.h"
#include "platform/host_list_client.h"
#include "platform/log_client.h"
#include "protocol/message_codec.h"
#include "state/config_fold.h"
#include "state/host_settings.h"
#include "transport/asio.h"
#include "transport/http_client.h"
#include "transport/http_listener.h"
#include "transport/log_duty.h"
#include "transport/logging.h"
#include "transport/metrics.h"
#include "transport/ring.h"
#include "transport/traffic_view.h"

namespace mustardflow::transport {

// Connects the coordination classes, which do no I/O, to the network. Applies
// the records of the log to the configuration, exchanges heartbeats with other
// hosts, runs the coordinator of each service, sends its orders and publishes
// its routes. Serves the control and the operator listeners.
class ControlDuty {
 public:
  // The traffic thread consumes `to_traffic` and produces into `from_traffic`.
  ControlDuty(const state::HostSettings& settings,
              Metrics* metrics,
              Ring<TrafficCommand>* to_traffic,
              Ring<TrafficEvent>* from_traffic);

  // The ring into which the log thread pushes the pages that it reads.
  Ring<platform::LogPage>* pages() { return &pages_; }
  // Sets the log thread that appends records. Must be called before Run().
  void set_log(LogDuty* log) { log_ = log; }

  // Runs until Stop().
  void Run();
  void Stop();

  // Starts to hand the duties of this host over to other hosts. May be called
  // from any thread.
  void BeginDrain();

 private:
  using AckChannel =
      asio::experimental::channel<void(beast::error_code, state::OrderAck)>;

  // An order that the traffic thread has not acknowledged yet.
  struct PendingOrder {
    std::shared_ptr<AckChannel> channel;
    state::Instant sent;
  };

  // The state of one service at this host.
  struct Service {
    std::unique_ptr<coordination::ServiceCoordinator> coordinator;
    // The newest routes, of this host or another coordinator. Null until the
    // first routes are known.
    std::shared_ptr<const protocol::RoutesMessage> routes;
    // Addresses of the backend servers by name.
    std::map<std::string, state::Address> server_addresses;
    state::Instant campaign_started;
    state::Instant witness_record_sent;
  };

  awaitable<void> TickLoop();
  awaitable<void> HeartbeatLoop();
  awaitable<void> HostListLoop();
  awaitable<void> SendHeartbeat(state::Address address);
  awaitable<void> SendOrder(std::string service,
                            coordination::OutgoingOrder outgoing);
  awaitable<std::optional<state::OrderAck>> DeliverOrder(
      const std::string& service,
      const coordination::OutgoingOrder& outgoing);
  awaitable<state::OrderAck> ApplyOwnOrder(state::Order order);
  awaitable<void> PushRoutes(state::Address address, std::string text);
  awaitable<void> PullRoutes(state::Address address, std::string service);
  awaitable<void> PullState(state::Address address);
  awaitable<HttpReply> HandleControl(HttpRequest request);
  awaitable<HttpReply> HandleOperators(HttpRequest request);

  void StepDownIfOthersLive();
  void ExpireOrderCalls();
  void HandleTrafficEvent(TrafficEvent event);
  void HandleLoadReport(const ServiceLoadReport& event);
  awaitable<void> SendLoad(state::Address address, std::string text);
  void HandlePage(const platform::LogPage& page);
  void HandleHeartbeat(const state::Heartbeat& heartbeat);
  void Tick();
  void TickService(const std::string& name, Service& service);
  void SendOrders(const std::string& service,
                  std::vector<coordination::OutgoingOrder> orders);
  void PublishRoutes(Service& service);
  void AdoptRoutes(protocol::RoutesMessage message);
  void AppendWitnessRecord(const std::string& name, Service& service);
  void AppendCheckpointIfDue();
  void Reconfigure();
  void ConfigureService(const std::string& name,
                        const state::ServiceConfig& config);
  bool InService(
      const std::map<std::string, state::InServiceState>& in_service_states,
      const std::string& name) const;
  void SendView();
  std::string Append(state::RecordBody body);

  const state::HostSettings settings_;
  Metrics* const metrics_;
  Ring<TrafficCommand>* const to_traffic_;
  LogDuty* log_ = nullptr;
  Ring<platform::LogPage> pages_;
  asio::io_context context_;
  HttpClient client_;
  platform::HostListClient host_list_;
  HttpListener control_;
  HttpListener operators_;
  const Logger logger_;

  std::mt19937_64 random_;
  const state::InstanceId instance_;
  const coordination::OwnershipTiming ownership_timing_;
  const coordination::DirectoryTiming directory_timing_;
  coordination::HostDirectory directory_;
  state::ConfigFold fold_;
  std::map<std::string, Service> services_;
  std::vector<state::HostEntry> live_hosts_;
  // Whether a newer TrafficView must be sent to the traffic thread.
  bool view_due_ = true;
  // Whether the host is handing its duties over to other hosts.
  bool draining_ = false;
  bool pulling_state_ = false;
  // Number of malformed records that have been added to the metric.
  std::uint64_t reported_malformed_records_ = 0;
  // When this host last read or appended a checkpoint; initially its start.
  state::Instant last_checkpoint_;
  // Orders to this host that the traffic thread has not acknowledged yet, by
  // ascending id. Invariant: bounded, since ExpireOrderCalls() removes calls
  // that have timed out.
  std::map<std::uint64_t, PendingOrder> order_calls_;
  std::uint64_t next_order_call_id_ = 1;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_CONTROL_DUTY_H_
