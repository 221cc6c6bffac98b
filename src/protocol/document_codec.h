// Parses and validates the JSON form of service documents.

#ifndef MUSTARDFLOW_PROTOCOL_DOCUMENT_CODEC_H_
#define MUSTARDFLOW_PROTOCOL_DOCUMENT_CODEC_H_

#include <boost/json/value.hpp>
#include <optional>
#include <string_view>

#include "protocol/findings.h"
#include "state/document.h"

namespace mustardflow::protocol {

// Parses and validates a service document. Returns nullopt and adds findings if
// the document is invalid.
std::optional<state::ServiceDocument> ParseDocument(std::string_view text,
                                                    Findings* findings);

// Validates a service document that is already parsed as JSON. Returns nullopt
// and adds findings if it is invalid. Findings that `findings` already holds do
// not affect the result.
std::optional<state::ServiceDocument> ReadDocument(
    const boost::json::value& value,
    Findings* findings);

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_DOCUMENT_CODEC_H_
