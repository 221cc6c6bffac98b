// What a host knows of the operators' records, from the store, from the leader
// and from other hosts. The test plays all three.

#include "transport/store_watch.h"

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "tests/support/log_pipe.h"
#include "transport/clocks.h"
#include "transport/http_listener.h"
#include "transport/peer_sync.h"

namespace mustardflow::tests {

namespace {

using std::chrono::milliseconds;
using transport::asio::awaitable;
using transport::asio::ip::tcp;

// The bound on the time after which a change must be in force; the shortest of
// the platform's deployments.
constexpr state::Duration kConfigApply = std::chrono::seconds(2);

std::uint16_t FreePort(transport::asio::io_context& context) {
  const tcp::acceptor acceptor(
      context, {transport::asio::ip::make_address("127.0.0.1"), 0});
  return acceptor.local_endpoint().port();
}

// The entry of a server with this address and start time.
std::string Entry(const std::string& address, const std::string& born) {
  return R"({"address":")" + address + R"(","born":)" + born +
         R"(,"info":{"service":"desk","zone":"near","slots":6},)"
         R"("status":{"state":"ready","seq":4}})";
}

std::size_t Occurrences(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (std::size_t at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

std::string Config(int version) {
  return R"({"version":)" + std::to_string(version) + R"(,"routes":{}})";
}

// A store whose operators' topic the test writes.
class FakeStore {
 public:
  explicit FakeStore(transport::asio::io_context& context)
      : context_(context),
        address_{"127.0.0.1", FreePort(context)},
        listener_(context.get_executor(),
                  address_,
                  {},
                  [this](transport::HttpRequest request) {
                    return Answer(std::move(request));
                  }) {
    listener_.Start();
  }

  const state::Address& address() const { return address_; }
  // Appends a record without a value, which deletes the key, or with one.
  void Put(std::string key, std::string value) {
    records_.emplace_back(std::move(key), std::move(value));
  }
  // Appends an entry of a server.
  void PutServer(std::string id, std::string entry) {
    server_records_.emplace_back(std::move(id), std::move(entry));
  }
  // Sets the answer to reads of the newest records.
  void SetNewest(std::string newest) { newest_ = std::move(newest); }
  // The maximum number of records in an answer.
  void SetPageSize(std::size_t records) { page_size_ = records; }
  // Comes back in this era with only the first of its records.
  void GoBack(std::int64_t era, std::size_t records) {
    era_ = era;
    records_.resize(std::min(records, records_.size()));
    server_records_.clear();
  }
  // How long answers are under way.
  void SetDelay(milliseconds delay) { delay_ = delay; }
  // Reads of the operators' topic that arrive from now on get no answer, or get
  // one again.
  void SetSilent(bool silent) { silent_ = silent; }
  // The same for reads of the servers' topic.
  void SetServersSilent(bool silent) { servers_silent_ = silent; }
  // The number of reads of the operators' topic that have arrived.
  int reads() const { return reads_; }
  std::int64_t end() const {
    return static_cast<std::int64_t>(records_.size());
  }
  std::int64_t servers_end() const {
    return static_cast<std::int64_t>(server_records_.size());
  }

 private:
  // Keys and values.
  using Records = std::vector<std::pair<std::string, std::string>>;

  awaitable<transport::HttpReply> Answer(transport::HttpRequest request) {
    transport::HttpReply reply;
    reply.status = 200;
    if (era_) {
      reply.fields.emplace_back("Store-Era", std::to_string(*era_));
    }
    if (request.path == "/log-newest") {
      reply.body = newest_;
      co_await Delay(delay_);
      co_return reply;
    }
    const bool of_operators =
        request.query.at("topic") == platform::kOperatorTopic;
    reads_ += of_operators ? 1 : 0;
    if (of_operators ? silent_ : servers_silent_) {
      co_await Delay(std::chrono::minutes(1));
    }
    const auto wait_end =
        transport::Now() + milliseconds(std::stoi(request.query.at("wait_ms")));
    const Records& records = of_operators ? records_ : server_records_;
    if (std::stoull(request.query.at("from")) > records.size()) {
      reply.status = 410;
      co_return reply;
    }
    while (of_operators && std::stoll(request.query.at("from")) >= end() &&
           transport::Now() < wait_end) {
      co_await Delay(milliseconds(2));
    }
    reply.body = Page(request);
    co_await Delay(delay_);
    co_return reply;
  }

  awaitable<void> Delay(milliseconds delay) {
    if (delay > milliseconds(0)) {
      transport::asio::steady_timer timer(context_, delay);
      co_await timer.async_wait(transport::kNoThrow);
    }
  }
  std::string Page(const transport::HttpRequest& request) const {
    const bool operators =
        request.query.at("topic") == platform::kOperatorTopic;
    const Records& records = operators ? records_ : server_records_;
    std::size_t end = records.size();
    std::string body;
    AppendNumber(static_cast<std::uint64_t>(end), &body);
    AppendNumber(std::uint64_t{0}, &body);
    const std::size_t from = std::stoull(request.query.at("from"));
    end = std::min(end, from + page_size_);
    for (std::size_t i = from; i < end; ++i) {
      const auto& [key, value] = records[i];
      AppendNumber(static_cast<std::uint32_t>(1 + key.size() + value.size()),
                   &body);
      body += static_cast<char>(key.size());
      body += key + value;
    }
    return body;
  }

  template <typename Number>
  static void AppendNumber(Number number, std::string* body) {
    const Number big = boost::endian::native_to_big(number);
    body->append(reinterpret_cast<const char*>(&big), sizeof(big));
  }

  transport::asio::io_context& context_;
  const state::Address address_;
  Records records_;
  Records server_records_;
  std::string newest_ = R"({"items":[],"has_more":false,"end":0})";
  milliseconds delay_{0};
  bool silent_ = false;
  bool servers_silent_ = false;
  int reads_ = 0;
  std::optional<std::int64_t> era_;
  std::size_t page_size_ = 1000;
  transport::HttpListener listener_;
};

// A host that follows the store and a leader.
class WatchFixture {
 public:
  WatchFixture()
      : store_(context_),
        client_(context_.get_executor(), store_.address(), log_),
        watch_(
            context_.get_executor(),
            client_,
            pool_,
            log_,
            {[this](std::shared_ptr<const state::RoutingConfig> config) {
               version_ = config->version();
             },
             [this](const std::set<std::string>& zones) { evacuated_ = zones; },
             [] {}}) {}

  // Runs the host for `time`, as the leader or as another host.
  void Run(milliseconds time, bool leading = false) {
    const auto end = transport::Now() + time;
    while (transport::Now() < end) {
      watch_.Tick(transport::Now(), leading);
      context_.restart();
      context_.run_for(milliseconds(5));
    }
  }

  // Runs the leader until its next read of the operators' topic has arrived at
  // the store.
  void RunUntilRead() {
    const int reads = store_.reads();
    while (store_.reads() == reads) {
      Run(milliseconds(5), true);
    }
  }

  // A heartbeat of a leader that has read the operators' records up to
  // `operators`, and read them last `age` ago.
  void HearLeader(std::int64_t operators,
                  milliseconds age,
                  std::int64_t number = 0) {
    protocol::LeaderHeartbeat heartbeat;
    heartbeat.number = number;
    heartbeat.progress.operators = operators;
    heartbeat.progress.operators_age = age;
    watch_.HandleProgress(transport::Now(), heartbeat);
  }

  // A heartbeat of a leader that has read all entries of servers just now. It
  // carries `entries`, which follow those that the host has read.
  void HearServers(std::vector<protocol::ServerEntryChange> entries = {}) {
    protocol::LeaderHeartbeat heartbeat;
    heartbeat.term = leader_term_;
    heartbeat.number = ++heartbeats_;
    heartbeat.progress.operators = store_.end();
    heartbeat.progress.servers = store_.servers_end();
    if (!entries.empty()) {
      protocol::HeartbeatUpdate& update = heartbeat.update.emplace();
      update.base_server_offset =
          store_.servers_end() - static_cast<std::int64_t>(entries.size());
      update.entries = std::move(entries);
      update.entry_parts = 1;
    }
    watch_.HandleProgress(transport::Now(), heartbeat);
  }
  // From now on, heartbeats are those of the next leader.
  void ChangeLeader() {
    ++leader_term_;
    heartbeats_ = 0;
  }
  // Runs the host for `time`, in which it hears the leader each 100 ms.
  void Follow(milliseconds time) {
    const auto end = transport::Now() + time;
    while (transport::Now() < end) {
      HearServers();
      Run(milliseconds(100));
    }
  }
  // Runs the host, which hears no leader, until a read of its own has failed.
  void RunUntilReadFails() {
    store_.SetServersSilent(true);
    while (LogText().find("\"read-failed\"") == std::string::npos) {
      Run(milliseconds(20));
    }
    store_.SetServersSilent(false);
  }

  // How long ago the host last knew that it had the newest configuration.
  std::optional<state::Duration> ConfigAge() const {
    const auto confirmed = watch_.ConfigConfirmedAt();
    return confirmed
               ? std::optional<state::Duration>(transport::Now() - *confirmed)
               : std::nullopt;
  }

  // The log lines since the last call.
  std::string LogText() {
    log_.Flush(transport::Now());
    return log_pipe_.Read();
  }

  transport::asio::io_context& context() { return context_; }
  FakeStore& store() { return store_; }
  const coordination::ServerPool& pool() const { return pool_; }
  transport::StoreWatch& watch() { return watch_; }
  std::int64_t version() const { return version_; }
  const std::set<std::string>& evacuated() const { return evacuated_; }

 private:
  transport::asio::io_context context_;
  LogPipe log_pipe_;
  transport::EventLog log_{log_pipe_.writer(), "test"};
  coordination::ServerPool pool_{"near", {}, [] { return 0.5; }};
  FakeStore store_;
  transport::StoreClient client_;
  transport::StoreWatch watch_;
  std::int64_t version_ = 0;
  std::int64_t leader_term_ = 1;
  std::int64_t heartbeats_ = 0;
  std::set<std::string> evacuated_;
};

// What a host fetches from others and serves to them.
class PeerFixture {
 public:
  PeerFixture(transport::asio::io_context& context,
              transport::StoreWatch& watch,
              double link_mbps)
      : sync_(
            context.get_executor(),
            link_mbps,
            table_,
            follower_,
            watch,
            log_,
            [] { return 0.5; },
            [] {}) {}

  // The answer to a host that has no records.
  transport::HttpReply Fetch() {
    transport::HttpRequest request;
    request.path = "/v1/operators";
    request.query["after"] = "0";
    return sync_.Answer(request);
  }
  transport::PeerSync& sync() { return sync_; }

 private:
  state::OwnershipTable table_;
  coordination::TableFollower follower_{table_};
  transport::EventLog log_{-1, "test"};
  transport::PeerSync sync_;
};

}  // namespace

TEST_CASE("a host knows how long ago its configuration was the newest",
          "[Z7]") {
  WatchFixture host;
  CHECK_FALSE(host.ConfigAge());
  host.store().Put("config", Config(3));
  host.watch().Start();
  // The first read of the newest records finds none, the second one this.
  host.Run(milliseconds(1700));
  REQUIRE(host.version() == 3);
  REQUIRE(host.ConfigAge());
  CHECK(*host.ConfigAge() < milliseconds(400));

  SECTION("by the leader's reads") {
    host.HearLeader(host.store().end(), milliseconds(0));
    CHECK(*host.ConfigAge() < milliseconds(100));
    host.Run(milliseconds(200));
    host.HearLeader(host.store().end(), milliseconds(150));
    CHECK(*host.ConfigAge() >= milliseconds(150));
    CHECK(*host.ConfigAge() < milliseconds(250));
  }
  SECTION("not at all while the leader has read a newer record") {
    host.HearLeader(host.store().end() + 1, milliseconds(0));
    CHECK_FALSE(host.ConfigAge());
    // Another host sends the record.
    host.watch().HandleOperatorRecords(
        {host.store().end() + 1, {{"config", Config(4)}}});
    CHECK(host.version() == 4);
    REQUIRE(host.ConfigAge());
    CHECK(*host.ConfigAge() < milliseconds(100));
  }
  SECTION("longer and longer while neither store nor leader is heard") {
    host.store().SetDelay(std::chrono::seconds(5));
    host.Run(milliseconds(900));
    CHECK(*host.ConfigAge() >= milliseconds(900));
  }
}

// Guards against a host that forgets that it lacks a configuration because an
// earlier heartbeat arrives late.
TEST_CASE("a heartbeat that was overtaken does not confirm a configuration",
          "[Z7]") {
  WatchFixture host;
  host.watch().HandleOperatorRecords({1, {{"config", Config(3)}}});
  host.HearLeader(1, milliseconds(0), 4);
  REQUIRE(host.ConfigAge());
  host.HearLeader(2, milliseconds(0), 6);
  CHECK_FALSE(host.ConfigAge());
  host.HearLeader(1, milliseconds(0), 5);
  CHECK_FALSE(host.ConfigAge());
  CHECK(host.watch().NeedsOperatorRecords());
}

// Guards against 404 for routes of a configuration that could not be read as a
// whole, while the one before stays in force.
TEST_CASE("a configuration is not the newest if the newest is unreadable",
          "[Z7]") {
  WatchFixture host;
  host.watch().HandleOperatorRecords({1, {{"config", Config(3)}}});
  host.HearLeader(1, milliseconds(0));
  REQUIRE(host.ConfigAge());
  host.watch().HandleOperatorRecords(
      {2, {{"config", R"({"version":"4","routes":{}})"}}});
  host.HearLeader(2, milliseconds(0));
  CHECK(host.version() == 3);
  CHECK_FALSE(host.ConfigAge());
  host.watch().HandleOperatorRecords({3, {{"config", Config(5)}}});
  host.HearLeader(3, milliseconds(0));
  CHECK(host.version() == 5);
  CHECK(host.ConfigAge());
}

// Guards against a good configuration that never takes effect, because one that
// cannot be read was written before any host had read the good one.
TEST_CASE("an unreadable configuration does not hide the one before it",
          "[Z7]") {
  WatchFixture host;
  host.store().Put("config", Config(3));
  host.watch().Start();
  host.Run(milliseconds(1700));
  REQUIRE(host.version() == 3);
  host.store().Put("config", Config(4));
  host.store().Put("config", R"({"version":5,"routes":[]})");
  host.Run(milliseconds(1700));
  CHECK(host.version() == 4);
  CHECK_FALSE(host.ConfigAge());
}

// Guards against a page that does not reach the end of the topic, and against
// an answer that is older than a change, being taken for proof of the newest
// configuration.
TEST_CASE("only a read that shows all records confirms a configuration",
          "[Z7]") {
  WatchFixture host;
  host.store().Put("config", Config(3));
  host.watch().Start();
  host.Run(milliseconds(1700));
  REQUIRE(host.version() == 3);

  SECTION("not a page with newer records behind it") {
    host.store().SetPageSize(1);
    for (int version = 4; version < 9; ++version) {
      host.store().Put("config", Config(version));
    }
    host.Run(milliseconds(1420));
    REQUIRE(host.version() < 8);
    REQUIRE(host.ConfigAge());
    CHECK(*host.ConfigAge() > milliseconds(800));
  }
  SECTION("not an answer that is older than what the host knows") {
    host.watch().HandleOperatorRecords(
        {host.store().end() + 2, {{"config", Config(5)}}});
    REQUIRE(host.version() == 5);
    const state::Instant known = transport::Now();
    host.Run(milliseconds(1500));
    REQUIRE(host.ConfigAge());
    CHECK(transport::Now() - *host.ConfigAge() <= known);
  }
  SECTION("not an answer that was under way when the record was written") {
    host.store().SetDelay(milliseconds(700));
    host.Run(milliseconds(1500));
    host.store().Put("config", Config(4));
    const state::Instant written = transport::Now();
    host.Run(milliseconds(650));
    REQUIRE(host.version() == 3);
    REQUIRE(host.ConfigAge());
    CHECK(transport::Now() - *host.ConfigAge() <= written);
  }
}

// Guards against a large configuration that fills the links of the hosts which
// pass it on, so that requests wait behind it.
TEST_CASE("a host serves a large configuration to few others", "[Z7]") {
  WatchFixture host;
  transport::asio::io_context context;
  constexpr double kLinkMbps = 10;
  PeerFixture peer(context, host.watch(), kLinkMbps);
  const std::string padding(240 << 10, ' ');
  host.watch().HandleOperatorRecords({1, {{"config", Config(3) + padding}}});
  CHECK(peer.Fetch().status == 200);
  CHECK(peer.Fetch().status == 503);
  std::this_thread::sleep_for(milliseconds(1200));
  CHECK(peer.Fetch().status == 200);

  // A fifth of the link passes on what is small.
  host.watch().HandleOperatorRecords({2, {{"config", Config(4)}}});
  std::this_thread::sleep_for(milliseconds(1200));
  for (int fetch = 0; fetch < 80; ++fetch) {
    CHECK(peer.Fetch().status == 200);
  }
}

TEST_CASE("a host reads the store at once if another declines to serve it",
          "[Z7]") {
  WatchFixture host;
  host.store().Put("config", Config(3));
  host.watch().Start();
  host.Run(milliseconds(1700));
  REQUIRE(host.version() == 3);
  const state::Address other{"127.0.0.1", FreePort(host.context())};
  int fetches = 0;
  transport::HttpListener listener(
      host.context().get_executor(), other, {},
      [&](transport::HttpRequest) -> awaitable<transport::HttpReply> {
        ++fetches;
        transport::HttpReply reply;
        reply.status = 503;
        co_return reply;
      });
  listener.Start();
  PeerFixture peer(host.context(), host.watch(), 10);
  peer.sync().HandleHeartbeat(other, other);
  for (int version = 4; version < 8; ++version) {
    host.store().Put("config", Config(version));
  }
  host.store().SetNewest(
      R"({"items":[{"key":"config","value":)"
      R"("eyJ2ZXJzaW9uIjo3LCJyb3V0ZXMiOnt9fQ==","offset":4}],)"
      R"("has_more":false,"end":5})");
  const int reads = host.store().reads();
  host.HearLeader(host.store().end(), milliseconds(0), 1);
  peer.sync().Tick(transport::Now());
  host.Run(milliseconds(200));
  CHECK(fetches == 1);
  CHECK(host.version() == 7);
  // It read only the newest record.
  CHECK(host.store().reads() == reads);
}

// Guards against a change that no host learns of for seconds, because the
// leader's read which waits for it gets no answer while its other reads do.
TEST_CASE(
    "hosts read the configuration themselves while the leader's read "
    "hangs",
    "[Z7]") {
  WatchFixture host;
  host.store().Put("config", Config(3));
  host.watch().Start();
  host.Run(milliseconds(1700));
  REQUIRE(host.version() == 3);
  const std::int64_t known = host.store().end();
  host.HearLeader(known, milliseconds(0));
  host.store().Put("config", Config(4));
  const state::Instant written = transport::Now();
  while (host.version() == 3 && transport::Now() - written < kConfigApply) {
    host.Run(milliseconds(100));
    host.HearLeader(known, std::chrono::duration_cast<milliseconds>(
                               transport::Now() - written));
  }
  CHECK(host.version() == 4);
}

// Guards against the same at the leader, at any time and after an outage, whose
// pause between reads must not follow.
TEST_CASE("a leader learns of a change although a read got no answer", "[Z7]") {
  WatchFixture leader;
  leader.store().Put("config", Config(3));
  leader.watch().Start();
  leader.Run(milliseconds(1700), true);
  REQUIRE(leader.version() == 3);
  leader.store().SetSilent(true);
  SECTION("while the store is up") {
    leader.RunUntilRead();
  }
  SECTION("as the store comes back") {
    for (int reads = 0; reads < 4; ++reads) {
      leader.RunUntilRead();
    }
  }
  leader.store().SetSilent(false);
  leader.store().Put("config", Config(4));
  const state::Instant written = transport::Now();
  while (leader.version() == 3 && transport::Now() - written < kConfigApply) {
    leader.Run(milliseconds(20), true);
  }
  CHECK(leader.version() == 4);
}

// Guards against hosts that end or stop following the servers because another
// writer has left an odd entry among theirs.
TEST_CASE("an odd entry is passed over and the servers are followed", "[S4]") {
  WatchFixture host;
  host.watch().Start();
  host.store().PutServer("s1", Entry("10.0.0.1:80", "1"));
  host.Run(milliseconds(1700));
  REQUIRE(host.pool().servers().size() == 1);
  const std::string deep(100000, '[');
  const std::vector<std::pair<std::string, std::string>> odd = {
      {"o1", deep},
      {"o2", Entry("10.0.0.2:65536", "1")},
      {"o3", Entry("10.0.0.3:80", "1e400")},
      {"o4", Entry("10.0.0.4:80", "18446744073709551615")},
      {"o\xff", Entry("10.0.0.5:80", "1")},
      {std::string(255, 'o') + "\r\n", "{}"},
      {"", "null"},
      // The server was well before.
      {"s1", Entry("10.0.0.1:0", "1")},
  };
  for (int round = 0; round < 2; ++round) {
    for (const auto& [id, entry] : odd) {
      host.store().PutServer(id, entry);
    }
  }
  host.store().PutServer("s2", Entry("10.0.0.6:80", "1"));
  host.Run(milliseconds(1700));
  CHECK(host.pool().servers().size() == 2);
  CHECK(host.pool().servers().contains("s1"));
  CHECK(host.pool().servers().contains("s2"));
  CHECK(host.watch().unreadable_entries() >= odd.size());

  // Each is logged once, with place and remedy.
  const std::string log = host.LogText();
  CHECK(Occurrences(log, "\"entry-unreadable\"") == odd.size());
  CHECK(Occurrences(log, "\"place\":\"/address\"") == 2);
  CHECK(Occurrences(log, "\"remedy\":\"\"") == 0);
  CHECK(Occurrences(log, "\"key\":\"s1\"") == 1);
  CHECK(Occurrences(log, "\"in_use\":true") == 1);
}

// Guards against an evacuation that is undone, and passed on to other hosts as
// undone, when an answer of the store arrives after newer records have come
// from another host.
TEST_CASE("a late answer of the store does not undo newer records", "[Z3]") {
  WatchFixture host;
  host.store().Put("config", Config(3));
  // The configuration above, in base64.
  host.store().SetNewest(
      R"({"items":[{"key":"config","value":)"
      R"("eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOnt9fQ==","offset":0}],)"
      R"("has_more":false,"end":1})");
  host.store().SetDelay(milliseconds(300));
  host.watch().Start();
  host.Run(milliseconds(100));
  // The answer is under way.
  host.store().Put("evacuate/north", "{}");
  host.watch().HandleOperatorRecords(
      {2, {{"config", Config(3)}, {"evacuate/north", "{}"}}});
  REQUIRE(host.evacuated().contains("north"));
  host.Run(milliseconds(400));
  CHECK(host.evacuated().contains("north"));
  CHECK(host.watch().operators().next == 2);
  CHECK(host.watch().operators().records.size() == 2);
}

// Guards against an accepted change that is undone, and against hosts that read
// nothing any more, because the store has come back from an older copy.
TEST_CASE("in a new era of the store no known record is taken back",
          "[Z3][Z7]") {
  WatchFixture host;
  const bool leading = GENERATE(true, false);
  host.store().GoBack(1, 0);
  host.store().Put("config", Config(3));
  host.store().Put("config", Config(4));
  host.store().Put("evacuate/north", "{}");
  host.store().PutServer("s1", Entry("10.0.0.1:80", "1"));
  host.watch().Start();
  host.Run(milliseconds(1700), leading);
  REQUIRE(host.version() == 4);
  REQUIRE(host.evacuated().contains("north"));
  REQUIRE(host.pool().servers().contains("s1"));

  // The offset of the next read is beyond the end.
  host.store().GoBack(2, 1);
  host.store().SetNewest(
      R"({"items":[{"key":"config","value":)"
      R"("eyJ2ZXJzaW9uIjozLCJyb3V0ZXMiOnt9fQ==","offset":0}],)"
      R"("has_more":false,"end":1})");
  // Longer than an entry may be missing at other times.
  host.Run(milliseconds(3500), leading);
  CHECK(host.version() == 4);
  CHECK(host.evacuated().contains("north"));
  CHECK_FALSE(host.pool().servers().at("s1").gone);
  CHECK(host.watch().operators().era == 2);
  CHECK(host.watch().operators().next == 1);
  // Other hosts get what is in force.
  CHECK(host.watch().operators().records.at("config") == Config(4));
  CHECK(host.watch().Progress(transport::Now()).era == 2);

  host.store().Put("config", Config(5));
  host.Run(milliseconds(1700), leading);
  CHECK(host.version() == 5);
}

// Guards against requests to servers that have left: a host whose own last read
// had failed in an outage took no server for gone while it followed a leader.
TEST_CASE("a host that follows a leader takes servers for gone after an outage",
          "[S1]") {
  WatchFixture host;
  host.store().PutServer("s1", Entry("10.0.0.1:80", "1"));
  host.store().PutServer("s2", Entry("10.0.0.2:80", "1"));
  host.watch().Start();
  host.Run(milliseconds(1700));
  REQUIRE(host.pool().servers().size() == 2);
  host.RunUntilReadFails();

  SECTION("without an alert on the store, which answers the leader") {
    CHECK(host.watch().StoreSilence(transport::Now()) > milliseconds(0));
    host.Follow(milliseconds(2500));
    CHECK(host.watch().StoreSilence(transport::Now()) < milliseconds(300));
  }
  SECTION("once the grace period has ended") {
    host.store().PutServer("s1", "");
    host.HearServers({{"s1", std::nullopt}});
    host.Follow(milliseconds(1900));
    CHECK_FALSE(host.pool().servers().at("s1").gone);
    host.Follow(milliseconds(700));
    CHECK(host.pool().servers().at("s1").gone);
    CHECK_FALSE(host.pool().servers().at("s2").gone);
  }
  SECTION("at once after it") {
    host.Follow(milliseconds(2500));
    host.store().PutServer("s1", "");
    host.HearServers({{"s1", std::nullopt}});
    host.Run(milliseconds(30));
    CHECK(host.pool().servers().at("s1").gone);
  }
  SECTION("but not one whose entry is back in time") {
    host.store().PutServer("s1", "");
    host.HearServers({{"s1", std::nullopt}});
    host.Follow(milliseconds(1900));
    host.store().PutServer("s1", Entry("10.0.0.1:80", "1"));
    // The host hears of it only after the grace period.
    host.Run(milliseconds(500));
    CHECK_FALSE(host.pool().servers().at("s1").gone);
    host.HearServers({{"s1", Entry("10.0.0.1:80", "1")}});
    host.Follow(milliseconds(500));
    CHECK_FALSE(host.pool().servers().at("s1").gone);
    CHECK_FALSE(host.pool().servers().at("s1").unconfirmed);
  }
}

// Guards against the same where hosts differ in what they saw of the outage.
TEST_CASE("each host judges an outage by the reads that it knows of", "[S1]") {
  WatchFixture host;
  host.store().PutServer("s1", Entry("10.0.0.1:80", "1"));
  host.store().PutServer("s2", Entry("10.0.0.2:80", "1"));
  host.watch().Start();
  host.Run(milliseconds(1700));
  REQUIRE(host.pool().servers().size() == 2);
  const auto gone = [&host](const std::string& id) {
    return host.pool().servers().at(id).gone;
  };

  SECTION("only the leader was turned away") {
    // The host reads the store itself meanwhile, so the server has left.
    host.Follow(milliseconds(300));
    host.Run(milliseconds(4000));
    host.store().PutServer("s1", "");
    host.HearServers({{"s1", std::nullopt}});
    host.Run(milliseconds(30));
    CHECK(gone("s1"));
  }
  SECTION("the leader changed in it") {
    host.Follow(milliseconds(300));
    host.RunUntilReadFails();
    host.ChangeLeader();
    // Both entries have expired in the outage; one server is alive.
    host.store().PutServer("s1", "");
    host.store().PutServer("s2", "");
    host.HearServers({{"s1", std::nullopt}, {"s2", std::nullopt}});
    host.Follow(milliseconds(1000));
    host.store().PutServer("s2", Entry("10.0.0.2:80", "1"));
    host.HearServers({{"s2", Entry("10.0.0.2:80", "1")}});
    host.Follow(milliseconds(900));
    CHECK_FALSE(gone("s1"));
    host.Follow(milliseconds(800));
    CHECK(gone("s1"));
    CHECK_FALSE(gone("s2"));
    CHECK_FALSE(host.pool().servers().at("s2").unconfirmed);
  }
  SECTION("the host was cut off from the store and from the leader") {
    host.Follow(milliseconds(300));
    host.store().SetServersSilent(true);
    host.Run(milliseconds(4000));
    host.store().PutServer("s1", "");
    CHECK_FALSE(gone("s1"));
    host.store().SetServersSilent(false);
    // It hears that it lacks entries and gets them from another host.
    host.HearServers();
    host.Run(milliseconds(70));
    const auto from = host.watch().MissingEntriesFrom(transport::Now());
    REQUIRE(from);
    REQUIRE(host.watch().HandleEntryUpdates(
        transport::Now(),
        {{*from, host.store().servers_end(), {{"s1", std::nullopt}}}}));
    host.Follow(milliseconds(1900));
    CHECK_FALSE(gone("s1"));
    host.Follow(milliseconds(700));
    CHECK(gone("s1"));
    CHECK_FALSE(gone("s2"));
  }
}

// Guards against a new leader whose heartbeats tell the age of a read of its
// own, so that all hosts read the store.
TEST_CASE("a host vouches for the servers as of the leader's last read",
          "[Z7]") {
  WatchFixture host;
  host.store().PutServer("s1", Entry("10.0.0.1:80", "1"));
  host.watch().Start();
  host.Run(milliseconds(1700));
  host.Follow(milliseconds(2000));
  CHECK(host.watch().Progress(transport::Now()).age < milliseconds(300));
}

TEST_CASE("offsets of two eras are not compared", "[Z7]") {
  WatchFixture host;
  host.store().GoBack(1, 0);
  host.store().Put("config", Config(3));
  host.watch().Start();
  host.Run(milliseconds(1700));
  REQUIRE(host.version() == 3);
  // Another host has read less, but in the next era.
  protocol::OperatorRecords later{1, {{"config", Config(4)}}, 2};
  CHECK(host.watch().HandleOperatorRecords(later));
  CHECK(host.version() == 4);
  protocol::OperatorRecords earlier{50, {{"config", Config(9)}}, 1};
  CHECK_FALSE(host.watch().HandleOperatorRecords(earlier));
  CHECK(host.version() == 4);
}

}  // namespace mustardflow::tests
