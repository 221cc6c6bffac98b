// The commands of the operators' client.

#ifndef MUSTARDFLOW_APPS_COMMANDS_H_
#define MUSTARDFLOW_APPS_COMMANDS_H_

#include <optional>
#include <string>
#include <vector>

#include "operator_client.h"
#include "state/config.h"

namespace mustardflow::apps {

// Exit codes of the client. docs/manual lists them for operators.
enum class ExitCode {
  kOk = 0,
  // The input has findings.
  kFindings = 1,
  kUsage = 2,
  // No host or no log answered.
  kUnreachable = 3,
  // Another change came first.
  kConflict = 4,
  // Whether the change took effect is unknown.
  kUnknown = 5,
  // Not all hosts have the change in force yet.
  kNotInForceEverywhere = 6,
};

struct CommandOptions {
  std::vector<std::string> arguments;
  bool json = false;
  bool wait = false;
  std::optional<state::Revision> base;
};

// Checks documents without publishing them.
ExitCode RunCheck(const CommandOptions& options);
// Publishes a document.
ExitCode RunPublish(OperatorClient& client, const CommandOptions& options);
// Shows services, hosts and zones.
ExitCode RunStatus(OperatorClient& client, const CommandOptions& options);
// Shows the owner of a key.
ExitCode RunOwner(OperatorClient& client, const CommandOptions& options);
// Takes a zone or a host out of service or back in.
ExitCode RunZone(OperatorClient& client, const CommandOptions& options);
ExitCode RunHost(OperatorClient& client, const CommandOptions& options);
// Settles an unknown outcome.
ExitCode RunResult(OperatorClient& client, const CommandOptions& options);
// Repeats the status until interrupted.
ExitCode RunWatch(OperatorClient& client, const CommandOptions& options);

}  // namespace mustardflow::apps

#endif  // MUSTARDFLOW_APPS_COMMANDS_H_
