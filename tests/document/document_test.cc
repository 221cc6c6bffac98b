// Validation of service documents: the shipped examples are valid, and each
// invalid document in tests/document/bad has the findings in the text file of
// the same name.

#include <catch2/catch.hpp>
#include <string>

#include "protocol/document_codec.h"
#include "tests/support/expected_text.h"

namespace mustardflow::tests {

namespace {

const std::filesystem::path kSourceDir = MUSTARDFLOW_SOURCE_DIR;

std::string FormatFindings(const std::filesystem::path& file) {
  protocol::Findings findings;
  protocol::ParseDocument(ReadText(file), &findings);
  return findings.Report(file.filename().string());
}

}  // namespace

TEST_CASE("the example service documents have no findings") {
  for (const auto& file : CasesIn(kSourceDir / "examples")) {
    // host.json holds settings, not a service document.
    if (file.filename() == "host.json") {
      continue;
    }
    INFO(file);
    CHECK(FormatFindings(file).empty());
  }
}

TEST_CASE("each invalid service document gives exactly the expected findings",
          "[Z4]") {
  const auto cases = CasesIn(kSourceDir / "tests/document/bad");
  REQUIRE_FALSE(cases.empty());
  for (const auto& file : cases) {
    auto expected = file;
    expected.replace_extension(".txt");
    INFO(file);
    CHECK(FormatFindings(file) == ReadText(expected));
  }
}

}  // namespace mustardflow::tests
