// A client of the platform's append-only log service.
//
// The wire format is that of the platform stand-in in the folder standins; only
// the folder src/platform depends on it. POST /streams/NAME/records appends the
// request body; the response is {"offset": N}. The response to GET
// /streams/NAME/records?from=N&wait_ms=W is
// {"first": F, "next": X, "records": [{"offset": N, "data": "TEXT"}, ...]}. If
// there are no records yet, the service waits for them for at most W
// milliseconds.

#ifndef MUSTARDFLOW_PLATFORM_LOG_CLIENT_H_
#define MUSTARDFLOW_PLATFORM_LOG_CLIENT_H_

#include <optional>
#include <string>
#include <vector>

#include "state/config.h"
#include "state/document.h"
#include "state/time.h"
#include "transport/http_client.h"

namespace mustardflow::platform {

// One record of the log.
struct LogEntry {
  state::LogOffset offset = 0;
  std::string text;
};

// The result of one read.
struct LogPage {
  // The oldest offset that the log retains.
  state::LogOffset first = 0;
  // The offset at which to continue reading.
  state::LogOffset next = 0;
  std::vector<LogEntry> entries;
};

// Reads and appends records of one stream. Not thread-safe.
class LogClient {
 public:
  LogClient(transport::HttpClient* client,
            state::Address address,
            std::string stream);

  // Returns the records from offset `from` on, or nullopt if the request fails
  // or the response is invalid. Waits for records for at most `wait`.
  transport::awaitable<std::optional<LogPage>> Read(state::LogOffset from,
                                                    state::Duration wait);

  // Returns the offset of the record. On nullopt it is unknown whether the
  // record has been appended.
  transport::awaitable<std::optional<state::LogOffset>> Append(
      std::string text);

 private:
  transport::HttpClient* const client_;
  const state::Address address_;
  const std::string path_;
};

}  // namespace mustardflow::platform

#endif  // MUSTARDFLOW_PLATFORM_LOG_CLIENT_H_
