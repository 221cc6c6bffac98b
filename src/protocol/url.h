// Request targets: percent escapes, paths and queries.

#ifndef MUSTARDFLOW_PROTOCOL_URL_H_
#define MUSTARDFLOW_PROTOCOL_URL_H_

#include <map>
#include <string>
#include <string_view>

namespace mustardflow::protocol {

// Decodes percent escapes and plus signs.
std::string DecodeUrlComponent(std::string_view text);

// Encodes what may not stand in the value of a query parameter.
std::string EncodeUrlComponent(std::string_view text);

// Splits a target into its path and its query's parameters.
void SplitRequestTarget(std::string_view target,
                        std::string* path,
                        std::map<std::string, std::string>* query);

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_URL_H_
