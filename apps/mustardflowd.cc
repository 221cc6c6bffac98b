// The daemon of an entry host.
//
// The daemon runs three threads: the traffic thread forwards requests, the
// control thread applies the configuration and coordinates with other hosts,
// and the log thread reads and appends to the platform's log. The threads pass
// messages through rings.

#include <csignal>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include "protocol/settings_codec.h"
#include "transport/control_duty.h"
#include "transport/log_duty.h"
#include "transport/logging.h"
#include "transport/metrics.h"
#include "transport/traffic_duty.h"
#include "version.h"

namespace mustardflow {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 2;
constexpr int kExitSettings = 3;
constexpr int kExitListen = 4;
constexpr auto kDrainPollInterval = std::chrono::milliseconds(20);
// The other hosts need this time to learn that this host hands over its duties.
// Until it has passed since the start of the drain, this host still accepts
// connections of callers.
constexpr auto kHandOverDelay = std::chrono::milliseconds(1500);
// A drain lasts at least this long, unless its timeout or a second signal ends
// it, even if no request is under way. The duration exceeds kHandOverDelay, so
// that the connections that were accepted last are counted.
constexpr auto kMinDrainDuration = std::chrono::milliseconds(1700);
// From this long after its start, the drain ends as soon as no request is under
// way, even if callers keep their connections open.
constexpr auto kIdleConnectionTimeout = std::chrono::seconds(6);

// Runs the threads of a host from its start until it stops.
class Daemon {
 public:
  explicit Daemon(const state::HostSettings& settings)
      : settings_(settings),
        traffic_(settings, &metrics_),
        control_(settings, &metrics_, traffic_.commands(), traffic_.events()),
        log_(settings.log, settings.log_stream, control_.pages()),
        logger_("daemon") {
    control_.set_log(&log_);
  }

  // Starts the threads, waits for one of `signals`, drains the host and stops
  // the threads. `signals` must be blocked in the calling thread.
  void Run(const sigset_t& signals) {
    std::thread traffic([this] { traffic_.Run(); });
    std::thread control([this] { control_.Run(); });
    std::thread log([this] { log_.Run(); });
    logger_.Info("Host " + settings_.host + " has started.");
    int signal = 0;
    sigwait(&signals, &signal);
    logger_.Info("The host is stopping; it finishes the requests under way.");
    Drain(signals);
    log_.Stop();
    control_.Stop();
    traffic_.Stop();
    log.join();
    control.join();
    traffic.join();
    logger_.Info("Host " + settings_.host + " has stopped.");
  }

 private:
  // Hands over the duties, then waits until no request is under way and callers
  // have closed their connections. During the drain, an answer that no further
  // request follows asks the caller to close the connection. Connections that
  // are still open after kIdleConnectionTimeout do not prolong the drain if no
  // request is under way. The drain timeout of the settings or a second signal
  // ends the wait in any case.
  void Drain(const sigset_t& signals) {
    using Clock = std::chrono::steady_clock;
    control_.BeginDrain();
    traffic_.BeginDrain();
    const auto start = Clock::now();
    bool accepting = true;
    while (Clock::now() - start < settings_.drain_timeout) {
      const auto waited = Clock::now() - start;
      if (accepting && waited > kHandOverDelay) {
        traffic_.StopAccepting();
        accepting = false;
      }
      const bool idle = traffic_.requests_under_way() == 0;
      const bool closed = traffic_.caller_connections() == 0;
      if (!accepting && waited > kMinDrainDuration && idle &&
          (closed || waited > kIdleConnectionTimeout)) {
        return;
      }
      const timespec wait = {
          0, std::chrono::nanoseconds(kDrainPollInterval).count()};
      if (sigtimedwait(&signals, nullptr, &wait) > 0) {
        logger_.Warning(
            "A second signal has ended the drain; the host stops now.");
        return;
      }
    }
    logger_.Warning("The drain timeout has passed; the host stops now.");
  }

  const state::HostSettings settings_;
  transport::Metrics metrics_;
  transport::TrafficDuty traffic_;
  transport::ControlDuty control_;
  transport::LogDuty log_;
  const transport::Logger logger_;
};

// Reads and parses the settings, and prints findings to stderr. Returns nothing
// if the file cannot be read or the settings are invalid.
std::optional<state::HostSettings> LoadSettings(const std::string& file) {
  std::ifstream stream(file);
  if (!stream) {
    std::cerr << file
              << ": cannot be read; give the path of the settings file\n";
    return std::nullopt;
  }
  std::ostringstream text;
  text << stream.rdbuf();
  protocol::Findings findings;
  auto settings = protocol::ParseSettings(text.str(), &findings);
  std::cerr << findings.Report(file);
  return settings;
}

int Main(int argc, char** argv) {
  cxxopts::Options options("mustardflowd", "The daemon of an entry host.");
  options.add_options()("settings", "File with the host's settings.",
                        cxxopts::value<std::string>())(
      "check", "Check the settings and exit.")("help", "Print this text.")(
      "version", "Print the version.");
  cxxopts::ParseResult arguments;
  try {
    arguments = options.parse(argc, argv);
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << "mustardflowd: " << error.what() << "; see --help\n";
    return kExitUsage;
  }
  if (arguments.count("help")) {
    std::cout << options.help();
    return kExitOk;
  }
  if (arguments.count("version")) {
    std::cout << "mustardflowd " << kVersion << '\n';
    return kExitOk;
  }
  if (!arguments.count("settings")) {
    std::cerr << "mustardflowd: --settings is missing; see --help\n";
    return kExitUsage;
  }
  const auto settings = LoadSettings(arguments["settings"].as<std::string>());
  if (!settings) {
    return kExitSettings;
  }
  if (arguments.count("check")) {
    return kExitOk;
  }
  transport::StartLogging(transport::LogLevelFromName(settings->log_level),
                          settings->log_format);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Daemon(*settings).Run(signals);
  } catch (const boost::system::system_error& error) {
    std::cerr << "mustardflowd: cannot listen: " << error.what()
              << "; choose free addresses in /listen\n";
    return kExitListen;
  }
  return kExitOk;
}

}  // namespace

}  // namespace mustardflow

int main(int argc, char** argv) {
  return mustardflow::Main(argc, argv);
}
