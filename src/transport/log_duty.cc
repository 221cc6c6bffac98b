// Implements reading the log by long polling and appending records to it.

#include "transport/log_duty.h"

#include <utility>

namespace mustardflow::transport {

namespace {

constexpr std::size_t kMaxPageBytes = 64 << 20;
constexpr std::size_t kMaxWaitingAppends = 256;
constexpr state::Duration kLongPollTimeout = std::chrono::seconds(2);
// Delay before a failed read is retried.
constexpr state::Duration kRetryDelay = std::chrono::milliseconds(200);
// Delay before a page is pushed again while the ring is full.
constexpr state::Duration kFullRingRetryDelay = std::chrono::milliseconds(10);

}  // namespace

LogDuty::LogDuty(const state::Address& log,
                 const std::string& stream,
                 Ring<platform::LogPage>* pages)
    : context_(1),
      client_(context_.get_executor(), kMaxPageBytes),
      log_(&client_, log, stream),
      pages_(pages),
      appends_(kMaxWaitingAppends),
      logger_("log") {
  appends_.Consume(context_.get_executor(), [this](std::string text) {
    asio::co_spawn(context_, AppendRecord(std::move(text)), asio::detached);
  });
}

void LogDuty::Run() {
  asio::co_spawn(context_, ReadLoop(), asio::detached);
  context_.run();
}

void LogDuty::Stop() {
  context_.stop();
}

awaitable<void> LogDuty::ReadLoop() {
  asio::steady_timer timer(context_);
  state::LogOffset from = 0;
  bool reachable = true;
  while (true) {
    auto page = co_await log_.Read(from, kLongPollTimeout);
    if (page.has_value() != reachable) {
      reachable = page.has_value();
      if (reachable) {
        logger_.Info("The log service responds again.");
      } else {
        logger_.Warning("The log service does not respond.");
      }
    }
    if (!page) {
      timer.expires_after(kRetryDelay);
      co_await timer.async_wait(kNoThrow);
      continue;
    }
    from = page->next;
    while (!pages_->Push(*page)) {
      timer.expires_after(kFullRingRetryDelay);
      co_await timer.async_wait(kNoThrow);
    }
  }
}

awaitable<void> LogDuty::AppendRecord(std::string text) {
  const auto offset = co_await log_.Append(std::move(text));
  if (!offset) {
    logger_.Warning(
        "The log service did not acknowledge an append; the record may or may "
        "not have been appended.");
  }
}

}  // namespace mustardflow::transport
