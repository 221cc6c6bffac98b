// The process of the log service stand-in and the host list stand-in.

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "protocol/object_reader.h"
#include "standins/log_service.h"

namespace mustardflow::standins {

namespace {

int Main(int argc, char** argv) {
  cxxopts::Options options(
      "standin-platform",
      "Stand-ins for the platform's log service and host list.");
  options.add_options()("log", "IP:PORT of the log service.",
                        cxxopts::value<std::string>())(
      "host-list", "IP:PORT of the host list.", cxxopts::value<std::string>());
  const auto arguments = options.parse(argc, argv);
  const auto log = protocol::ParseAddress(arguments["log"].as<std::string>());
  const auto hosts =
      protocol::ParseAddress(arguments["host-list"].as<std::string>());
  if (!log || !hosts) {
    std::cerr << "standin-platform: --log or --host-list is not of the form "
                 "IP:PORT\n";
    return 2;
  }
  std::signal(SIGPIPE, SIG_IGN);
  transport::asio::io_context context(1);
  LogService log_service(context.get_executor(), *log);
  HostListService host_list(context.get_executor(), *hosts);
  log_service.Start();
  host_list.Start();
  context.run();
  return 0;
}

}  // namespace

}  // namespace mustardflow::standins

int main(int argc, char** argv) {
  return mustardflow::standins::Main(argc, argv);
}
