// What an operator's command asks of hosts and of the log.

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

// The result of a record, as a host tells it.
struct ReportedResult {
  std::string outcome;
  state::Revision revision = 0;
};

// Speaks to the first host that answers, and to the log. Each call blocks.
class OperatorClient {
 public:
  OperatorClient(std::vector<state::Address> hosts,
                 const state::Address& log,
                 const std::string& stream);

  // Asks the hosts in turn; returns nothing if none answers with success.
  std::optional<boost::json::value> Get(const std::string& target);
  // Asks one host.
  std::optional<boost::json::value> GetFrom(const state::Address& host,
                                            const std::string& target);

  // Appends the record; returns whether the log has acknowledged it.
  bool Append(const state::Record& record);

  // Waits until a host knows the result of the record with this id.
  std::optional<ReportedResult> AwaitResult(const std::string& id,
                                            state::Duration limit);

  void Sleep(state::Duration duration);

 private:
  transport::asio::io_context context_;
  const std::vector<state::Address> hosts_;
  transport::HttpClient client_;
  platform::LogClient log_;
};

// A new id for a record.
std::string NewRecordId();

}  // namespace mustardflow::apps

#endif  // MUSTARDFLOW_APPS_OPERATOR_CLIENT_H_
