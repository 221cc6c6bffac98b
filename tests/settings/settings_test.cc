// Validation of the settings of a host: the shipped example is valid, and each
// invalid file in tests/settings/bad has the findings in the text file of the
// same name.

#include <catch2/catch.hpp>
#include <string>

#include "protocol/settings_codec.h"
#include "tests/support/expected_text.h"

namespace mustardflow::tests {

namespace {

const std::filesystem::path kSourceDir = MUSTARDFLOW_SOURCE_DIR;

std::string FormatFindings(const std::filesystem::path& file) {
  protocol::Findings findings;
  protocol::ParseSettings(ReadText(file), &findings);
  return findings.Report(file.filename().string());
}

}  // namespace

TEST_CASE("the example settings have no findings") {
  CHECK(FormatFindings(kSourceDir / "examples/host.json").empty());
}

TEST_CASE("each invalid settings file gives exactly the expected findings",
          "[Z4]") {
  const auto cases = CasesIn(kSourceDir / "tests/settings/bad");
  REQUIRE_FALSE(cases.empty());
  for (const auto& file : cases) {
    auto expected = file;
    expected.replace_extension(".txt");
    INFO(file);
    CHECK(FormatFindings(file) == ReadText(expected));
  }
}

}  // namespace mustardflow::tests
