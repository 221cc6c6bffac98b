// The request by which a host fetches ledger entries from the former holder of
// a range, and the JSON form of the entries.

#ifndef MUSTARDFLOW_PROTOCOL_LEDGER_CODEC_H_
#define MUSTARDFLOW_PROTOCOL_LEDGER_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "coordination/request_ledger.h"
#include "state/fence.h"
#include "state/key_range.h"

namespace mustardflow::protocol {

// Path of ledger exports on the listener for other hosts.
inline constexpr std::string_view kLedgerExportPath = "/ledger-export";

// Asks the former holder of a range for the ledger entries of the range.
struct LedgerExportQuery {
  std::string service;
  state::KeyRange range;
  // Boot id of the former holder's process that released the range. A process
  // with another boot id does not have the entries.
  state::BootId boot = 0;
};

std::string FormatLedgerExportTarget(const LedgerExportQuery& query);
// Returns nullopt if `target` has another path, or if a number is missing or
// malformed.
std::optional<LedgerExportQuery> ParseLedgerExportTarget(
    std::string_view target);

std::string EncodeLedgerExport(const coordination::LedgerExport& ledger_export);
// Returns nullopt if `text` is not a valid ledger export.
std::optional<coordination::LedgerExport> DecodeLedgerExport(
    std::string_view text);

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_LEDGER_CODEC_H_
