// Formats events as JSON lines and enforces their rate limits.

#include "transport/event_log.h"

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <boost/json.hpp>
#include <charconv>
#include <cmath>
#include <utility>

#include "transport/clocks.h"

namespace mustardflow::transport {

namespace {

constexpr std::array<std::string_view, 7> kPartNames = {
    "host", "store", "leader", "keys", "servers", "request", "caller"};

// Rate limit of each event. A host serves some hundred requests a second;
// further failures within a second rarely show anything new.
constexpr int kMaxLinesPerSecond = 20;
// Limit on collected bytes while the reader of the descriptor does not keep up.
constexpr std::size_t kMaxPendingBytes = 256 << 10;
constexpr state::Duration kSecond = std::chrono::seconds(1);

// Appends a value of a field as JSON. Numbers that are not finite become 0.
struct ValueWriter {
  std::string* out;

  void operator()(std::string_view text) const {
    *out += boost::json::serialize(boost::json::string_view(text));
  }
  void operator()(std::int64_t number) const { *out += std::to_string(number); }
  void operator()(double number) const {
    std::array<char, 32> buffer{};
    const double finite = std::isfinite(number) ? number : 0;
    const auto end = std::to_chars(buffer.data(), buffer.data() + buffer.size(),
                                   finite, std::chars_format::fixed, 3);
    out->append(buffer.data(), end.ptr);
  }
  void operator()(bool flag) const { *out += flag ? "true" : "false"; }
};

}  // namespace

EventLog::EventLog(int descriptor, std::string host)
    : descriptor_(descriptor), host_json_(boost::json::serialize(host)) {
  const int flags = ::fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    ::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

void EventLog::Write(LogPart part,
                     std::string_view event,
                     std::initializer_list<LogField> fields) {
  auto count = line_counts_.find(event);
  if (count == line_counts_.end()) {
    count = line_counts_.emplace(std::string(event), 0).first;
  }
  if (++count->second > kMaxLinesPerSecond ||
      pending_.size() > kMaxPendingBytes) {
    ++suppressed_total_;
    ++suppressed_[std::string(event)];
    return;
  }
  AppendLine(part, event, fields);
}

void EventLog::AppendLine(LogPart part,
                          std::string_view event,
                          std::initializer_list<LogField> fields) {
  pending_ += "{\"time_ms\":";
  pending_ += std::to_string(WallNow());
  pending_ += ",\"host\":";
  pending_ += host_json_;
  pending_ += ",\"part\":\"";
  pending_ += kPartNames[static_cast<std::size_t>(part)];
  pending_ += "\",\"event\":\"";
  pending_ += event;
  pending_ += '"';
  for (const LogField& field : fields) {
    pending_ += ",\"";
    pending_ += field.name;
    pending_ += "\":";
    std::visit(ValueWriter{&pending_}, field.value);
  }
  pending_ += "}\n";
}

void EventLog::WriteSuppressed() {
  // While the reader does not keep up, the counts add up instead.
  for (auto entry = suppressed_.begin();
       entry != suppressed_.end() && pending_.size() <= kMaxPendingBytes;
       entry = suppressed_.erase(entry)) {
    const std::string_view name = entry->first;
    AppendLine(LogPart::kHost, "lines-suppressed",
               {{"of", name}, {"lines", entry->second}});
  }
}

void EventLog::Flush(state::Instant now) {
  if (now - second_start_ >= kSecond) {
    second_start_ = now;
    line_counts_.clear();
    WriteSuppressed();
  }
  if (pending_.empty()) {
    return;
  }
  const ssize_t sent = ::write(descriptor_, pending_.data(), pending_.size());
  if (sent > 0) {
    pending_.erase(0, static_cast<std::size_t>(sent));
  }
}

}  // namespace mustardflow::transport
