// The command-line client for operators.

#include <cxxopts.hpp>
#include <functional>
#include <iostream>
#include <map>
#include <sstream>

#include "commands.h"
#include "protocol/object_reader.h"
#include "trace_command.h"
#include "version.h"

namespace mustardflow::apps {

namespace {

constexpr char kCommandHelp[] =
    "Commands:\n"
    "  check FILE...         check documents without publishing them\n"
    "  publish FILE          publish a document as a new revision\n"
    "  status                show services, servers, hosts and zones\n"
    "  owner SERVICE KEY     show the server that owns a key\n"
    "  zone out|in ZONE      take a zone out of service or back in\n"
    "  host out|in HOST      take an entry host out of service or back in\n"
    "  result ID             show the result of a change\n"
    "  watch                 repeat the status each second\n"
    "  trace ID [FILE...]    show a request's timeline from the hosts' logs\n"
    "\n"
    "Exit codes: 0 done, 1 findings, 2 usage, 3 unreachable, 4 conflict,\n"
    "5 unknown, 6 not in force everywhere yet.\n";

using Command = std::function<ExitCode(OperatorClient&, const CommandOptions&)>;

// The commands that need a client for hosts and for the log.
const std::map<std::string, Command>& ClientCommands() {
  static const std::map<std::string, Command> commands = {
      {"publish", RunPublish}, {"status", RunStatus}, {"owner", RunOwner},
      {"zone", RunZone},       {"host", RunHost},     {"result", RunResult},
      {"watch", RunWatch}};
  return commands;
}

// Parses all texts as addresses. If one is invalid, prints an error and returns
// nothing.
std::optional<std::vector<state::Address>> ParseAddresses(
    const std::vector<std::string>& texts) {
  std::vector<state::Address> addresses;
  for (const std::string& text : texts) {
    const auto address = protocol::ParseAddress(text);
    if (!address) {
      std::cerr << "mustardflow: \"" << text
                << "\" is not an address; use the form IP:PORT\n";
      return std::nullopt;
    }
    addresses.push_back(*address);
  }
  return addresses;
}

cxxopts::Options MakeOptions() {
  cxxopts::Options options("mustardflow",
                           "The command-line client for operators.");
  options.add_options()(
      "host", "Operators address of a host; may be given several times.",
      cxxopts::value<std::vector<std::string>>()->default_value(
          "127.0.0.1:20401"))(
      "log", "Address of the log service.",
      cxxopts::value<std::string>()->default_value("127.0.0.1:20001"))(
      "stream", "Stream of the log.",
      cxxopts::value<std::string>()->default_value("mustardflow"))(
      "base", "Revision that the document replaces.",
      cxxopts::value<state::Revision>())(
      "wait", "Wait until the change is in force on every live host.")(
      "json", "Print JSON.")("help", "Print this text.")("version",
                                                         "Print the version.")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  options.positional_help("COMMAND [ARGUMENT...]");
  return options;
}

ExitCode RunCommand(const cxxopts::ParseResult& parsed) {
  auto words = parsed["words"].as<std::vector<std::string>>();
  const std::string name = words.front();
  words.erase(words.begin());
  CommandOptions options;
  options.arguments = words;
  options.json = parsed.count("json") > 0;
  options.wait = parsed.count("wait") > 0;
  if (parsed.count("base")) {
    options.base = parsed["base"].as<state::Revision>();
  }
  if (name == "check") {
    return RunCheck(options);
  }
  if (name == "trace") {
    return RunTrace(options);
  }
  const auto command = ClientCommands().find(name);
  if (command == ClientCommands().end()) {
    std::cerr << "mustardflow: unknown command \"" << name
              << "\"; see --help\n";
    return ExitCode::kUsage;
  }
  const auto hosts =
      ParseAddresses(parsed["host"].as<std::vector<std::string>>());
  const auto log = ParseAddresses({parsed["log"].as<std::string>()});
  if (!hosts || !log) {
    return ExitCode::kUsage;
  }
  OperatorClient client(*hosts, log->front(),
                        parsed["stream"].as<std::string>());
  return command->second(client, options);
}

int Main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  try {
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("version")) {
      std::cout << "mustardflow " << kVersion << '\n';
      return 0;
    }
    if (parsed.count("help") || !parsed.count("words")) {
      std::cout << options.help() << '\n' << kCommandHelp;
      return static_cast<int>(parsed.count("help") ? ExitCode::kOk
                                                   : ExitCode::kUsage);
    }
    return static_cast<int>(RunCommand(parsed));
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "mustardflow: " << error.what() << "; see --help\n";
    return static_cast<int>(ExitCode::kUsage);
  }
}

}  // namespace

}  // namespace mustardflow::apps

int main(int argc, char** argv) {
  return mustardflow::apps::Main(argc, argv);
}
