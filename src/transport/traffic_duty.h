// The traffic thread of a host: serves requests of callers and of other hosts.

#ifndef MUSTARDFLOW_TRANSPORT_TRAFFIC_DUTY_H_
#define MUSTARDFLOW_TRANSPORT_TRAFFIC_DUTY_H_

#include <atomic>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "protocol/request_classifier.h"
#include "state/host_settings.h"
#include "transport/answer_writer.h"
#include "transport/asio.h"
#include "transport/logging.h"
#include "transport/metrics.h"
#include "transport/request_runner.h"
#include "transport/ring.h"
#include "transport/traffic_view.h"

namespace mustardflow::transport {

// Serves the listeners for callers and for other hosts. Applies the orders that
// grant routing duties to this host.
class TrafficDuty {
 public:
  TrafficDuty(const state::HostSettings& settings, Metrics* metrics);

  // The control thread produces into commands() and consumes events().
  Ring<TrafficCommand>* commands() { return &commands_; }
  Ring<TrafficEvent>* events() { return &events_; }

  // Runs until Stop().
  void Run();
  void Stop();

  // Closes each connection of a caller after its next answer, which announces
  // that the connection closes. May be called from any thread.
  void BeginDrain();

  // Accepts the connections of callers in the listen backlog, then closes the
  // listener of callers. May be called from any thread.
  void StopAccepting();

  // The number of callers' requests that have no answer yet. May be called from
  // any thread.
  int requests_under_way() const { return requests_under_way_.load(); }
  // The number of open connections of callers. May be called from any thread.
  int caller_connections() const { return caller_connections_.load(); }

 private:
  // The kind of peer at the other end of a connection.
  enum class PeerKind {
    kCaller,
    kHost,
  };

  void Listen(tcp::acceptor* acceptor, const state::Address& address);
  awaitable<void> AcceptLoop(tcp::acceptor* acceptor, PeerKind peer_kind);
  awaitable<void> TickLoop();
  awaitable<void> ReportLoop();
  awaitable<void> Serve(tcp::socket socket, PeerKind peer_kind);
  // Reads and serves one request. Returns whether the connection stays open for
  // the next request.
  awaitable<bool> ServeOne(beast::tcp_stream& stream,
                           beast::flat_buffer& buffer,
                           PeerKind peer_kind);
  awaitable<bool> ServeCaller(beast::tcp_stream& stream,
                              UpstreamRequest message);
  awaitable<bool> ServeHost(beast::tcp_stream& stream, UpstreamRequest message);
  awaitable<bool> ServeLedgerExport(beast::tcp_stream& stream,
                                    const protocol::LedgerExportQuery& query,
                                    const AnswerOptions& options);
  awaitable<bool> RefuseUnclassified(beast::tcp_stream& stream,
                                     protocol::ClassificationError error,
                                     bool keep_alive);

  void HandleCommand(TrafficCommand command);
  void HandleView(std::shared_ptr<const TrafficView> view);
  std::optional<RoutedRequest> ParseForwardedRequest(UpstreamRequest message);

  const state::HostSettings settings_;
  Metrics* const metrics_;
  asio::io_context context_;
  Ring<TrafficCommand> commands_;
  Ring<TrafficEvent> events_;
  RequestRunner runner_;
  tcp::acceptor callers_;
  tcp::acceptor peers_;
  const Logger logger_;
  // The configuration from which `classifier_` was built.
  std::shared_ptr<const state::ConfigSnapshot> classified_config_;
  std::shared_ptr<const protocol::RequestClassifier> classifier_;
  std::atomic<int> caller_connections_ = 0;
  bool draining_ = false;
  std::atomic<int> requests_under_way_ = 0;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_TRAFFIC_DUTY_H_
