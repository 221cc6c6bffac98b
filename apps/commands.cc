// Implements the commands: each makes one query, change or check and prints the
// result.

#include "commands.h"

#include <unistd.h>

#include <algorithm>
#include <boost/json.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <utility>

#include "protocol/document_codec.h"
#include "protocol/findings.h"
#include "protocol/object_reader.h"
#include "protocol/url.h"

namespace mustardflow::apps {

namespace json = boost::json;

namespace {

// How long to wait until a host knows the result of an appended record.
constexpr state::Duration kResultTimeout = std::chrono::seconds(5);
// How long --wait waits until all live hosts have a change in force. The time
// that the requests to the hosts take is not counted.
constexpr state::Duration kInForceTimeout = std::chrono::seconds(18);
constexpr state::Duration kPollInterval = std::chrono::milliseconds(50);
// The pause of "watch" between two outputs of the status.
constexpr state::Duration kWatchPeriod = std::chrono::seconds(1);

std::optional<std::string> ReadFile(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    std::cerr << file << ": cannot be read; give the path of a document\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

ExitCode PrintUsage(const std::string& text) {
  std::cerr << "mustardflow: usage: mustardflow " << text << '\n';
  return ExitCode::kUsage;
}

ExitCode ReportNoHost() {
  std::cerr << "mustardflow: no host answers; give the operators address of a "
               "live host with --host\n";
  return ExitCode::kUnreachable;
}

std::string StringField(const json::value& value, std::string_view field) {
  return std::string(value.at(field).as_string());
}

void PrintOutcome(const CommandOptions& options,
                  const std::string& id,
                  const std::string& outcome,
                  state::Revision revision,
                  const std::string& message) {
  if (options.json) {
    std::cout << json::serialize(json::object{
                     {"id", id}, {"outcome", outcome}, {"revision", revision}})
              << '\n';
  } else {
    std::cout << message << '\n';
  }
}

// Returns the lines that only one of two texts has: those of the document in
// force with "- ", then those of the local document with "+ ". The order and
// the repetition of lines are not compared.
std::string DiffDocuments(const std::string& local_text,
                          const std::string& in_force_text) {
  const auto lines = [](const std::string& text) {
    std::vector<std::string> result;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
      result.push_back(line);
    }
    return result;
  };
  const auto local_lines = lines(local_text);
  const auto in_force_lines = lines(in_force_text);
  const auto lines_only_in = [](const auto& from, const auto& in,
                                const std::string& prefix) {
    std::string text;
    for (const std::string& line : from) {
      if (std::find(in.begin(), in.end(), line) == in.end()) {
        text += prefix + line + "\n";
      }
    }
    return text;
  };
  return lines_only_in(in_force_lines, local_lines, "- ") +
         lines_only_in(local_lines, in_force_lines, "+ ");
}

// Waits until every live host has applied the change with this revision. A
// revision is the log offset of the change plus one, so a host has applied the
// change once the next offset that it reads is at least `revision`. `target` is
// the operator page whose field "position" holds that offset.
ExitCode WaitUntilInForce(OperatorClient& client,
                          const std::string& target,
                          state::Revision revision) {
  const auto status = client.Get("/v1/status");
  if (!status) {
    return ReportNoHost();
  }
  std::vector<std::pair<std::string, state::Address>> pending;
  for (const auto& host : status->at("hosts").as_object()) {
    const auto address =
        protocol::ParseAddress(StringField(host.value(), "operators"));
    if (address) {
      pending.emplace_back(std::string(host.key()), *address);
    }
  }
  for (state::Duration waited{0}; waited < kInForceTimeout;
       waited += kPollInterval) {
    std::erase_if(pending, [&](const auto& host) {
      const auto value = client.GetFrom(host.second, target);
      return value &&
             value->at("position").template to_number<state::LogOffset>() >=
                 revision;
    });
    if (pending.empty()) {
      std::cerr << "In force on every live host.\n";
      return ExitCode::kOk;
    }
    client.Sleep(kPollInterval);
  }
  for (const auto& [name, address] : pending) {
    std::cerr << "Not in force yet on host " << name << ".\n";
  }
  return ExitCode::kNotInForceEverywhere;
}

// Appends a record, waits until a host reports the result of the record, and
// prints this result. Sets `reported_result` only if a host reports a result in
// time. The record may take effect even if the log does not acknowledge it, so
// the hosts are queried in this case too.
ExitCode AppendAndAwaitResult(OperatorClient& client,
                              const CommandOptions& options,
                              state::RecordBody body,
                              ReportedResult* reported_result) {
  const state::Record record{NewRecordId(), std::move(body)};
  const bool acknowledged = client.Append(record);
  const auto result = client.AwaitResult(record.id, kResultTimeout);
  if (!result) {
    const std::string message =
        std::string(acknowledged ? "The log has the change, but no host has "
                                   "read it yet."
                                 : "Unknown: the log did not answer.") +
        " Query the result with: mustardflow result " + record.id;
    PrintOutcome(options, record.id, "unknown", 0, message);
    return ExitCode::kUnknown;
  }
  *reported_result = *result;
  const std::string revision = std::to_string(result->revision);
  if (result->outcome != "accepted") {
    PrintOutcome(options, record.id, result->outcome, result->revision,
                 "Conflict: revision " + revision + " came first.");
    return ExitCode::kConflict;
  }
  PrintOutcome(options, record.id, result->outcome, result->revision,
               "Accepted as revision " + revision + ".");
  if (options.wait) {
    return WaitUntilInForce(client, "/v1/status", result->revision);
  }
  return ExitCode::kOk;
}

void PrintStatus(const json::value& status) {
  std::cout << "asked host " << StringField(status, "host") << ", log position "
            << status.at("position") << '\n';
  for (const auto& service : status.at("services").as_object()) {
    const json::value& value = service.value();
    std::cout << "service " << service.key() << ": revision "
              << value.at("revision") << ", coordinator "
              << StringField(value, "coordinator") << ", unowned slices "
              << value.at("unowned_slices") << '\n';
    for (const auto& server : value.at("servers").as_object()) {
      std::cout << "  server " << std::left << std::setw(16)
                << std::string(server.key())
                << (server.value().at("answering").as_bool() ? "answering "
                                                             : "silent    ")
                << server.value().at("slices") << " slices\n";
    }
  }
  for (const auto& host : status.at("hosts").as_object()) {
    std::cout << "host " << std::left << std::setw(12)
              << std::string(host.key()) << StringField(host.value(), "zone")
              << (host.value().at("leaving").as_bool() ? ", leaving" : "")
              << (host.value().at("in_service").as_bool() ? ""
                                                          : ", out of service")
              << '\n';
  }
  for (const auto& zone : status.at("zones").as_object()) {
    std::cout << "zone " << zone.key()
              << (zone.value().at("in_service").as_bool() ? " in service"
                                                          : " out of service")
              << '\n';
  }
}

// Returns true for "in" (in service), false for "out" (out of service), and
// nothing for any other argument.
std::optional<bool> ParseInService(const std::string& argument) {
  if (argument == "out") {
    return false;
  }
  if (argument == "in") {
    return true;
  }
  return std::nullopt;
}

}  // namespace

ExitCode RunCheck(const CommandOptions& options) {
  if (options.arguments.empty()) {
    return PrintUsage("check FILE...");
  }
  bool no_findings = true;
  for (const std::string& file : options.arguments) {
    const auto text = ReadFile(file);
    if (!text) {
      return ExitCode::kUsage;
    }
    protocol::Findings findings;
    protocol::ParseDocument(*text, &findings);
    std::cout << findings.Report(file);
    no_findings = no_findings && findings.empty();
  }
  return no_findings ? ExitCode::kOk : ExitCode::kFindings;
}

ExitCode RunPublish(OperatorClient& client, const CommandOptions& options) {
  if (options.arguments.size() != 1) {
    return PrintUsage("publish FILE [--base REVISION] [--wait]");
  }
  const std::string& file = options.arguments[0];
  const auto text = ReadFile(file);
  if (!text) {
    return ExitCode::kUsage;
  }
  protocol::Findings findings;
  const auto document = protocol::ParseDocument(*text, &findings);
  std::cerr << findings.Report(file);
  if (!document) {
    return ExitCode::kFindings;
  }
  const std::string target = "/v1/config?service=" + document->service;
  const auto current = client.Get(target);
  if (!current && !options.base) {
    return ReportNoHost();
  }
  state::Revision base = options.base.value_or(0);
  if (!options.base) {
    base = current->at("revision").to_number<state::Revision>();
  }
  ReportedResult reported_result;
  const ExitCode code = AppendAndAwaitResult(
      client, options, state::DocumentRecord{base, *document, *text},
      &reported_result);
  if (code == ExitCode::kConflict) {
    const auto in_force = client.Get(target);
    if (in_force) {
      std::cerr << "Difference to the document in force:\n"
                << DiffDocuments(*text, StringField(*in_force, "text"));
    }
  }
  return code;
}

ExitCode RunStatus(OperatorClient& client, const CommandOptions& options) {
  const auto status = client.Get("/v1/status");
  if (!status) {
    return ReportNoHost();
  }
  if (options.json) {
    std::cout << json::serialize(*status) << '\n';
  } else {
    PrintStatus(*status);
  }
  return ExitCode::kOk;
}

ExitCode RunOwner(OperatorClient& client, const CommandOptions& options) {
  if (options.arguments.size() != 2) {
    return PrintUsage("owner SERVICE KEY");
  }
  const auto owner =
      client.Get("/v1/owner?service=" +
                 protocol::EncodeUrlComponent(options.arguments[0]) +
                 "&key=" + protocol::EncodeUrlComponent(options.arguments[1]));
  if (!owner) {
    return ReportNoHost();
  }
  if (options.json) {
    std::cout << json::serialize(*owner) << '\n';
  } else if (StringField(*owner, "server").empty()) {
    std::cout << "The key has no owner at present.\n";
  } else {
    std::cout << StringField(*owner, "server") << " under fence "
              << StringField(*owner, "fence") << '\n';
  }
  return ExitCode::kOk;
}

ExitCode RunZone(OperatorClient& client, const CommandOptions& options) {
  const auto in_service = options.arguments.size() == 2
                              ? ParseInService(options.arguments[0])
                              : std::nullopt;
  if (!in_service) {
    return PrintUsage("zone out|in ZONE [--wait]");
  }
  ReportedResult reported_result;
  return AppendAndAwaitResult(
      client, options, state::ZoneRecord{options.arguments[1], *in_service},
      &reported_result);
}

ExitCode RunHost(OperatorClient& client, const CommandOptions& options) {
  const auto in_service = options.arguments.size() == 2
                              ? ParseInService(options.arguments[0])
                              : std::nullopt;
  if (!in_service) {
    return PrintUsage("host out|in HOST [--wait]");
  }
  ReportedResult reported_result;
  return AppendAndAwaitResult(
      client, options, state::HostRecord{options.arguments[1], *in_service},
      &reported_result);
}

ExitCode RunResult(OperatorClient& client, const CommandOptions& options) {
  if (options.arguments.size() != 1) {
    return PrintUsage("result ID");
  }
  const auto result =
      client.AwaitResult(options.arguments[0], state::Duration(0));
  if (!result) {
    PrintOutcome(
        options, options.arguments[0], "unknown", 0,
        "No host knows the result. If no host knows it either once the log "
        "answers again, the change did not take effect.");
    return ExitCode::kUnknown;
  }
  PrintOutcome(
      options, options.arguments[0], result->outcome, result->revision,
      result->outcome + ", revision " + std::to_string(result->revision));
  return result->outcome == "accepted" ? ExitCode::kOk : ExitCode::kConflict;
}

ExitCode RunWatch(OperatorClient& client, const CommandOptions& options) {
  const bool terminal = isatty(STDOUT_FILENO) == 1;
  while (true) {
    if (terminal) {
      std::cout << "\x1b[H\x1b[2J";
    }
    const ExitCode code = RunStatus(client, options);
    if (code != ExitCode::kOk || !std::cout.flush()) {
      return code;
    }
    client.Sleep(kWatchPeriod);
  }
}

}  // namespace mustardflow::apps
