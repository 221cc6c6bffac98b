// Encoding, decoding and splitting of request targets.

#include "protocol/url.h"

#include <algorithm>
#include <cctype>
#include <charconv>

namespace mustardflow::protocol {

std::string DecodeUrlComponent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    bool escape = text[i] == '%' && i + 2 < text.size();
    if (escape) {
      const char* digits = text.data() + i + 1;
      escape = std::from_chars(digits, digits + 2, value, 16).ptr == digits + 2;
    }
    if (escape) {
      decoded.push_back(static_cast<char>(value));
      i += 2;
    } else {
      decoded.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return decoded;
}

std::string EncodeUrlComponent(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    const auto value = static_cast<unsigned char>(character);
    if (std::isalnum(value) || character == '-' || character == '_' ||
        character == '.' || character == '~') {
      encoded.push_back(character);
    } else {
      encoded.push_back('%');
      encoded.push_back(kDigits[value >> 4]);
      encoded.push_back(kDigits[value & 15]);
    }
  }
  return encoded;
}

void SplitRequestTarget(std::string_view target,
                        std::string* path,
                        std::map<std::string, std::string>* query) {
  const std::size_t query_start = target.find('?');
  *path = std::string(target.substr(0, query_start));
  if (query_start == std::string_view::npos) {
    return;
  }
  std::string_view rest = target.substr(query_start + 1);
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    const std::size_t equals = part.find('=');
    const std::string name = DecodeUrlComponent(part.substr(0, equals));
    const bool has_value = equals != std::string_view::npos;
    (*query)[name] =
        has_value ? DecodeUrlComponent(part.substr(equals + 1)) : "";
  }
}

}  // namespace mustardflow::protocol
