// The thread that reads and appends to the platform's log.

#ifndef MUSTARDFLOW_TRANSPORT_LOG_DUTY_H_
#define MUSTARDFLOW_TRANSPORT_LOG_DUTY_H_

#include <string>

#include "platform/log_client.h"
#include "transport/asio.h"
#include "transport/http_client.h"
#include "transport/logging.h"
#include "transport/ring.h"

namespace mustardflow::transport {

// Reads the stream from its first record on and pushes each page to the control
// thread. Appends what the control thread asks for, once each; whether a record
// took effect shows when it is read.
class LogDuty {
 public:
  LogDuty(const state::Address& log,
          const std::string& stream,
          Ring<platform::LogPage>* pages);

  // Asks for an append, from the control thread. Returns false if too many
  // are waiting.
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
