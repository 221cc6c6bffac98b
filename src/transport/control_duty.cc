// Implements the loops, message handlers and HTTP handlers of the control
// thread.

#include "transport/control_duty.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <set>
#include <utility>

#include "platform/backend_protocol.h"
#include "protocol/object_reader.h"
#include "transport/clocks.h"
#include "transport/operator_pages.h"

namespace mustardflow::transport {

namespace json = boost::json;
using coordination::CoordinatorPhase;
using coordination::Keyspace;
using coordination::MemberSpec;
using coordination::OutgoingOrder;
using coordination::ServiceCoordinator;

namespace {

constexpr std::size_t kMaxWaitingPages = 64;
constexpr std::size_t kMaxReplyBytes = 64 << 20;
constexpr state::Duration kTickPeriod = std::chrono::milliseconds(10);
constexpr state::Duration kHostListPeriod = std::chrono::seconds(1);
// Time limit for small requests to other hosts.
constexpr state::Duration kPeerTimeout = std::chrono::milliseconds(500);
// Time limit for fetching the configuration snapshot of a peer.
constexpr state::Duration kPullTimeout = std::chrono::seconds(5);
// Maximum duration of a campaign. A coordinator that is not established after
// this time steps down.
constexpr state::Duration kCampaignTimeout = std::chrono::milliseconds(600);
// Time limit for the traffic thread to acknowledge an order.
constexpr state::Duration kOrderCallTimeout = std::chrono::seconds(1);
// Delay after which a witness record is appended again if it has not been read
// back from the log.
constexpr state::Duration kAppendRetryDelay = std::chrono::seconds(2);
constexpr std::string_view kHeartbeatPath = "/control/heartbeat";
constexpr std::string_view kRoutesPath = "/control/routes";
constexpr std::string_view kLoadPath = "/control/load";
constexpr std::string_view kStatePath = "/control/state";

state::HostEntry MakeHostEntry(const state::HostSettings& settings,
                               state::InstanceId instance) {
  state::HostEntry entry;
  entry.name = settings.host;
  entry.zone = settings.zone;
  entry.instance = instance;
  entry.control = settings.control;
  entry.peers = settings.peers;
  entry.operators = settings.operators;
  return entry;
}

std::set<std::string> ServerNames(
    const std::vector<state::ServerEntry>& servers) {
  std::set<std::string> names;
  for (const state::ServerEntry& server : servers) {
    names.insert(server.name);
  }
  return names;
}

HttpReply NotFound(std::string_view what) {
  return {404, json::serialize(json::object{{"error", what}})};
}

}  // namespace

ControlDuty::ControlDuty(const state::HostSettings& settings,
                         Metrics* metrics,
                         Ring<TrafficCommand>* to_traffic,
                         Ring<TrafficEvent>* from_traffic)
    : settings_(settings),
      metrics_(metrics),
      to_traffic_(to_traffic),
      pages_(kMaxWaitingPages),
      context_(1),
      client_(context_.get_executor(), kMaxReplyBytes),
      host_list_(&client_, settings.host_list),
      control_(context_.get_executor(),
               settings.control,
               ListenerLimits(),
               [this](HttpRequest request) {
                 return HandleControl(std::move(request));
               }),
      operators_(context_.get_executor(),
                 settings.operators,
                 ListenerLimits(),
                 [this](HttpRequest request) {
                   return HandleOperators(std::move(request));
                 }),
      logger_("control"),
      random_(std::random_device()()),
      instance_(random_()),
      directory_(Now(), MakeHostEntry(settings, instance_), directory_timing_),
      last_checkpoint_(Now()) {
  directory_.AddSeeds(settings.seeds);
  pages_.Consume(context_.get_executor(),
                 [this](const platform::LogPage& page) { HandlePage(page); });
  from_traffic->Consume(context_.get_executor(), [this](TrafficEvent event) {
    HandleTrafficEvent(std::move(event));
  });
}

void ControlDuty::HandleTrafficEvent(TrafficEvent event) {
  if (const auto* load = std::get_if<ServiceLoadReport>(&event)) {
    HandleLoadReport(*load);
    return;
  }
  auto& reply = std::get<OrderReply>(event);
  const auto found = order_calls_.find(reply.id);
  if (found != order_calls_.end()) {
    found->second.channel->try_send(beast::error_code(), std::move(reply.ack));
    order_calls_.erase(found);
  }
}

// Passes the load report to the coordinator of the service, which may be this
// host. Drops the report if the coordinator is unknown or not live.
void ControlDuty::HandleLoadReport(const ServiceLoadReport& event) {
  const auto service = services_.find(event.service);
  const auto coordinator = directory_.CoordinatorOf(Now(), event.service);
  if (service == services_.end() || !coordinator) {
    return;
  }
  if (*coordinator == settings_.host) {
    service->second.coordinator->RecordLoad(Now(), event.report);
    return;
  }
  const auto host = directory_.FindLive(Now(), *coordinator);
  if (host) {
    asio::co_spawn(context_,
                   SendLoad(host->control,
                            protocol::EncodeLoad(event.service, event.report)),
                   asio::detached);
  }
}

awaitable<void> ControlDuty::SendLoad(state::Address address,
                                      std::string text) {
  co_await client_.Send(address, http::verb::post, std::string(kLoadPath),
                        std::move(text), kPeerTimeout);
}

void ControlDuty::Run() {
  control_.Start();
  operators_.Start();
  asio::co_spawn(context_, TickLoop(), asio::detached);
  asio::co_spawn(context_, HeartbeatLoop(), asio::detached);
  asio::co_spawn(context_, HostListLoop(), asio::detached);
  context_.run();
}

void ControlDuty::Stop() {
  context_.stop();
}

void ControlDuty::BeginDrain() {
  asio::post(context_, [this] {
    logger_.Info("Draining: the host hands its duties over to other hosts.");
    draining_ = true;
    directory_.set_leaving(true);
    Reconfigure();
    StepDownIfOthersLive();
    for (const state::Address& address : directory_.HeartbeatTargets(Now())) {
      asio::co_spawn(context_, SendHeartbeat(address), asio::detached);
    }
  });
}

// Steps down as coordinator of every service if another live host is not
// leaving. The other host can then take over before any lease expires.
void ControlDuty::StepDownIfOthersLive() {
  const bool other_host_live =
      std::any_of(live_hosts_.begin(), live_hosts_.end(),
                  [&](const state::HostEntry& host) {
                    return host.name != settings_.host && !host.leaving;
                  });
  if (!other_host_live) {
    return;
  }
  for (auto& [name, service] : services_) {
    service.coordinator->StepDown();
    directory_.DropOwnClaim(name);
  }
}

awaitable<void> ControlDuty::TickLoop() {
  asio::steady_timer timer(context_);
  while (true) {
    Tick();
    timer.expires_after(kTickPeriod);
    co_await timer.async_wait(kNoThrow);
  }
}

awaitable<void> ControlDuty::HeartbeatLoop() {
  asio::steady_timer timer(context_);
  while (true) {
    for (const state::Address& address : directory_.HeartbeatTargets(Now())) {
      asio::co_spawn(context_, SendHeartbeat(address), asio::detached);
    }
    timer.expires_after(directory_timing_.heartbeat_period);
    co_await timer.async_wait(kNoThrow);
  }
}

awaitable<void> ControlDuty::HostListLoop() {
  asio::steady_timer timer(context_);
  while (true) {
    const auto hosts = co_await host_list_.Read();
    if (hosts) {
      directory_.SetHostList(Now(), *hosts);
    }
    timer.expires_after(kHostListPeriod);
    co_await timer.async_wait(kNoThrow);
  }
}

awaitable<void> ControlDuty::SendHeartbeat(state::Address address) {
  std::string text = protocol::EncodeHeartbeat(
      directory_.MakeHeartbeat(Now(), fold_.position()));
  const auto reply = co_await client_.Send(address, http::verb::post,
                                           std::string(kHeartbeatPath),
                                           std::move(text), kPeerTimeout);
  if (!reply || !reply.value().ok()) {
    co_return;
  }
  const auto heartbeat = protocol::DecodeHeartbeat(reply.value().body);
  if (heartbeat) {
    HandleHeartbeat(*heartbeat);
  }
}

void ControlDuty::HandleHeartbeat(const state::Heartbeat& heartbeat) {
  directory_.RecordHeartbeat(Now(), heartbeat);
  const state::Address& address = heartbeat.host.control;
  for (const state::CoordinatorClaim& claim : heartbeat.claims) {
    const auto found = services_.find(claim.service);
    if (found == services_.end()) {
      continue;
    }
    found->second.coordinator->RecordTerm(claim.term);
    const auto& known = found->second.routes;
    const bool newer = !known || claim.term > known->routes.term ||
                       (claim.term == known->routes.term &&
                        claim.routes_version > known->publication);
    if (newer) {
      asio::co_spawn(context_, PullRoutes(address, claim.service),
                     asio::detached);
    }
  }
  if (heartbeat.position > fold_.position() && !pulling_state_) {
    pulling_state_ = true;
    asio::co_spawn(context_, PullState(address), asio::detached);
  }
}

// Restores the configuration from the snapshot of a peer that has read the log
// further than this host. Waits for kPeerTimeout first and queries the peer
// only if this host has read no records from the log during that time.
awaitable<void> ControlDuty::PullState(state::Address address) {
  const state::LogOffset before = fold_.position();
  asio::steady_timer timer(context_, kPeerTimeout);
  co_await timer.async_wait(kNoThrow);
  if (fold_.position() == before) {
    const auto reply = co_await client_.Send(
        address, http::verb::get, std::string(kStatePath), "", kPullTimeout);
    if (reply && reply.value().ok()) {
      const auto snapshot = protocol::DecodeSnapshot(reply.value().body);
      if (snapshot && snapshot->position > fold_.position()) {
        fold_.Restore(*snapshot);
        logger_.Info("Restored the configuration from the snapshot of a peer.");
        Reconfigure();
      }
    }
  }
  pulling_state_ = false;
}

awaitable<void> ControlDuty::PullRoutes(state::Address address,
                                        std::string service) {
  const std::string target = std::string(kRoutesPath) + "?service=" + service;
  const auto reply =
      co_await client_.Send(address, http::verb::get, target, "", kPeerTimeout);
  if (!reply || !reply.value().ok()) {
    co_return;
  }
  auto message = protocol::DecodeRoutes(reply.value().body);
  if (message) {
    AdoptRoutes(std::move(*message));
  }
}

awaitable<void> ControlDuty::PushRoutes(state::Address address,
                                        std::string text) {
  co_await client_.Send(address, http::verb::post, std::string(kRoutesPath),
                        std::move(text), kPeerTimeout);
}

void ControlDuty::AdoptRoutes(protocol::RoutesMessage message) {
  const auto found = services_.find(message.routes.service);
  if (found == services_.end()) {
    return;
  }
  Service& service = found->second;
  if (service.routes && !message.NewerThan(*service.routes)) {
    return;
  }
  service.coordinator->LearnRoutes(message.routes);
  service.routes =
      std::make_shared<const protocol::RoutesMessage>(std::move(message));
  view_due_ = true;
}

void ControlDuty::HandlePage(const platform::LogPage& page) {
  const state::LogOffset before = fold_.position();
  fold_.SkipExpiredRecords(page.first);
  for (const platform::LogEntry& entry : page.entries) {
    const auto record = protocol::DecodeRecord(entry.text);
    if (!record) {
      fold_.SkipMalformed(entry.offset);
      logger_.Warning("The record at offset " + std::to_string(entry.offset) +
                      " was skipped, because it could not be read.");
      continue;
    }
    if (std::holds_alternative<state::CheckpointRecord>(record->body)) {
      last_checkpoint_ = Now();
    }
    fold_.Apply(entry.offset, *record);
  }
  const auto malformed = fold_.malformed_records();
  metrics_->CountMalformedRecords(
      static_cast<double>(malformed - reported_malformed_records_));
  reported_malformed_records_ = malformed;
  if (fold_.position() != before) {
    Reconfigure();
  }
}

void ControlDuty::Reconfigure() {
  live_hosts_ = directory_.LiveHosts(Now());
  for (const auto& [name, config] : fold_.snapshot().services) {
    ConfigureService(name, config);
  }
  metrics_->SetLogPosition(static_cast<double>(fold_.position()));
  view_due_ = true;
}

void ControlDuty::ConfigureService(const std::string& name,
                                   const state::ServiceConfig& config) {
  Service& service = services_[name];
  if (!service.coordinator) {
    service.coordinator = std::make_unique<ServiceCoordinator>(
        name, instance_, ownership_timing_);
  }
  const state::ConfigSnapshot& snapshot = fold_.snapshot();
  std::vector<MemberSpec> members;
  // A server that is no longer in the document stays a member, and keeps its
  // address here, until it has handed its keys off.
  std::erase_if(service.server_addresses, [&](const auto& each) {
    return !service.coordinator->IsMember(each.first);
  });
  for (const state::ServerEntry& server : config.established_servers) {
    service.server_addresses[server.name] = server.address;
  }
  for (const state::ServerEntry& server : config.document.servers) {
    service.server_addresses[server.name] = server.address;
    members.push_back({server.name, Keyspace::kKeys, server.weight,
                       InService(snapshot.zones, server.zone)});
  }
  for (const state::HostEntry& host : live_hosts_) {
    const bool in_service = !host.leaving &&
                            InService(snapshot.zones, host.zone) &&
                            InService(snapshot.hosts, host.name);
    members.push_back(
        {HostMemberName(host.name), Keyspace::kRouting, 1, in_service});
  }
  coordination::WitnessGroups groups = {ServerNames(config.document.servers)};
  const auto established = ServerNames(config.established_servers);
  if (established != groups.front()) {
    groups.push_back(established);
  }
  service.coordinator->Configure(members, config.witness_revision, groups);
}

bool ControlDuty::InService(
    const std::map<std::string, state::InServiceState>& in_service_states,
    const std::string& name) const {
  const auto found = in_service_states.find(name);
  return found == in_service_states.end() || found->second.in_service;
}

// Ends order calls whose acknowledgement was dropped because the ring was full.
// The coordinator treats an order without an acknowledgement as one that may
// have been applied.
void ControlDuty::ExpireOrderCalls() {
  while (!order_calls_.empty() &&
         Now() - order_calls_.begin()->second.sent > kOrderCallTimeout) {
    order_calls_.begin()->second.channel->close();
    order_calls_.erase(order_calls_.begin());
  }
}

void ControlDuty::Tick() {
  ExpireOrderCalls();
  if (directory_.LiveHosts(Now()) != live_hosts_) {
    Reconfigure();
  }
  for (auto& [name, service] : services_) {
    TickService(name, service);
  }
  AppendCheckpointIfDue();
  if (view_due_) {
    SendView();
  }
}

void ControlDuty::TickService(const std::string& name, Service& service) {
  ServiceCoordinator& coordinator = *service.coordinator;
  const auto before = coordinator.phase();
  SendOrders(name, coordinator.Tick(Now()));
  if (coordinator.phase() == CoordinatorPhase::kCampaigning &&
      Now() - service.campaign_started > kCampaignTimeout) {
    coordinator.StepDown();
  }
  if (coordinator.phase() == CoordinatorPhase::kEstablished) {
    PublishRoutes(service);
    AppendWitnessRecord(name, service);
    return;
  }
  if (before == CoordinatorPhase::kEstablished) {
    logger_.Info("This host no longer coordinates " + name + ".");
  }
  directory_.DropOwnClaim(name);
  if (draining_) {
    StepDownIfOthersLive();
  }
  if (coordinator.phase() == CoordinatorPhase::kFollowing &&
      (!draining_ || live_hosts_.size() == 1) &&
      !directory_.IsBehind(Now(), fold_.position()) &&
      directory_.ShouldCampaign(Now(), name)) {
    service.campaign_started = Now();
    SendOrders(name, coordinator.Campaign(Now(), WallNow()));
  }
}

// Publishes the route tables and the states of the servers if either has
// changed since the last publication.
void ControlDuty::PublishRoutes(Service& service) {
  const ServiceCoordinator& coordinator = *service.coordinator;
  protocol::RoutesMessage message;
  message.routes.term = coordinator.term();
  message.routes.version = coordinator.routes().version;
  for (const auto& [name, address] : service.server_addresses) {
    message.servers.push_back({name, coordinator.IsAnswering(name, Now()),
                               coordinator.LastBoot(name)});
  }
  const auto& known = service.routes;
  const bool same_term = known && known->routes.term == message.routes.term;
  if (same_term && known->routes.version == message.routes.version &&
      known->servers == message.servers) {
    return;
  }
  if (!same_term) {
    logger_.Info("This host coordinates " + coordinator.routes().service +
                 " now.");
  }
  message.routes = coordinator.routes();
  message.publication = same_term ? known->publication + 1 : 1;
  directory_.SetOwnClaim(
      {message.routes.service, message.routes.term, message.publication});
  metrics_->SetOwnedShare(message.routes.service,
                          coordinator.OwnedShare(Keyspace::kKeys));
  const std::string text = protocol::EncodeRoutes(message);
  service.routes =
      std::make_shared<const protocol::RoutesMessage>(std::move(message));
  view_due_ = true;
  for (const state::HostEntry& host : live_hosts_) {
    if (host.name != settings_.host) {
      asio::co_spawn(context_, PushRoutes(host.control, text), asio::detached);
    }
  }
}

// Appends a record that the witness group of the newest document is
// established. Later coordinators then need no witnesses of the previous group.
void ControlDuty::AppendWitnessRecord(const std::string& name,
                                      Service& service) {
  const auto found = fold_.snapshot().services.find(name);
  if (found == fold_.snapshot().services.end()) {
    return;
  }
  const state::ServiceConfig& config = found->second;
  const std::uint64_t revision = service.coordinator->term().witness_revision;
  if (revision != config.witness_revision ||
      revision == config.established_revision ||
      Now() - service.witness_record_sent < kAppendRetryDelay) {
    return;
  }
  service.witness_record_sent = Now();
  Append(state::WitnessRecord{name, revision});
}

void ControlDuty::AppendCheckpointIfDue() {
  const bool due = Now() - last_checkpoint_ >= settings_.checkpoint_interval;
  if (!due || fold_.waiting_for_checkpoint() || fold_.position() == 0 ||
      !directory_.RanksFirst(Now(), "checkpoint")) {
    return;
  }
  last_checkpoint_ = Now();
  Append(state::CheckpointRecord{fold_.snapshot()});
}

std::string ControlDuty::Append(state::RecordBody body) {
  std::string id = to_string(boost::uuids::random_generator()());
  if (!log_->Append(protocol::EncodeRecord({id, std::move(body)}))) {
    logger_.Warning(
        "The record was not appended: too many appends are waiting.");
  }
  return id;
}

void ControlDuty::SendOrders(const std::string& service,
                             std::vector<OutgoingOrder> orders) {
  for (OutgoingOrder& outgoing : orders) {
    asio::co_spawn(context_, SendOrder(service, std::move(outgoing)),
                   asio::detached);
  }
}

awaitable<void> ControlDuty::SendOrder(std::string service,
                                       OutgoingOrder outgoing) {
  const auto ack = co_await DeliverOrder(service, outgoing);
  if (!ack) {
    co_return;
  }
  ServiceCoordinator& coordinator = *services_.at(service).coordinator;
  SendOrders(service, coordinator.HandleAck(Now(), outgoing.member, *ack));
  if (coordinator.phase() == CoordinatorPhase::kEstablished) {
    PublishRoutes(services_.at(service));
    if (view_due_) {
      SendView();
    }
  }
}

awaitable<std::optional<state::OrderAck>> ControlDuty::DeliverOrder(
    const std::string& service,
    const OutgoingOrder& outgoing) {
  if (outgoing.member == HostMemberName(settings_.host)) {
    co_return co_await ApplyOwnOrder(outgoing.order);
  }
  const auto& servers = services_.at(service).server_addresses;
  const auto server = servers.find(outgoing.member);
  std::optional<state::Address> address;
  if (server != servers.end()) {
    address = server->second;
  }
  for (const state::HostEntry& host : live_hosts_) {
    if (HostMemberName(host.name) == outgoing.member) {
      address = host.control;
    }
  }
  if (!address) {
    co_return std::nullopt;
  }
  const auto reply = co_await client_.Send(
      *address, http::verb::post, std::string(platform::kOrdersPath),
      protocol::EncodeOrder(outgoing.order), ownership_timing_.round_timeout);
  if (!reply || !reply.value().ok()) {
    co_return std::nullopt;
  }
  co_return protocol::DecodeAck(reply.value().body);
}

awaitable<state::OrderAck> ControlDuty::ApplyOwnOrder(state::Order order) {
  const std::uint64_t id = next_order_call_id_++;
  const auto channel = std::make_shared<AckChannel>(context_, 1);
  order_calls_[id] = {channel, Now()};
  if (!to_traffic_->Push(OrderCall{id, std::move(order)})) {
    order_calls_.erase(id);
    co_return state::OrderAck();
  }
  const auto [error, ack] = co_await channel->async_receive(kNoThrow);
  co_return ack;
}

void ControlDuty::SendView() {
  auto view = std::make_shared<TrafficView>();
  view->config =
      std::make_shared<const state::ConfigSnapshot>(fold_.snapshot());
  for (const auto& [name, service] : services_) {
    if (service.routes) {
      view->routes[name] = service.routes;
    }
  }
  for (const state::HostEntry& host : live_hosts_) {
    view->hosts[host.name] = host;
  }
  view_due_ =
      !to_traffic_->Push(std::shared_ptr<const TrafficView>(std::move(view)));
}

awaitable<HttpReply> ControlDuty::HandleControl(HttpRequest request) {
  if (request.path == platform::kOrdersPath) {
    const auto order = protocol::DecodeOrder(request.body);
    if (!order) {
      co_return HttpReply{400, R"({"error":"not an order"})"};
    }
    const state::OrderAck ack = co_await ApplyOwnOrder(*order);
    co_return HttpReply{200, protocol::EncodeAck(ack)};
  }
  if (request.path == kHeartbeatPath) {
    const auto heartbeat = protocol::DecodeHeartbeat(request.body);
    if (!heartbeat) {
      co_return HttpReply{400, R"({"error":"not a heartbeat"})"};
    }
    HandleHeartbeat(*heartbeat);
    co_return HttpReply{200, protocol::EncodeHeartbeat(directory_.MakeHeartbeat(
                                 Now(), fold_.position()))};
  }
  if (request.path == kRoutesPath && request.method == http::verb::post) {
    auto message = protocol::DecodeRoutes(request.body);
    if (!message) {
      co_return HttpReply{400, R"({"error":"not a route table"})"};
    }
    AdoptRoutes(std::move(*message));
    co_return HttpReply{200, "{}"};
  }
  if (request.path == kRoutesPath) {
    const auto found = services_.find(request.query["service"]);
    if (found == services_.end() || !found->second.routes) {
      co_return NotFound("no routes of this service");
    }
    co_return HttpReply{200, protocol::EncodeRoutes(*found->second.routes)};
  }
  if (request.path == kLoadPath) {
    const auto load = protocol::DecodeLoad(request.body);
    if (!load) {
      co_return HttpReply{400, R"({"error":"not a load report"})"};
    }
    const auto found = services_.find(load->service);
    if (found != services_.end()) {
      found->second.coordinator->RecordLoad(Now(), load->report);
    }
    co_return HttpReply{200, "{}"};
  }
  if (request.path == kStatePath) {
    co_return HttpReply{200, protocol::EncodeSnapshot(fold_.snapshot())};
  }
  co_return NotFound("no such path");
}

awaitable<HttpReply> ControlDuty::HandleOperators(HttpRequest request) {
  if (request.path == "/metrics") {
    co_return HttpReply{200, metrics_->Page(), "text/plain; version=0.0.4"};
  }
  OperatorView view{settings_.host, fold_, directory_, live_hosts_, {}};
  for (const auto& [name, service] : services_) {
    view.routes[name] = service.routes;
  }
  co_return OperatorPages(view, Now()).Answer(request);
}

}  // namespace mustardflow::transport
