// A client of the platform's list of live and leaving hosts.
//
// The wire format is that of the platform stand-in in the folder standins. The
// response to GET /hosts is
// {"hosts": [{"name", "zone", "control", "peers", "leaving"}, ...]}.

#ifndef MUSTARDFLOW_PLATFORM_HOST_LIST_CLIENT_H_
#define MUSTARDFLOW_PLATFORM_HOST_LIST_CLIENT_H_

#include <optional>
#include <vector>

#include "state/document.h"
#include "state/host_entry.h"
#include "transport/http_client.h"

namespace mustardflow::platform {

// Reads the host list over HTTP.
class HostListClient {
 public:
  HostListClient(transport::HttpClient* client, state::Address address);

  // Returns the hosts, or nullopt if the request fails or the response is
  // invalid.
  transport::awaitable<std::optional<std::vector<state::HostEntry>>> Read();

 private:
  transport::HttpClient* const client_;
  const state::Address address_;
};

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_HOST_LIST_CLIENT_H_
