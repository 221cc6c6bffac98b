// A pipe for an event log to write into.

#ifndef MUSTARDFLOW_TESTS_SUPPORT_LOG_PIPE_H_
#define MUSTARDFLOW_TESTS_SUPPORT_LOG_PIPE_H_

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <string>

namespace mustardflow::tests {

class LogPipe {
 public:
  // Throws if there is no pipe, which fails the test.
  LogPipe() {
    if (::pipe(ends_.data()) != 0) {
      throw std::runtime_error("no pipe for the log");
    }
    ::fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~LogPipe() {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }
  LogPipe(const LogPipe&) = delete;
  LogPipe& operator=(const LogPipe&) = delete;

  int writer() const { return ends_[1]; }
  // Returns what has arrived since the last call.
  std::string Read() {
    std::string text(1 << 20, '\0');
    const ssize_t size = ::read(ends_[0], text.data(), text.size());
    text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
    return text;
  }

 private:
  std::array<int, 2> ends_{};
};

}  // namespace mustardflow::tests

#endif  // MUSTARDFLOW_TESTS_SUPPORT_LOG_PIPE_H_
