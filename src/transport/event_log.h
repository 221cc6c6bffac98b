// Structured log: one JSON object for each line.
//
// A line is written for each decision that affects a request or changes the
// state by which the process decides. Writing never blocks. Lines beyond the
// rate limit of their event are dropped and counted; the counts are logged
// about once a second.

#ifndef MUSTARDFLOW_TRANSPORT_EVENT_LOG_H_
#define MUSTARDFLOW_TRANSPORT_EVENT_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <variant>

#include "state/time.h"

namespace mustardflow::transport {

// The part of the program that logs an event; the field "part" of the line.
enum class LogPart {
  kHost,
  kStore,
  kLeader,
  kKeys,
  kServers,
  kRequest,
  kCaller,
};

// A field of an event. The name ends with the unit, for example "age_ms".
struct LogField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

// Collects lines in memory and writes them at each Flush().
class EventLog {
 public:
  // Writes to `descriptor` and makes it non-blocking. Each line has the name
  // `host`.
  EventLog(int descriptor, std::string host);

  // Appends a line, unless the event has reached its rate limit or too many
  // bytes wait to be written.
  void Write(LogPart part,
             std::string_view event,
             std::initializer_list<LogField> fields);

  // Writes the collected lines, as far as the descriptor accepts them, and
  // resets the rate limits once a second. Called several times a second.
  void Flush(state::Instant now);

  // The number of lines dropped since the start.
  std::uint64_t suppressed() const { return suppressed_total_; }

 private:
  void AppendLine(LogPart part,
                  std::string_view event,
                  std::initializer_list<LogField> fields);
  // Appends the counts of dropped lines, as far as the limit on pending bytes
  // allows.
  void WriteSuppressed();

  const int descriptor_;
  // The name of the host as a JSON string.
  const std::string host_json_;
  // Lines that are not written yet. None is added beyond kMaxPendingBytes; only
  // the line that reaches the limit may exceed it.
  std::string pending_;
  // By event: the number of lines in the current second, and how many of these
  // were dropped.
  std::map<std::string, int, std::less<>> line_counts_;
  std::map<std::string, std::int64_t, std::less<>> suppressed_;
  std::uint64_t suppressed_total_ = 0;
  state::Instant second_start_{};
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_EVENT_LOG_H_
