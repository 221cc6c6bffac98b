// Checks the heads of answers.

#include "transport/answer_reader.h"

#include "platform/server_protocol.h"

namespace mustardflow::transport {

namespace {

bool IsDigit(char character) {
  return character >= '0' && character <= '9';
}

// Whether the text contains the begin of a status line, "HTTP/1.1 200".
bool ContainsStatusLine(beast::string_view text) {
  constexpr beast::string_view kProtocol = "HTTP/1.";
  // The minor version, a space and the status.
  constexpr std::size_t kRestBytes = 5;
  for (std::size_t at = text.find(kProtocol); at != beast::string_view::npos;
       at = text.find(kProtocol, at + 1)) {
    const beast::string_view rest = text.substr(at + kProtocol.size());
    if (rest.size() >= kRestBytes && IsDigit(rest[0]) && rest[1] == ' ' &&
        std::all_of(rest.begin() + 2, rest.begin() + kRestBytes, IsDigit)) {
      return true;
    }
  }
  return false;
}

bool IsOfTwoAnswers(const http::response_header<>& head) {
  return head.count(platform::kAttemptIdField) > 1 ||
         ContainsStatusLine(head.reason()) ||
         std::any_of(head.begin(), head.end(), [](const auto& field) {
           return ContainsStatusLine(field.value());
         });
}

bool IsValidStatus(unsigned status) {
  constexpr unsigned kSwitchingProtocols = 101;
  return status >= 100 && status < 600 && status != kSwitchingProtocols;
}

bool HasBody(const http::response_header<>& head) {
  const auto length = head.find(http::field::content_length);
  return head.find(http::field::transfer_encoding) != head.end() ||
         (length != head.end() && length->value() != "0");
}

}  // namespace

beast::error_code CheckAnswerHead(const http::response_header<>& head) {
  const unsigned status = head.result_int();
  if (!IsValidStatus(status) || (status < 200 && HasBody(head))) {
    return http::error::bad_status;
  }
  if (IsOfTwoAnswers(head)) {
    return http::error::bad_field;
  }
  return {};
}

bool HasFoldedLine(std::string_view lines) {
  while (!lines.empty() && !lines.starts_with(kLineBreak)) {
    if (lines.front() == ' ' || lines.front() == '\t') {
      return true;
    }
    const std::size_t end = lines.find(kLineBreak);
    if (end == std::string_view::npos) {
      return false;
    }
    lines.remove_prefix(end + kLineBreak.size());
  }
  return false;
}

}  // namespace mustardflow::transport
