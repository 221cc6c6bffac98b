// The settings of an entry host process of mustardflowd.

#ifndef MUSTARDFLOW_STATE_HOST_SETTINGS_H_
#define MUSTARDFLOW_STATE_HOST_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "state/document.h"
#include "state/time.h"

namespace mustardflow::state {

// Read from the settings file of the process.
struct HostSettings {
  // The host's name, unique among the entry hosts.
  std::string host;
  std::string zone;
  // Listeners for callers, for requests that other hosts forward, for orders
  // and heartbeats, and for operators.
  Address callers;
  Address peers;
  Address control;
  Address operators;
  // The platform's log service and the stream that holds the configuration.
  Address log;
  std::string log_stream;
  // The platform's host list.
  Address host_list;
  // Control addresses of hosts to contact at start, in addition to the host
  // list.
  std::vector<Address> seeds;
  // One of trace, debug, info, warning, error and fatal.
  std::string log_level = "info";
  // One of text and json.
  std::string log_format = "text";
  // Maximum sizes of the body and of the header of a request.
  std::size_t max_body_bytes = 1 << 20;
  std::size_t max_header_bytes = 16 << 10;
  // The maximum number of concurrent connections of callers.
  std::size_t max_caller_connections = 2000;
  // How long a stopping host waits for running requests to end.
  Duration drain_timeout = std::chrono::seconds(30);
  // The minimum interval between checkpoints of the configuration in the log.
  Duration checkpoint_interval = std::chrono::minutes(10);
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_HOST_SETTINGS_H_
