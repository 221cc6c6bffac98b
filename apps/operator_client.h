// Client for the operator pages of hosts and for the log service.

#ifndef MUSTARDFLOW_APPS_OPERATOR_CLIENT_H_
#define MUSTARDFLOW_APPS_OPERATOR_CLIENT_H_

#include <boost/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "platform/log_client.h"
#include "state/config.h"
#include "transport/http_client.h"

namespace mustardflow::apps {

// The result of a record as a host reports it.
struct ReportedResult {
  // The name of a state::RecordOutcome, such as "accepted".
  std::string outcome;
  // The current revision of the item after the record.
  state::Revision revision = 0;
};

// Queries the operator pages of hosts and appends records to the log. Each call
// blocks the calling thread.
class OperatorClient {
 public:
  OperatorClient(std::vector<state::Address> hosts,
                 const state::Address& log,
                 const std::string& stream);

  // Sends a GET request for `target` to each host in turn until one answers
  // with success, and returns its JSON body. Returns nothing if no host does.
  std::optional<boost::json::value> Get(const std::string& target);
  // Sends a GET request to one host only. Returns nothing if the host does not
  // answer in time, answers with an error, or sends invalid JSON.
  std::optional<boost::json::value> GetFrom(const state::Address& host,
                                            const std::string& target);

  // Appends the record and returns whether the log has acknowledged it. If not,
  // the log may still contain the record, if only the answer was lost.
  bool Append(const state::Record& record);

  // Waits until a host knows the result of the record with this id. Asks the
  // hosts at least once. Returns nothing if none knows it within `timeout`.
  std::optional<ReportedResult> AwaitResult(const std::string& id,
                                            state::Duration timeout);

  void Sleep(state::Duration duration);

 private:
  transport::asio::io_context context_;
  const std::vector<state::Address> hosts_;
  transport::HttpClient client_;
  platform::LogClient log_;
};

// Returns a random UUID as the id of a new record.
std::string NewRecordId();

}  // namespace mustardflow::apps

#endif  // MUSTARDFLOW_APPS_OPERATOR_CLIENT_H_
