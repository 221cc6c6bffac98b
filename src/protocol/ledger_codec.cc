// Encoding and decoding of ledger exports.

#include "protocol/ledger_codec.h"

#include <boost/json.hpp>
#include <charconv>
#include <exception>
#include <map>
#include <stdexcept>

#include "protocol/url.h"

namespace mustardflow::protocol {

namespace json = boost::json;
using coordination::LedgerEntry;
using coordination::LedgerEntryState;
using coordination::LedgerExport;

namespace {

std::optional<std::uint64_t> ParseUnsigned(const std::string& text) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || text.empty()) {
    return std::nullopt;
  }
  return number;
}

LedgerEntryState StateFrom(int number) {
  if (number < 0 || number > static_cast<int>(LedgerEntryState::kMayHaveRun)) {
    throw std::invalid_argument("not the number of a ledger entry state");
  }
  return static_cast<LedgerEntryState>(number);
}

}  // namespace

std::string FormatLedgerExportTarget(const LedgerExportQuery& query) {
  return std::string(kLedgerExportPath) +
         "?service=" + EncodeUrlComponent(query.service) +
         "&first=" + std::to_string(query.range.first) +
         "&last=" + std::to_string(query.range.last) +
         "&boot=" + std::to_string(query.boot);
}

std::optional<LedgerExportQuery> ParseLedgerExportTarget(
    std::string_view target) {
  std::string path;
  std::map<std::string, std::string> parameters;
  SplitRequestTarget(target, &path, &parameters);
  const auto first = ParseUnsigned(parameters["first"]);
  const auto last = ParseUnsigned(parameters["last"]);
  const auto boot = ParseUnsigned(parameters["boot"]);
  if (path != kLedgerExportPath || !first || !last || !boot) {
    return std::nullopt;
  }
  return LedgerExportQuery{parameters["service"], {*first, *last}, *boot};
}

// An entry is encoded as an array: request id, state, creation time in
// milliseconds, status, content type, body.
std::string EncodeLedgerExport(const LedgerExport& ledger_export) {
  json::array entries;
  for (const auto& [id, entry] : ledger_export.entries) {
    entries.push_back(json::array{
        id, static_cast<int>(entry.state), entry.created, entry.answer.status,
        entry.answer.content_type, entry.answer.body});
  }
  return json::serialize(json::object{{"taken_over", ledger_export.taken_over},
                                      {"entries", std::move(entries)}});
}

std::optional<LedgerExport> DecodeLedgerExport(std::string_view text) {
  try {
    const json::value value = json::parse(text);
    LedgerExport ledger_export;
    ledger_export.taken_over =
        value.at("taken_over").to_number<std::uint64_t>();
    for (const json::value& element : value.at("entries").as_array()) {
      const json::array& parts = element.as_array();
      LedgerEntry entry;
      entry.state = StateFrom(parts.at(1).to_number<int>());
      entry.created = parts.at(2).to_number<std::uint64_t>();
      entry.answer = {parts.at(3).to_number<int>(),
                      std::string(parts.at(4).as_string()),
                      std::string(parts.at(5).as_string())};
      ledger_export.entries[std::string(parts.at(0).as_string())] =
          std::move(entry);
    }
    return ledger_export;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace mustardflow::protocol
