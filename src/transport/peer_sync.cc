// Paths, replies and retries of the fetches between hosts.

#include "transport/peer_sync.h"

#include <algorithm>
#include <charconv>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "protocol/host_messages.h"
#include "protocol/object_reader.h"
#include "transport/clocks.h"

namespace mustardflow::transport {

using state::Duration;
using state::Instant;

namespace {

constexpr std::string_view kTablePath = "/v1/table";
constexpr std::string_view kOperatorsPath = "/v1/operators";
constexpr std::string_view kServersPath = "/v1/servers";
constexpr std::size_t kMaxReplyBytes = 8 << 20;
// The whole table of a thousand servers takes half of this over a slow link.
constexpr Duration kFetchTimeout = std::chrono::milliseconds(800);
// How much longer a reply may take that has begun.
constexpr Duration kTransferTime = std::chrono::seconds(3);
// Every n-th attempt asks the leader.
constexpr int kAttemptsPerLeaderFetch = 3;
// The pause after a fetch that brought nothing new. It doubles with each such
// fetch, up to the maximum.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(40);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(640);
// The fraction of this host's link that serving the operators' records may
// take. A large configuration is served to few hosts then; the others read the
// store, so that the link stays free for requests.
constexpr double kServedLinkFraction = 0.2;
constexpr double kBytesPerMegabit = 125000;
// The status of the answer to a fetch that is declined.
constexpr int kDeclinedStatus = 503;
constexpr Duration kStaleReportInterval = std::chrono::seconds(1);

// Returns the value of a query parameter that is an integer.
std::optional<std::int64_t> IntegerParameter(const HttpRequest& request,
                                             const std::string& name) {
  const auto found = request.query.find(name);
  if (found == request.query.end()) {
    return std::nullopt;
  }
  const std::string& text = found->second;
  std::int64_t value = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool valid =
      parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return valid ? std::optional(value) : std::nullopt;
}

HttpReply BodyReply(std::string body) {
  HttpReply reply;
  reply.status = 200;
  reply.body = std::move(body);
  return reply;
}

HttpReply NothingNew() {
  HttpReply reply;
  reply.status = 404;
  return reply;
}

}  // namespace

PeerSync::PeerSync(asio::any_io_executor executor,
                   double link_mbps,
                   const state::OwnershipTable& table,
                   coordination::TableFollower& follower,
                   StoreWatch& watch,
                   EventLog& log,
                   std::function<double()> random,
                   std::function<void()> table_changed)
    : executor_(executor),
      table_(table),
      follower_(follower),
      watch_(watch),
      log_(log),
      random_(std::move(random)),
      table_changed_(std::move(table_changed)),
      client_(executor, kMaxReplyBytes),
      operators_rate_(link_mbps * kBytesPerMegabit * kServedLinkFraction) {}

bool PeerSync::IsNeeded(Instant now, Topic topic) const {
  switch (topic) {
    case Topic::kTable:
      return follower_.NeedsFetch(now);
    case Topic::kOperators:
      return watch_.NeedsOperatorRecords();
    case Topic::kServers:
      break;
  }
  return watch_.MissingEntriesFrom(now).has_value();
}

std::string PeerSync::Target(Instant now, Topic topic) const {
  switch (topic) {
    case Topic::kTable:
      return std::string(kTablePath) + "?term=" + std::to_string(table_.term) +
             "&revision=" + std::to_string(table_.revision);
    case Topic::kOperators:
      return std::string(kOperatorsPath) +
             "?after=" + std::to_string(watch_.operators().next) + EraQuery();
    case Topic::kServers:
      break;
  }
  return std::string(kServersPath) +
         "?from=" + std::to_string(watch_.MissingEntriesFrom(now).value_or(0)) +
         EraQuery();
}

std::string PeerSync::EraQuery() const {
  return watch_.era() == 0 ? "" : "&era=" + std::to_string(watch_.era());
}

bool PeerSync::IsOfOwnEra(const HttpRequest& request) const {
  return IntegerParameter(request, "era").value_or(0) == watch_.era();
}

void PeerSync::Tick(Instant now) {
  if (follower_.IsStale(now) && now >= next_stale_report_) {
    next_stale_report_ = now + kStaleReportInterval;
    log_.Write(LogPart::kKeys, "table-behind",
               {{"term", table_.term},
                {"revision", table_.revision},
                {"attempts",
                 static_cast<std::int64_t>(StateOf(Topic::kTable).attempts)}});
  }
  if (!sources_) {
    return;
  }
  for (const Topic topic :
       {Topic::kTable, Topic::kOperators, Topic::kServers}) {
    FetchState& fetch = StateOf(topic);
    if (!IsNeeded(now, topic)) {
      fetch.declined = false;
      continue;
    }
    const bool reads_itself =
        topic == Topic::kOperators && watch_.reading_operators();
    if (fetch.pending || now < fetch.next || reads_itself) {
      continue;
    }
    fetch.pending = true;
    const bool ask_leader =
        fetch.declined ||
        fetch.attempts % kAttemptsPerLeaderFetch == kAttemptsPerLeaderFetch - 1;
    asio::co_spawn(executor_,
                   Fetch(topic, ask_leader ? sources_->second : sources_->first,
                         Target(now, topic)),
                   asio::detached);
  }
}

awaitable<void> PeerSync::Fetch(Topic topic,
                                state::Address source,
                                std::string target) {
  const std::string from = source.ip;
  HttpSendOptions options;
  options.transfer_time = kTransferTime;
  const auto reply =
      co_await client_.Send(std::move(source), http::verb::get, target, "",
                            kFetchTimeout, std::move(options));
  FetchState& fetch = StateOf(topic);
  fetch.pending = false;
  const bool progress =
      reply && reply.value().ok() && Apply(topic, reply.value().body);
  if (progress) {
    if (topic == Topic::kOperators) {
      log_.Write(LogPart::kStore, "operators-fetched",
                 {{"from", from}, {"next", watch_.operators().next}});
    }
    fetch.attempts = 0;
    fetch.next = Now();
    co_return;
  }
  fetch.declined = reply && reply.value().status == kDeclinedStatus;
  if (fetch.declined && topic == Topic::kOperators) {
    log_.Write(LogPart::kStore, "fetch-declined", {{"from", from}});
    watch_.ReadOperatorsNow();
  }
  const Duration delay = std::min(
      kMinRetryDelay * (1 << std::min(fetch.attempts, 4)), kMaxRetryDelay);
  ++fetch.attempts;
  fetch.next =
      Now() + std::chrono::duration_cast<Duration>(delay * (0.5 + random_()));
  if (!reply) {
    log_.Write(LogPart::kHost, "fetch-failed",
               {{"target", target},
                {"from", from},
                {"error", reply.error().message()}});
  }
}

bool PeerSync::Apply(Topic topic, const std::string& body) {
  switch (topic) {
    case Topic::kTable: {
      auto table = protocol::DecodeTableReply(body);
      if (!table) {
        return false;
      }
      bool changed = false;
      if (auto* whole = std::get_if<state::OwnershipTable>(&*table)) {
        changed = follower_.HandleTable(std::move(*whole));
      } else {
        for (state::TableUpdate& update :
             std::get<std::vector<state::TableUpdate>>(*table)) {
          changed = follower_.HandleUpdate(std::move(update)) || changed;
        }
      }
      if (changed) {
        table_changed_();
      }
      return changed;
    }
    case Topic::kOperators: {
      auto operators = protocol::DecodeOperatorRecords(body);
      return operators && watch_.HandleOperatorRecords(std::move(*operators));
    }
    case Topic::kServers:
      break;
  }
  const auto updates = protocol::DecodeEntryUpdates(body);
  return updates && watch_.HandleEntryUpdates(Now(), *updates);
}

HttpReply PeerSync::Answer(const HttpRequest& request) {
  if (request.path == kTablePath) {
    return AnswerTable(request);
  }
  if (request.path == kServersPath) {
    return AnswerServers(request);
  }
  return request.path == kOperatorsPath ? AnswerOperators(request)
                                        : NothingNew();
}

HttpReply PeerSync::AnswerOperators(const HttpRequest& request) {
  const std::int64_t after = IntegerParameter(request, "after").value_or(-1);
  const protocol::OperatorRecords& operators = watch_.operators();
  // A host of an earlier era has to read everything anew.
  const bool is_newer =
      IsOfOwnEra(request)
          ? operators.next > after
          : operators.next > 0 &&
                IntegerParameter(request, "era").value_or(0) < watch_.era();
  if (!is_newer) {
    return NothingNew();
  }
  const std::pair position(operators.era, operators.next);
  if (encoded_position_ != position) {
    encoded_position_ = position;
    encoded_operators_ = protocol::EncodeOperatorRecords(operators);
  }
  if (!operators_rate_.Take(Now(), encoded_operators_.size())) {
    HttpReply reply;
    reply.status = kDeclinedStatus;
    return reply;
  }
  return BodyReply(encoded_operators_);
}

HttpReply PeerSync::AnswerTable(const HttpRequest& request) {
  const auto term = IntegerParameter(request, "term");
  const auto revision = IntegerParameter(request, "revision");
  if (term && revision) {
    state::OwnershipTable known;
    known.term = *term;
    known.revision = *revision;
    if (!table_.NewerThan(known)) {
      return NothingNew();
    }
    if (const auto updates = follower_.UpdatesSince(*term, *revision)) {
      return BodyReply(protocol::EncodeTableUpdates(*updates));
    }
  }
  const std::pair current(table_.term, table_.revision);
  if (encoded_revision_ != current) {
    encoded_revision_ = current;
    encoded_table_ = protocol::EncodeTable(table_);
  }
  return BodyReply(encoded_table_);
}

HttpReply PeerSync::AnswerServers(const HttpRequest& request) const {
  const auto from = IntegerParameter(request, "from");
  const auto updates = from && IsOfOwnEra(request)
                           ? watch_.EntryUpdatesSince(*from)
                           : std::vector<protocol::EntryUpdate>();
  return updates.empty() ? NothingNew()
                         : BodyReply(protocol::EncodeEntryUpdates(updates));
}

}  // namespace mustardflow::transport
