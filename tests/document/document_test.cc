// Documents: the shipped examples, and bad ones with the expected findings
// beside them.

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

TEST_CASE("the shipped documents have no findings") {
  for (const auto& file : CasesIn(kSourceDir / "examples")) {
    if (file.filename() == "host.json") {
      continue;
    }
    INFO(file);
    CHECK(FormatFindings(file).empty());
  }
}

TEST_CASE("each bad document gives all its findings", "[Z4]") {
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
