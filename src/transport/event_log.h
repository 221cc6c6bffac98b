// Structured logs: one JSON object a line on standard output.
//
// A line is written for each decision that touches a request or changes what
// the process believes. Writing never blocks; lines beyond a budget are counted
// by event and told later.

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

// The parts of the program that write events.
enum class LogPart {
  kHost,
  kStore,
  kLeader,
  kKeys,
  kServers,
  kRequest,
  kCaller,
};

// One named value of an event. The unit is part of the name.
struct LogField {
  std::string_view name;
  std::variant<std::string_view, std::int64_t, double, bool> value;
};

class EventLog {
 public:
  // Writes to `descriptor`, which is made non-blocking. `host` is named in each
  // line.
  EventLog(int descriptor, std::string host);

  void Write(LogPart part,
             std::string_view event,
             std::initializer_list<LogField> fields);

  // Passes collected lines on and renews the budgets. Call several times a
  // second.
  void Flush(state::Instant now);

  std::uint64_t suppressed() const { return suppressed_total_; }

 private:
  void AppendLine(LogPart part,
                  std::string_view event,
                  std::initializer_list<LogField> fields);

  const int descriptor_;
  const std::string host_;
  // Invariant: at most the limit on unsent bytes, plus one line.
  std::string pending_;
  // Lines of each event in the present second.
  std::map<std::string, int, std::less<>> written_;
  std::map<std::string, std::int64_t, std::less<>> suppressed_;
  std::uint64_t suppressed_total_ = 0;
  state::Instant second_start_{};
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_EVENT_LOG_H_
