// The command "trace": prints the timeline of one request from the logs of the
// hosts.

#ifndef MUSTARDFLOW_APPS_TRACE_COMMAND_H_
#define MUSTARDFLOW_APPS_TRACE_COMMAND_H_

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "commands.h"

namespace mustardflow::apps {

// Prints the events of request `id` in order of time, marked with an asterisk,
// and between them the events that belong to no request but may explain its
// outcome: those of the servers, keys and hosts concerned and of the leader, up
// to some seconds before and after the request. Returns whether the logs have
// any event of the request. Lines that are not events are skipped.
bool TraceRequest(const std::string& id,
                  const std::vector<std::istream*>& logs,
                  std::ostream& out);

// Runs "trace ID [FILE...]". Reads standard input if no file is given.
ExitCode RunTrace(const CommandOptions& options);

}  // namespace mustardflow::apps

#endif  // MUSTARDFLOW_APPS_TRACE_COMMAND_H_
