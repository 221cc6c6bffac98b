// Parses requests whose fields may be longer than http::fields can hold.

#ifndef MUSTARDFLOW_TRANSPORT_REQUEST_PARSER_H_
#define MUSTARDFLOW_TRANSPORT_REQUEST_PARSER_H_

#include <algorithm>
#include <cstddef>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "transport/asio.h"

namespace mustardflow::transport {

// The longest name and the longest value that http::fields can hold. It throws
// std::length_error for longer ones.
inline constexpr std::size_t kMaxHeldFieldBytes = 65'533;

// The parser limits neither the lines between the chunks of a body nor the
// trailer, and reads them only once they are complete. A buffer for received
// bytes that is this much larger than the longest header bounds them.
inline constexpr std::size_t kMaxChunkLineBytes = 64 << 10;

// A field that is kept beside http::fields. Has the accessors of
// http::fields::value_type.
class LongField {
 public:
  LongField(http::field name,
            beast::string_view name_string,
            beast::string_view value)
      : name_(name), name_string_(name_string), value_(value) {}

  http::field name() const { return name_; }
  beast::string_view name_string() const { return name_string_; }
  beast::string_view value() const { return value_; }

 private:
  // http::field::unknown if Beast has no constant for the name.
  http::field name_;
  std::string name_string_;
  std::string value_;
};

// In the order in which the fields arrived.
using LongFields = std::vector<LongField>;

// Keeps long fields of the header apart, and drops the fields of the trailer:
// a request is judged by its header, before the trailer arrives.
template <class Body>
class RequestParser : public http::request_parser<Body> {
 public:
  // The fields of the header that are too long for get(), and those that follow
  // one of them with its name, so that lines with the same name keep their
  // order.
  const LongFields& long_fields() const { return long_fields_; }
  LongFields ReleaseLongFields() { return std::move(long_fields_); }

 private:
  // Beast prescribes the name.
  void on_field_impl(  // NOLINT(readability-identifier-naming)
      http::field name,
      beast::string_view name_string,
      beast::string_view value,
      beast::error_code&) override {
    if (this->is_header_done()) {
      return;
    }
    if (std::max(name_string.size(), value.size()) > kMaxHeldFieldBytes) {
      long_names_.emplace(name_string);
    }
    if (long_names_.contains(name_string)) {
      long_fields_.emplace_back(name, name_string, value);
    } else {
      this->get().insert(name, name_string, value);
    }
  }

  // The names of the fields that are too long for get().
  std::set<std::string, beast::iless> long_names_;
  LongFields long_fields_;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_REQUEST_PARSER_H_
