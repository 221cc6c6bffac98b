// The JSON pages that an entry host on the platform serves to operators.

#ifndef MUSTARDFLOW_TRANSPORT_ENTRY_PAGES_H_
#define MUSTARDFLOW_TRANSPORT_ENTRY_PAGES_H_

#include <string>

#include "coordination/server_pool.h"
#include "state/host_profile.h"
#include "transport/http_client.h"
#include "transport/http_listener.h"
#include "transport/leader_duty.h"
#include "transport/request_relay.h"

namespace mustardflow::transport {

// The pages show what this host knows at the moment of the request; other hosts
// may know a newer table.
class EntryPages {
 public:
  EntryPages(const state::HostProfile& profile,
             const state::RoutingView& view,
             const coordination::ServerPool& pool,
             const LeaderDuty& leader)
      : profile_(profile), view_(view), pool_(pool), leader_(leader) {}

  // GET /v1/platform/status: version of the configuration, leader, servers and
  // ranges of keys.
  HttpReply Status(state::Instant now) const;
  // GET /v1/platform/owner?service=S&key=K: the range of the key, the server
  // that holds it, its fence and the state of that server.
  HttpReply Owner(state::Instant now, const HttpRequest& request) const;

 private:
  const state::HostProfile& profile_;
  const state::RoutingView& view_;
  const coordination::ServerPool& pool_;
  const LeaderDuty& leader_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_ENTRY_PAGES_H_
