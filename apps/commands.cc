// Commands: each asks, changes or checks one thing and prints the answer.

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

constexpr state::Duration kSettleTime = std::chrono::seconds(5);
constexpr state::Duration kWaitTime = std::chrono::seconds(18);
constexpr state::Duration kPollPause = std::chrono::milliseconds(50);
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

ExitCode Usage(const std::string& text) {
  std::cerr << "mustardflow: usage: mustardflow " << text << '\n';
  return ExitCode::kUsage;
}

ExitCode NoHost() {
  std::cerr << "mustardflow: no host answers; give the operators address of a "
               "live host with --host\n";
  return ExitCode::kUnreachable;
}

std::string Text(const json::value& value, std::string_view field) {
  return std::string(value.at(field).as_string());
}

void PrintOutcome(const CommandOptions& options,
                  const std::string& id,
                  const std::string& outcome,
                  state::Revision revision,
                  const std::string& sentence) {
  if (options.json) {
    std::cout << json::serialize(json::object{
                     {"id", id}, {"outcome", outcome}, {"revision", revision}})
              << '\n';
  } else {
    std::cout << sentence << '\n';
  }
}

// Lines that stand in only one of two texts, in the form of a short diff.
std::string DiffLines(const std::string& ours, const std::string& theirs) {
  const auto lines = [](const std::string& text) {
    std::vector<std::string> result;
    std::istringstream stream(text);
    for (std::string line; std::getline(stream, line);) {
      result.push_back(line);
    }
    return result;
  };
  const auto left = lines(ours);
  const auto right = lines(theirs);
  const auto missing = [](const auto& from, const auto& in,
                          const std::string& mark) {
    std::string text;
    for (const std::string& line : from) {
      if (std::find(in.begin(), in.end(), line) == in.end()) {
        text += mark + line + "\n";
      }
    }
    return text;
  };
  return missing(right, left, "- ") + missing(left, right, "+ ");
}

// Waits until every live host has the revision in force.
ExitCode WaitEverywhere(OperatorClient& client,
                        const std::string& target,
                        state::Revision revision) {
  const auto status = client.Get("/v1/status");
  if (!status) {
    return NoHost();
  }
  std::vector<std::pair<std::string, state::Address>> pending;
  for (const auto& host : status->at("hosts").as_object()) {
    const auto address =
        protocol::ParseAddress(Text(host.value(), "operators"));
    if (address) {
      pending.emplace_back(std::string(host.key()), *address);
    }
  }
  for (state::Duration waited{0}; waited < kWaitTime; waited += kPollPause) {
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
    client.Sleep(kPollPause);
  }
  for (const auto& [name, address] : pending) {
    std::cerr << "Not in force yet on host " << name << ".\n";
  }
  return ExitCode::kNotInForceEverywhere;
}

// Appends a record and tells what became of it.
ExitCode AppendAndSettle(OperatorClient& client,
                         const CommandOptions& options,
                         state::RecordBody body,
                         ReportedResult* settled) {
  const state::Record record{NewRecordId(), std::move(body)};
  const bool acknowledged = client.Append(record);
  const auto result = client.AwaitResult(record.id, kSettleTime);
  if (!result) {
    const std::string sentence =
        std::string(acknowledged ? "The log has the change, but no host has "
                                   "read it yet."
                                 : "Unknown: the log did not answer.") +
        " Settle it with: mustardflow result " + record.id;
    PrintOutcome(options, record.id, "unknown", 0, sentence);
    return ExitCode::kUnknown;
  }
  *settled = *result;
  const std::string revision = std::to_string(result->revision);
  if (result->outcome != "accepted") {
    PrintOutcome(options, record.id, result->outcome, result->revision,
                 "Conflict: revision " + revision + " came first.");
    return ExitCode::kConflict;
  }
  PrintOutcome(options, record.id, result->outcome, result->revision,
               "Accepted as revision " + revision + ".");
  if (options.wait) {
    return WaitEverywhere(client, "/v1/status", result->revision);
  }
  return ExitCode::kOk;
}

void PrintStatus(const json::value& status) {
  std::cout << "asked host " << Text(status, "host") << ", log position "
            << status.at("position") << '\n';
  for (const auto& service : status.at("services").as_object()) {
    const json::value& value = service.value();
    std::cout << "service " << service.key() << ": revision "
              << value.at("revision") << ", coordinator "
              << Text(value, "coordinator") << ", unowned slices "
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
              << std::string(host.key()) << Text(host.value(), "zone")
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

// Reads "out" or "in"; nothing for other words.
std::optional<bool> ParseSwitch(const std::string& word) {
  if (word == "out") {
    return false;
  }
  if (word == "in") {
    return true;
  }
  return std::nullopt;
}

}  // namespace

ExitCode RunCheck(const CommandOptions& options) {
  if (options.arguments.empty()) {
    return Usage("check FILE...");
  }
  bool clean = true;
  for (const std::string& file : options.arguments) {
    const auto text = ReadFile(file);
    if (!text) {
      return ExitCode::kUsage;
    }
    protocol::Findings findings;
    protocol::ParseDocument(*text, &findings);
    std::cout << findings.Report(file);
    clean = clean && findings.empty();
  }
  return clean ? ExitCode::kOk : ExitCode::kFindings;
}

ExitCode RunPublish(OperatorClient& client, const CommandOptions& options) {
  if (options.arguments.size() != 1) {
    return Usage("publish FILE [--base REVISION] [--wait]");
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
    return NoHost();
  }
  state::Revision base = options.base.value_or(0);
  if (!options.base) {
    base = current->at("revision").to_number<state::Revision>();
  }
  ReportedResult settled;
  const ExitCode code = AppendAndSettle(
      client, options, state::DocumentRecord{base, *document, *text}, &settled);
  if (code == ExitCode::kConflict) {
    const auto winner = client.Get(target);
    if (winner) {
      std::cerr << "Difference to the document in force:\n"
                << DiffLines(*text, Text(*winner, "text"));
    }
  }
  return code;
}

ExitCode RunStatus(OperatorClient& client, const CommandOptions& options) {
  const auto status = client.Get("/v1/status");
  if (!status) {
    return NoHost();
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
    return Usage("owner SERVICE KEY");
  }
  const auto owner =
      client.Get("/v1/owner?service=" +
                 protocol::EncodeUrlComponent(options.arguments[0]) +
                 "&key=" + protocol::EncodeUrlComponent(options.arguments[1]));
  if (!owner) {
    return NoHost();
  }
  if (options.json) {
    std::cout << json::serialize(*owner) << '\n';
  } else if (Text(*owner, "server").empty()) {
    std::cout << "The key has no owner at present.\n";
  } else {
    std::cout << Text(*owner, "server") << " under fence "
              << Text(*owner, "fence") << '\n';
  }
  return ExitCode::kOk;
}

ExitCode RunZone(OperatorClient& client, const CommandOptions& options) {
  const auto in_service = options.arguments.size() == 2
                              ? ParseSwitch(options.arguments[0])
                              : std::nullopt;
  if (!in_service) {
    return Usage("zone out|in ZONE [--wait]");
  }
  ReportedResult settled;
  return AppendAndSettle(client, options,
                         state::ZoneRecord{options.arguments[1], *in_service},
                         &settled);
}

ExitCode RunHost(OperatorClient& client, const CommandOptions& options) {
  const auto in_service = options.arguments.size() == 2
                              ? ParseSwitch(options.arguments[0])
                              : std::nullopt;
  if (!in_service) {
    return Usage("host out|in HOST [--wait]");
  }
  ReportedResult settled;
  return AppendAndSettle(client, options,
                         state::HostRecord{options.arguments[1], *in_service},
                         &settled);
}

ExitCode RunResult(OperatorClient& client, const CommandOptions& options) {
  if (options.arguments.size() != 1) {
    return Usage("result ID");
  }
  const auto result =
      client.AwaitResult(options.arguments[0], state::Duration(0));
  if (!result) {
    PrintOutcome(options, options.arguments[0], "unknown", 0,
                 "No host knows the result. If the log answers again and this "
                 "stays so, the change did not take effect.");
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
