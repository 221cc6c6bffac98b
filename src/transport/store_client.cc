// Sends calls to the store, parses the replies and records failures.

#include "transport/store_client.h"

#include <algorithm>
#include <utility>

#include "transport/clocks.h"

namespace mustardflow::transport {

using platform::AppendOutcome;
using state::Duration;

namespace {

// A reply takes some milliseconds, and up to 60 times as long while the store
// is slow.
constexpr Duration kCallTimeout = std::chrono::milliseconds(900);
// How much longer a reply may take that has begun.
constexpr Duration kTransferTime = std::chrono::seconds(3);
constexpr std::size_t kMaxReplyBytes = 24 << 20;

}  // namespace

StoreClient::StoreClient(asio::any_io_executor executor,
                         state::Address address,
                         EventLog& log)
    : client_(std::move(executor), kMaxReplyBytes),
      address_(std::move(address)),
      log_(log) {}

awaitable<std::optional<HttpReply>> StoreClient::Send(platform::StoreCall call,
                                                      Duration timeout) {
  ++calls_;
  const auto method = call.method == "GET" ? http::verb::get : http::verb::post;
  const std::string target = call.target;
  HttpSendOptions options;
  options.transfer_time = kTransferTime;
  auto reply =
      co_await client_.Send(address_, method, std::move(call.target),
                            std::move(call.body), timeout, std::move(options));
  const bool failed =
      !reply || reply.value().status == 429 || reply.value().status >= 500;
  if (failed != failing_since_.has_value()) {
    failing_since_ = failed ? std::optional(Now()) : std::nullopt;
    log_.Write(LogPart::kStore, failed ? "store-lost" : "store-regained",
               {{"call", target},
                {"status",
                 reply ? static_cast<std::int64_t>(reply.value().status) : 0}});
  }
  if (!reply || !RecordEra(reply.value())) {
    co_return std::nullopt;
  }
  co_return std::move(reply).value();
}

bool StoreClient::RecordEra(const HttpReply& reply) {
  const auto field = std::find_if(
      reply.fields.begin(), reply.fields.end(), [](const auto& entry) {
        return beast::iequals(entry.first,
                              beast::string_view(platform::kEraHeader.data(),
                                                 platform::kEraHeader.size()));
      });
  const auto era = field == reply.fields.end()
                       ? std::nullopt
                       : platform::ParseEra(field->second);
  if (!era) {
    return true;
  }
  HandleEra(*era);
  return *era == era_;
}

void StoreClient::HandleEra(std::int64_t era) {
  if (era <= era_) {
    return;
  }
  log_.Write(LogPart::kStore, "store-era", {{"era", era}, {"before", era_}});
  era_ = era;
}

awaitable<std::optional<TopicPage>> StoreClient::ReadNewest(std::string topic) {
  TopicPage page;
  page.covers_all_keys = true;
  page.as_of = Now();
  std::optional<std::int64_t> era;
  std::string after;
  bool first = true;
  for (bool has_more = true; has_more;) {
    const auto reply =
        co_await Send(platform::NewestCall(topic, after), kCallTimeout);
    if (!reply || reply->status != 200 || era.value_or(era_) != era_) {
      co_return std::nullopt;
    }
    era = era_;
    auto newest = platform::ParseNewestReply(reply->body);
    if (!newest) {
      co_return std::nullopt;
    }
    if (first) {
      // The pages are not a snapshot. Records that change while they are read
      // are read again from the end of the topic at the first page.
      page.next = newest->end;
      first = false;
    }
    has_more = newest->has_more && !newest->records.empty();
    for (platform::KeyedRecord& record : newest->records) {
      after = record.key;
      page.records.push_back(std::move(record));
    }
  }
  page.era = era_;
  co_return page;
}

awaitable<std::optional<TopicPage>> StoreClient::ReadFrom(std::string topic,
                                                          TopicPosition from,
                                                          Duration wait) {
  const state::Instant sent = Now();
  const auto reply = co_await Send(platform::ReadCall(topic, from.offset, wait),
                                   wait + kCallTimeout);
  // In another era the offset has another meaning, and a record may be missing
  // because the store has lost it, not because it has dropped it.
  if (!reply || from.era != era_) {
    co_return std::nullopt;
  }
  if (reply->status == platform::kReadGoneStatus) {
    co_return co_await ReadNewest(std::move(topic));
  }
  if (reply->status != 200) {
    co_return std::nullopt;
  }
  auto read = platform::ParseReadReply(reply->body, from.offset);
  if (!read) {
    co_return std::nullopt;
  }
  TopicPage page;
  page.era = era_;
  page.next =
      read->records.empty() ? from.offset : read->records.back().offset + 1;
  // An answer that ends before `from` is older than what is known here.
  page.reaches_end = page.next == read->end;
  // The store answers without records only after the wait.
  page.as_of =
      read->records.empty() && Now() - sent >= wait ? sent + wait : sent;
  page.records = std::move(read->records);
  co_return page;
}

awaitable<AppendOutcome> StoreClient::Append(
    std::string topic,
    std::vector<platform::KeyedRecord> records,
    platform::ProducerToken token,
    std::optional<std::int64_t> expected_end) {
  const auto reply = co_await Send(
      platform::AppendCall(topic, records, token, expected_end), kCallTimeout);
  if (!reply) {
    co_return AppendOutcome::kUnknown;
  }
  co_return platform::ParseAppendReply(reply->status, reply->body);
}

}  // namespace mustardflow::transport
