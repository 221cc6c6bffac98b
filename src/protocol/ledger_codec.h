// The JSON form of a ledger's memory, as hosts hand it over.

#ifndef MUSTARDFLOW_PROTOCOL_LEDGER_CODEC_H_
#define MUSTARDFLOW_PROTOCOL_LEDGER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "coordination/request_ledger.h"
#include "state/fence.h"
#include "state/key_range.h"

namespace mustardflow::protocol {

// The path on the listener for hosts at which memory is asked for.
inline constexpr std::string_view kLedgerExportPath = "/ledger-export";

// What a host asks the former holder of a range for.
struct LedgerExportQuery {
  std::string service;
  state::KeyRange range;
  // The run of the former holder that gave the range up.
  state::BootId boot = 0;
};

std::string FormatLedgerExportTarget(const LedgerExportQuery& query);
std::optional<LedgerExportQuery> ParseLedgerExportTarget(
    std::string_view target);

std::string EncodeLedgerExport(const coordination::LedgerExport& ledger_export);
std::optional<coordination::LedgerExport> DecodeLedgerExport(
    std::string_view text);

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_LEDGER_CODEC_H_
