// Parses log lines, selects the events that concern a request, and prints them.

#include "trace_command.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <set>
#include <string_view>

namespace mustardflow::apps {

namespace json = boost::json;

namespace {

// Events within this time before and after a request may explain its outcome.
constexpr std::int64_t kContextWindowMs = 4000;

// One line of a log.
struct Event {
  std::int64_t time_ms = 0;
  json::object fields;
};

// Returns nothing if the line is not an event. Text before the JSON object,
// such as the time that a log collector adds, is skipped.
std::optional<Event> ParseEvent(const std::string& line) {
  const std::size_t begin = line.find('{');
  if (begin == std::string::npos) {
    return std::nullopt;
  }
  json::error_code error;
  json::value value = json::parse(
      json::string_view(line).substr(begin, line.rfind('}') - begin + 1),
      error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  const json::value* time = value.get_object().if_contains("time_ms");
  if (time == nullptr || !time->is_int64()) {
    return std::nullopt;
  }
  return Event{time->get_int64(), std::move(value.get_object())};
}

// Returns an empty string if the event has no such field or it is not a string.
std::string TextOf(const Event& event, std::string_view name) {
  const json::value* value = event.fields.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

// Returns -1 if the event has no such field or it is not an integer.
std::int64_t NumberOf(const Event& event, std::string_view name) {
  const json::value* value = event.fields.if_contains(name);
  return value != nullptr && value->is_int64() ? value->get_int64() : -1;
}

// The hosts, servers and key that a request involves, as its events name them.
struct RequestContext {
  std::set<std::string> hosts;
  std::set<std::string> servers;
  std::string service;
  // -1 if the request has no key.
  std::int64_t key = -1;
};

RequestContext ContextOf(const std::vector<Event>& events) {
  RequestContext context;
  for (const Event& event : events) {
    context.hosts.insert(TextOf(event, "host"));
    // Some events have a server id in the field "reason".
    context.servers.insert(TextOf(event, "server"));
    context.servers.insert(TextOf(event, "reason"));
    if (!TextOf(event, "service").empty()) {
      context.service = TextOf(event, "service");
    }
    context.key = std::max(context.key, NumberOf(event, "key"));
  }
  context.servers.erase("");
  return context;
}

// Returns whether an event that belongs to no request may explain the outcome
// of a request: it concerns one of the request's servers or the range of its
// key, comes from the leader, or changes the state of one of the request's
// hosts.
bool IsRelated(const Event& event, const RequestContext& context) {
  const std::string part = TextOf(event, "part");
  if (part == "keys" && TextOf(event, "service") == context.service) {
    return NumberOf(event, "first") <= context.key &&
           context.key <= NumberOf(event, "last");
  }
  return part == "leader" ||
         context.servers.contains(TextOf(event, "server")) ||
         ((part == "store" || part == "host") &&
          context.hosts.contains(TextOf(event, "host")));
}

// Prints an event with its time relative to `begin_ms`.
void Print(const Event& event, std::int64_t begin_ms, std::ostream& out) {
  const std::int64_t offset = event.time_ms - begin_ms;
  out << (offset >= 0 ? "+" : "") << offset << " ms  " << TextOf(event, "host")
      << "  " << TextOf(event, "part") << "  " << TextOf(event, "event");
  for (const auto& [name, value] : event.fields) {
    if (name != "time_ms" && name != "host" && name != "part" &&
        name != "event" && name != "id") {
      out << "  " << name << '=';
      if (value.is_string()) {
        out << value.get_string().c_str();
      } else {
        out << value;
      }
    }
  }
  out << '\n';
}

}  // namespace

bool TraceRequest(const std::string& id,
                  const std::vector<std::istream*>& logs,
                  std::ostream& out) {
  std::vector<Event> own;
  std::vector<Event> others;
  for (std::istream* log : logs) {
    for (std::string line; std::getline(*log, line);) {
      auto event = ParseEvent(line);
      if (!event) {
        continue;
      }
      if (TextOf(*event, "id") == id) {
        own.push_back(std::move(*event));
      } else if (!event->fields.contains("id")) {
        others.push_back(std::move(*event));
      }
    }
  }
  if (own.empty()) {
    return false;
  }
  const auto by_time = [](const Event& left, const Event& right) {
    return left.time_ms < right.time_ms;
  };
  std::stable_sort(own.begin(), own.end(), by_time);
  const RequestContext context = ContextOf(own);
  const std::int64_t begin_ms = own.front().time_ms;
  const std::int64_t end_ms = own.back().time_ms;
  std::vector<Event> timeline = own;
  for (const Event& event : others) {
    const bool in_window = event.time_ms >= begin_ms - kContextWindowMs &&
                           event.time_ms <= end_ms + kContextWindowMs;
    if (in_window && IsRelated(event, context)) {
      timeline.push_back(event);
    }
  }
  std::stable_sort(timeline.begin(), timeline.end(), by_time);
  for (const Event& event : timeline) {
    out << (TextOf(event, "id") == id ? "* " : "  ");
    Print(event, begin_ms, out);
  }
  return true;
}

ExitCode RunTrace(const CommandOptions& options) {
  if (options.arguments.empty()) {
    std::cerr << "mustardflow: usage: mustardflow trace ID [FILE...]\n";
    return ExitCode::kUsage;
  }
  std::vector<std::unique_ptr<std::ifstream>> files;
  std::vector<std::istream*> logs;
  for (std::size_t i = 1; i < options.arguments.size(); ++i) {
    files.push_back(std::make_unique<std::ifstream>(options.arguments[i]));
    if (!*files.back()) {
      std::cerr << options.arguments[i]
                << ": cannot be read; give the path of a log\n";
      return ExitCode::kUsage;
    }
    logs.push_back(files.back().get());
  }
  if (logs.empty()) {
    logs.push_back(&std::cin);
  }
  if (!TraceRequest(options.arguments.front(), logs, std::cout)) {
    std::cerr << "mustardflow: no event of " << options.arguments.front()
              << "; requests without incident are not logged one by one\n";
    return ExitCode::kUnknown;
  }
  return ExitCode::kOk;
}

}  // namespace mustardflow::apps
