// The main program of an entry host on the platform. Takes the path of the
// settings file from the environment, and runs until SIGTERM.

#include <malloc.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "platform/settings_file.h"
#include "transport/asio.h"
#include "transport/entry_host.h"
#include "transport/event_log.h"

namespace {

// Exit status if the settings are missing or invalid.
constexpr int kInvalidSettingsStatus = 2;
// Memory blocks from this size on are mapped one by one and go back to the
// system when they are freed. Without a fixed size, the allocator raises it to
// that of the largest block freed, and keeps such blocks.
constexpr int kMapBytes = 128 << 10;
// The free memory that the allocator keeps at the end of its heap.
constexpr int kKeptBytes = 1 << 20;

std::string ReadFile(const char* path) {
  std::ifstream stream(path);
  std::ostringstream text;
  text << stream.rdbuf();
  return text.str();
}

}  // namespace

int main() {
  using mustardflow::platform::kSettingsVariable;
  const char* path = std::getenv(kSettingsVariable);
  if (path == nullptr) {
    std::cerr << kSettingsVariable
              << " is not set; set it to the path of the settings file\n";
    return kInvalidSettingsStatus;
  }
  mustardflow::protocol::Findings findings;
  auto profile =
      mustardflow::platform::ParseSettingsFile(ReadFile(path), &findings);
  if (!profile) {
    std::cerr << findings.Report(path);
    return kInvalidSettingsStatus;
  }
  mallopt(M_MMAP_THRESHOLD, kMapBytes);
  mallopt(M_TRIM_THRESHOLD, kKeptBytes);
  std::signal(SIGPIPE, SIG_IGN);
  // The concurrency hint 1 says that one thread runs the context, so that Asio
  // can leave out locks.
  mustardflow::transport::asio::io_context context(1);
  mustardflow::transport::EventLog log(STDOUT_FILENO, profile->name);
  const auto reload = [path] {
    mustardflow::protocol::Findings findings;
    return mustardflow::platform::ParseSettingsFile(ReadFile(path), &findings);
  };
  mustardflow::transport::EntryHost host(context, std::move(*profile), reload,
                                         log);
  host.Start();
  context.run();
  return 0;
}
