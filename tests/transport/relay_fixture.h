// A host's request path over real sockets. The test plays the caller and the
// backend server.

#ifndef MUSTARDFLOW_TESTS_TRANSPORT_RELAY_FIXTURE_H_
#define MUSTARDFLOW_TESTS_TRANSPORT_RELAY_FIXTURE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "coordination/server_pool.h"
#include "tests/support/log_pipe.h"
#include "transport/caller_listener.h"
#include "transport/clocks.h"
#include "transport/event_log.h"
#include "transport/request_relay.h"

namespace mustardflow::tests {

// One route for POST and GET requests below /desk/ of a.example, with one
// backend server.
class RelayFixture {
 public:
  using tcp = transport::asio::ip::tcp;

  // The memory of a host that handles small requests only.
  static constexpr std::size_t kSmallMemoryBytes = 8 << 20;

  explicit RelayFixture(
      state::RequestKind kind = state::RequestKind::kNonIdempotent,
      std::size_t memory_bytes = kSmallMemoryBytes)
      : server_(context_, {transport::asio::ip::make_address("127.0.0.1"), 0}),
        gate_(context_, {transport::asio::ip::make_address("127.0.0.1"), 0}),
        profile_(ProfileOf(memory_bytes)),
        pool_("near", {}, [] { return 0.5; }),
        log_(log_pipe_.writer(), "test"),
        relay_(
            context_,
            profile_,
            view_,
            pool_,
            [] { return 0.5; },
            log_,
            metrics_),
        callers_(context_, {"127.0.0.1", 0}, view_, relay_, log_),
        hosts_(context_,
               {"127.0.0.1", 0},
               view_,
               relay_,
               log_,
               transport::RequestSource::kHost),
        kind_(kind) {
    SetLimits(state::IngressLimits());
    view_.config_confirmed_at = transport::Now();
    state::ServerRecord record;
    record.incarnation = {"s1", 1};
    record.sequence = 1;
    record.service = "desk";
    record.zone = "near";
    record.slots = 6;
    record.address = {"127.0.0.1", server_.local_endpoint().port()};
    pool_.Update(state::Instant(std::chrono::seconds(1)), record);
  }

  tcp::socket ConnectCaller() {
    tcp::socket caller(context_);
    caller.connect(callers_.local_endpoint());
    return caller;
  }

  // Connects as a host that forwards requests.
  tcp::socket ConnectHost() {
    tcp::socket host(context_);
    host.connect(hosts_.local_endpoint());
    return host;
  }

  // Puts a configuration with these limits into force.
  void SetLimits(const state::IngressLimits& limits) {
    view_.config = OneRouteConfig(limits);
    pool_.SetConfig(*view_.config);
  }

  void SetTargetLatency(state::Duration target_latency) {
    target_latency_ = target_latency;
    SetLimits(state::IngressLimits());
  }

  // Returns to the state before the first configuration.
  void RemoveConfig() { view_.config = nullptr; }

  // Puts a configuration into force whose only route needs a key of one of the
  // organisations, unless it is public.
  void SetOrganisations(state::Organisations organisations,
                        bool is_public = false) {
    organisations_ = std::move(organisations);
    is_public_ = is_public;
    SetLimits(state::IngressLimits());
  }

  // Makes the service keyed and all keys those of the server, whose requests go
  // through the gate of another host.
  void UseGate(state::RequestKind kind) {
    OwnKeys(kind);
    view_.table.gates["s1"] = {"127.0.0.1", gate_.local_endpoint().port()};
  }

  // Makes the service keyed and all keys those of the server.
  void OwnKeys(state::RequestKind kind) {
    kind_ = kind;
    keyed_ = true;
    SetLimits(state::IngressLimits());
    state::OwnedRange range;
    range.last = state::kShardKeyCount - 1;
    range.holder = {"s1", 1};
    range.serving = true;
    view_.table.term = 1;
    view_.table.revision = 1;
    view_.table.services["desk"] = {range};
  }

  tcp::socket AcceptFromRelay() { return Accept(server_); }
  tcp::socket AcceptAtGate() { return Accept(gate_); }

  tcp::socket Accept(tcp::acceptor& acceptor) {
    tcp::socket socket(context_);
    bool accepted = false;
    acceptor.async_accept(
        socket, [&](const boost::system::error_code&) { accepted = true; });
    context_.restart();
    const auto give_up_at =
        std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (!accepted) {
      if (std::chrono::steady_clock::now() > give_up_at) {
        throw std::runtime_error("the relay opened no connection");
      }
      context_.run_one_until(give_up_at);
    }
    return socket;
  }

  void Run(std::chrono::milliseconds time) {
    context_.restart();
    context_.run_for(time);
  }

  // Runs the event loop for `time` and returns the bytes received on `socket`.
  std::string Receive(
      tcp::socket& socket,
      std::chrono::milliseconds time = std::chrono::milliseconds(60)) {
    context_.restart();
    context_.run_for(time);
    std::string received;
    std::array<char, 4096> buffer{};
    boost::system::error_code error;
    socket.non_blocking(true);
    while (!error) {
      const std::size_t size =
          socket.read_some(transport::asio::buffer(buffer), error);
      received.append(buffer.data(), size);
    }
    ended_ = error != transport::asio::error::would_block;
    return received;
  }

  // Runs the event loop until `part` has arrived on `socket` or the connection
  // has ended. Returns the bytes received.
  std::string ReceiveUntil(tcp::socket& socket, std::string_view part) {
    constexpr int kMaxTurns = 3000;
    std::string received;
    ended_ = false;
    for (int turn = 0; turn < kMaxTurns && !ended_ &&
                       received.find(part) == std::string::npos;
         ++turn) {
      received += Receive(socket, std::chrono::milliseconds(1));
    }
    return received;
  }

  // Writes `text` again and again until the relay closes the connection, or
  // until `max_bytes` are written. Returns the bytes written.
  std::size_t SendUntilClosed(tcp::socket& socket,
                              std::string_view text,
                              std::size_t max_bytes) {
    socket.non_blocking(true);
    std::size_t sent = 0;
    while (sent < max_bytes) {
      boost::system::error_code error;
      sent += socket.write_some(
          transport::asio::buffer(text.data(), text.size()), error);
      if (error && error != transport::asio::error::would_block) {
        break;
      }
      context_.restart();
      context_.run_for(std::chrono::milliseconds(1));
    }
    return sent;
  }

  // Accepts a further connection of the relay to the server, if there is one.
  std::optional<tcp::socket> AcceptWaiting() {
    boost::system::error_code error;
    server_.non_blocking(true);
    tcp::socket socket(context_);
    server_.accept(socket, error);
    return error ? std::nullopt : std::optional(std::move(socket));
  }

  // Whether the relay has opened a further connection to the server.
  bool HasNewConnection() { return AcceptWaiting().has_value(); }

  // Whether the last Receive() found that the connection had ended.
  bool ended() const { return ended_; }
  // Returns the log lines written since the last call.
  std::string LogText() {
    log_.Flush(state::Instant(std::chrono::seconds(1)));
    return log_pipe_.Read();
  }
  transport::RequestRelay& relay() { return relay_; }
  state::RoutingView& view() { return view_; }
  std::string MetricsPage() const { return metrics_.Page(); }
  transport::CallerListener& callers() { return callers_; }
  state::HostProfile& profile() { return profile_; }

 private:
  static state::HostProfile ProfileOf(std::size_t memory_bytes) {
    state::HostProfile profile;
    profile.memory_bytes = memory_bytes;
    return profile;
  }

  std::shared_ptr<const state::RoutingConfig> OneRouteConfig(
      const state::IngressLimits& limits) {
    state::ServiceRules rules;
    rules.keyed = keyed_;
    state::Route route;
    route.name = "desk";
    route.hostname = "a.example";
    route.prefix = "/desk/";
    route.kind = kind_;
    route.is_public = is_public_;
    route.max_attempts = 3;
    route.timeout = std::chrono::seconds(20);
    route.target_latency = target_latency_;
    route.services = {{"desk", 1}};
    return std::make_shared<state::RoutingConfig>(
        ++config_version_, std::vector<state::Route>{route},
        std::map<std::string, state::ServiceRules>{{"desk", rules}}, limits,
        true, organisations_);
  }

  transport::asio::io_context context_;
  tcp::acceptor server_;
  tcp::acceptor gate_;
  state::HostProfile profile_;
  state::RoutingView view_;
  coordination::ServerPool pool_;
  LogPipe log_pipe_;
  transport::EventLog log_;
  transport::EntryMetrics metrics_;
  transport::RequestRelay relay_;
  transport::CallerListener callers_;
  transport::CallerListener hosts_;
  state::RequestKind kind_;
  bool keyed_ = false;
  std::optional<state::Organisations> organisations_;
  bool is_public_ = false;
  state::Duration target_latency_ = std::chrono::seconds(20);
  std::int64_t config_version_ = 0;
  bool ended_ = false;
};

inline void Send(transport::asio::ip::tcp::socket& socket,
                 std::string_view text) {
  transport::asio::write(socket,
                         transport::asio::buffer(text.data(), text.size()));
}

// How often `part` occurs in `text`.
inline std::size_t Count(const std::string& text, std::string_view part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace mustardflow::tests

#endif  // MUSTARDFLOW_TESTS_TRANSPORT_RELAY_FIXTURE_H_
