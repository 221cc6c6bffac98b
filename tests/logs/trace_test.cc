// Tests of the command "trace", the event log and the documentation of metrics.

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

#include "apps/trace_command.h"
#include "tests/support/expected_text.h"
#include "tests/support/log_pipe.h"
#include "transport/entry_metrics.h"
#include "transport/event_log.h"

namespace mustardflow::tests {

namespace {

constexpr char kLogs[] =
    "12.5 b {\"time_ms\":1000,\"host\":\"b\",\"part\":\"servers\","
    "\"event\":\"gone\",\"server\":\"i-1\"}\n"
    "{\"time_ms\":1010,\"host\":\"a\",\"part\":\"request\","
    "\"event\":\"attempt-lost\",\"id\":\"x\",\"server\":\"i-1\",\"age_ms\":80}"
    "\n"
    "not an event\n"
    "{\"time_ms\":1011,\"host\":\"a\",\"part\":\"request\","
    "\"event\":\"unknown\",\"id\":\"y\",\"reason\":\"attempt-lost\"}\n"
    "{\"time_ms\":1012,\"host\":\"a\",\"part\":\"request\","
    "\"event\":\"unknown\",\"id\":\"x\",\"reason\":\"attempt-lost\"}\n"
    "{\"time_ms\":9000,\"host\":\"b\",\"part\":\"servers\","
    "\"event\":\"entry\",\"server\":\"i-1\"}\n";

}  // namespace

TEST_CASE("a trace has the events of the request and of its servers in order") {
  std::istringstream logs(kLogs);
  std::ostringstream out;
  REQUIRE(apps::TraceRequest("x", {&logs}, out));
  CHECK(out.str() ==
        "  -10 ms  b  servers  gone  server=i-1\n"
        "* +0 ms  a  request  attempt-lost  server=i-1  age_ms=80\n"
        "* +2 ms  a  request  unknown  reason=attempt-lost\n");
}

TEST_CASE("a request without events has no trace") {
  std::istringstream logs(kLogs);
  std::ostringstream out;
  CHECK_FALSE(apps::TraceRequest("z", {&logs}, out));
  CHECK(out.str().empty());
}

TEST_CASE(
    "events are JSON lines; those beyond the rate limit of their event are "
    "dropped and counted") {
  LogPipe pipe;
  transport::EventLog log(pipe.writer(), "host-1");
  state::Instant now(std::chrono::seconds(10));
  log.Flush(now);
  for (int i = 0; i < 50; ++i) {
    log.Write(transport::LogPart::kRequest, "refused",
              {{"id", std::string_view("quote\" and \n")},
               {"age_ms", std::int64_t{i}}});
  }
  now += std::chrono::seconds(2);
  log.Flush(now);
  const std::string text = pipe.Read();
  CHECK(std::count(text.begin(), text.end(), '\n') == 21);
  CHECK(text.find(R"("part":"request","event":"refused",)"
                  R"("id":"quote\" and \n","age_ms":0})") != std::string::npos);
  CHECK(text.find(R"("of":"refused","lines":30})") != std::string::npos);
  CHECK(log.suppressed() == 30);
}

TEST_CASE("the event log does not block when its pipe is full") {
  LogPipe pipe;
  transport::EventLog log(pipe.writer(), "host-1");
  state::Instant now(std::chrono::seconds(10));
  for (int second = 0; second < 300; ++second) {
    now += std::chrono::seconds(1);
    log.Flush(now);
    for (int i = 0; i < 20; ++i) {
      log.Write(transport::LogPart::kRequest, "refused",
                {{"id", std::string_view("a request with a long name")}});
    }
  }
  CHECK(log.suppressed() > 0);
}

TEST_CASE("the metrics documentation lists exactly the metrics served") {
  const std::string page =
      ReadText(std::filesystem::path(MUSTARDFLOW_SOURCE_DIR) /
               "docs/operate/metrics.md");
  transport::EntryMetrics metrics;
  metrics.ObserveRequest("r", "answered", std::chrono::milliseconds(5));
  metrics.CountAnswer(200, "server", "");
  metrics.CountCallerLeft("waiting", false);
  metrics.CountOrganisationRequest("other", true);
  const std::string served = metrics.Page();
  const std::regex type("# TYPE (mustardflow_\\w+)");
  const std::regex listed("\\| `(mustardflow_\\w+)` \\|");
  const auto names = [](const std::string& text, const std::regex& pattern) {
    std::set<std::string> found;
    for (std::sregex_iterator match(text.begin(), text.end(), pattern), end;
         match != end; ++match) {
      found.insert((*match)[1]);
    }
    return found;
  };
  CHECK(names(page, listed) == names(served, type));
}

}  // namespace mustardflow::tests
