// The HTTP pages of a host for operators.

#ifndef MUSTARDFLOW_TRANSPORT_OPERATOR_PAGES_H_
#define MUSTARDFLOW_TRANSPORT_OPERATOR_PAGES_H_

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "coordination/host_directory.h"
#include "protocol/message_codec.h"
#include "state/config_fold.h"
#include "state/host_entry.h"
#include "transport/http_client.h"
#include "transport/http_listener.h"

namespace mustardflow::transport {

// The state of the control thread that the pages show. Refers to members of
// ControlDuty and must not outlive them.
struct OperatorView {
  const std::string& host;
  const state::ConfigFold& fold;
  const coordination::HostDirectory& directory;
  const std::vector<state::HostEntry>& live_hosts;
  // The newest routes by service. Null if the host knows no routes of the
  // service yet.
  std::map<std::string, std::shared_ptr<const protocol::RoutesMessage>> routes;
};

// Answers GET /livez, /readyz, /v1/status, /v1/owner, /v1/result and
// /v1/config with JSON.
class OperatorPages {
 public:
  // `view` must outlive this object.
  OperatorPages(const OperatorView& view, state::Instant now);

  // Returns the page for `request`, or status 404 for an unknown path.
  HttpReply Answer(const HttpRequest& request) const;

 private:
  HttpReply Ready() const;
  HttpReply Status() const;
  HttpReply Owner(const HttpRequest& request) const;
  HttpReply Result(const HttpRequest& request) const;
  HttpReply Config(const HttpRequest& request) const;

  const OperatorView& view_;
  const state::Instant now_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_OPERATOR_PAGES_H_
