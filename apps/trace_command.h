// The story of one request, from the hosts' logs.

#ifndef MUSTARDFLOW_APPS_TRACE_COMMAND_H_
#define MUSTARDFLOW_APPS_TRACE_COMMAND_H_

#include <istream>
#include <ostream>
#include <string>
#include <vector>

#include "commands.h"

namespace mustardflow::apps {

// Prints the events of the request `id` out of the logs in order of time, and
// what the hosts learned of the servers concerned in the seconds before and
// after. Returns whether there was any event of the request. Lines that are no
// events are skipped.
bool TraceRequest(const std::string& id,
                  const std::vector<std::istream*>& logs,
                  std::ostream& out);

// Runs "trace ID [FILE...]"; reads standard input without a file.
ExitCode RunTrace(const CommandOptions& options);

}  // namespace mustardflow::apps

#endif  // MUSTARDFLOW_APPS_TRACE_COMMAND_H_
