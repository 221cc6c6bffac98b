// Selecting and printing of events.

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

// What happened to a server this long around a request may explain it.
constexpr std::int64_t kContextWindowMs = 4000;

struct Event {
  std::int64_t time_ms = 0;
  json::object fields;
};

// Logs may carry a prefix before the object, such as a collector's time.
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

std::string TextOf(const Event& event, std::string_view name) {
  const json::value* value = event.fields.if_contains(name);
  return value != nullptr && value->is_string()
             ? std::string(value->get_string())
             : std::string();
}

std::int64_t NumberOf(const Event& event, std::string_view name) {
  const json::value* value = event.fields.if_contains(name);
  return value != nullptr && value->is_int64() ? value->get_int64() : -1;
}

// What a request has to do with.
struct RequestContext {
  std::set<std::string> hosts;
  std::set<std::string> servers;
  std::string service;
  // -1 for none.
  std::int64_t key = -1;
};

RequestContext ContextOf(const std::vector<Event>& events) {
  RequestContext context;
  for (const Event& event : events) {
    context.hosts.insert(TextOf(event, "host"));
    // The reason of some events is a server.
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

// Whether an event of no request may explain one: it is about one of its
// servers, grants its key, or changes what its host or the leader believes.
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
