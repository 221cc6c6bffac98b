// The process of one backend server stand-in.

#include <csignal>
#include <cxxopts.hpp>
#include <iostream>

#include "protocol/object_reader.h"
#include "standins/backend_server.h"

namespace mustardflow::standins {

namespace {

int Main(int argc, char** argv) {
  cxxopts::Options options("standin-backend", "A backend server stand-in.");
  options.add_options()("name", "Name.", cxxopts::value<std::string>())(
      "address", "IP:PORT to listen on.", cxxopts::value<std::string>())(
      "slots", "Slots.", cxxopts::value<int>()->default_value("6"))(
      "work-us", "Work time of each request in microseconds.",
      cxxopts::value<int>()->default_value("5000"))(
      "answer-bytes", "Size of an answer's body in bytes.",
      cxxopts::value<std::size_t>()->default_value("1024"))(
      "warm-step",
      "Completed requests for each further slot of a cold server; "
      "0: the server is never cold.",
      cxxopts::value<int>()->default_value("0"))(
      "cold-factor", "Factor of the work time while the server is cold.",
      cxxopts::value<int>()->default_value("1"))(
      "journal", "File to which executions are appended.",
      cxxopts::value<std::string>()->default_value(""));
  const auto arguments = options.parse(argc, argv);
  const auto address =
      protocol::ParseAddress(arguments["address"].as<std::string>());
  if (!address) {
    std::cerr << "standin-backend: --address is not of the form IP:PORT\n";
    return 2;
  }
  BackendOptions backend;
  backend.name = arguments["name"].as<std::string>();
  backend.address = *address;
  backend.slots = arguments["slots"].as<int>();
  backend.work_time = std::chrono::microseconds(arguments["work-us"].as<int>());
  backend.answer_bytes = arguments["answer-bytes"].as<std::size_t>();
  backend.requests_per_warm_slot = arguments["warm-step"].as<int>();
  backend.cold_slowdown_factor = arguments["cold-factor"].as<int>();
  backend.journal = arguments["journal"].as<std::string>();
  std::signal(SIGPIPE, SIG_IGN);
  transport::asio::io_context context(1);
  BackendServer server(context.get_executor(), backend);
  server.Start();
  context.run();
  return 0;
}

}  // namespace

}  // namespace mustardflow::standins

int main(int argc, char** argv) {
  return mustardflow::standins::Main(argc, argv);
}
