// The commands of the operators' client, except "trace".

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
  // A document to check or to publish has findings. A document with findings is
  // not published.
  kFindings = 1,
  // The command line is wrong, or a file cannot be read.
  kUsage = 2,
  // No host answered.
  kUnreachable = 3,
  // The change was not accepted: another change came before it, or it is
  // invalid in the current state.
  kConflict = 4,
  // No host has reported the result of the change in time, so whether it took
  // effect is unknown; or no log has an event of the request to trace.
  kUnknown = 5,
  // The change is accepted, but not all live hosts had it in force in time.
  kNotInForceEverywhere = 6,
};

// The arguments and flags of a command.
struct CommandOptions {
  // The positional arguments after the name of the command.
  std::vector<std::string> arguments;
  // Whether to print JSON.
  bool json = false;
  // Whether to wait until an accepted change is in force on every live host.
  bool wait = false;
  // The revision that a published document replaces. If absent, the document
  // replaces the revision that a host reports as current.
  std::optional<state::Revision> base;
};

// Checks documents without publishing them, and prints their findings.
ExitCode RunCheck(const CommandOptions& options);
// Publishes a document as a new revision of its service. On a conflict, prints
// how the document differs from the one in force.
ExitCode RunPublish(OperatorClient& client, const CommandOptions& options);
// Prints the services with their servers, the hosts and the zones.
ExitCode RunStatus(OperatorClient& client, const CommandOptions& options);
// Prints the server that owns a key and the fence of its grant.
ExitCode RunOwner(OperatorClient& client, const CommandOptions& options);
// Takes a zone out of service or back in.
ExitCode RunZone(OperatorClient& client, const CommandOptions& options);
// Takes an entry host out of service or back in.
ExitCode RunHost(OperatorClient& client, const CommandOptions& options);
// Prints the result of an earlier change of a document, zone or host by the id
// of the change's record.
ExitCode RunResult(OperatorClient& client, const CommandOptions& options);
// Prints the status again and again, one second after the previous output,
// until no host answers, the output fails or the process is interrupted.
ExitCode RunWatch(OperatorClient& client, const CommandOptions& options);

}  // namespace mustardflow::apps

#endif  // MUSTARDFLOW_APPS_COMMANDS_H_
