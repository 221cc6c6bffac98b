// The log thread of a host: reads and appends to the platform's log.

#ifndef MUSTARDFLOW_TRANSPORT_LOG_DUTY_H_
#define MUSTARDFLOW_TRANSPORT_LOG_DUTY_H_

#include <string>

#include "platform/log_client.h"
#include "transport/asio.h"
#include "transport/http_client.h"
#include "transport/logging.h"
#include "transport/ring.h"

namespace mustardflow::transport {

// Reads the stream of the log from its first record and pushes each page to the
// control thread. Appends the records of the control thread. Does not retry an
// append, because whether a record has taken effect is known only when the
// record is read back.
class LogDuty {
 public:
  LogDuty(const state::Address& log,
          const std::string& stream,
          Ring<platform::LogPage>* pages);

  // Queues a record to be appended. Must be called from the control thread.
  // Returns false and drops the record if too many appends are waiting.
  bool Append(std::string text) { return appends_.Push(std::move(text)); }

  // Runs until Stop().
  void Run();
  void Stop();

 private:
  awaitable<void> ReadLoop();
  awaitable<void> AppendRecord(std::string text);

  asio::io_context context_;
  HttpClient client_;
  platform::LogClient log_;
  Ring<platform::LogPage>* const pages_;
  Ring<std::string> appends_;
  const Logger logger_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_LOG_DUTY_H_
