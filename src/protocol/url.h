// Percent encoding, and the split of HTTP request targets into path and query.

#ifndef MUSTARDFLOW_PROTOCOL_URL_H_
#define MUSTARDFLOW_PROTOCOL_URL_H_

#include <map>
#include <string>
#include <string_view>

namespace mustardflow::protocol {

// Decodes percent escapes, and plus signs as spaces. Leaves invalid escapes as
// they are.
std::string DecodeUrlComponent(std::string_view text);

// Percent-encodes all characters but the unreserved ones of RFC 3986, so that
// the result can be the value of a query parameter.
std::string EncodeUrlComponent(std::string_view text);

// Splits a request target into its path and its query parameters. Decodes the
// names and values of the parameters, but not the path. Of parameters with the
// same name, the last one counts. Does not clear `query`.
void SplitRequestTarget(std::string_view target,
                        std::string* path,
                        std::map<std::string, std::string>* query);

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_URL_H_
