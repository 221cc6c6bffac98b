// Checked reading of JSON objects.

#ifndef MUSTARDFLOW_PROTOCOL_OBJECT_READER_H_
#define MUSTARDFLOW_PROTOCOL_OBJECT_READER_H_

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "protocol/findings.h"
#include "state/document.h"

namespace mustardflow::protocol {

// Parses `text`. On a syntax error adds a finding with line and column.
std::optional<boost::json::value> ParseJson(std::string_view text,
                                            Findings* findings);

// Parses "IP:PORT", with brackets around an IPv6 number.
std::optional<state::Address> ParseAddress(std::string_view text);
std::string FormatAddress(const state::Address& address);

// Whether a field may be left out.
enum class Presence {
  kRequired,
  kOptional,
};

// Reads the fields of one JSON object. Each accessor adds a finding if the
// field is missing or unsuitable and then returns its fallback.
class ObjectReader {
 public:
  // `value` must outlive the reader. `pointer` is its JSON pointer.
  ObjectReader(const boost::json::value& value,
               std::string pointer,
               Findings* findings);

  std::string String(std::string_view field, Presence presence);
  std::int64_t Integer(std::string_view field,
                       std::int64_t min,
                       std::int64_t max,
                       std::optional<std::int64_t> fallback);
  double Number(std::string_view field,
                double min,
                double max,
                double fallback);
  bool Boolean(std::string_view field, std::optional<bool> fallback);
  state::Address Address(std::string_view field);
  std::vector<std::string> Strings(std::string_view field, Presence presence);
  // Returns readers for the elements of an array of objects.
  std::vector<ObjectReader> Objects(std::string_view field, Presence presence);
  std::optional<ObjectReader> Object(std::string_view field, Presence presence);

  // Adds a finding for each field that no accessor was asked for.
  void ReportUnknownFields();

  void Report(std::string_view field, std::string problem, std::string remedy);
  const std::string& pointer() const { return pointer_; }
  const boost::json::value& value() const { return *value_; }

 private:
  const boost::json::value* Find(std::string_view field, Presence presence);
  std::string FieldPointer(std::string_view field) const;

  const boost::json::value* value_;
  std::string pointer_;
  Findings* findings_;
  std::set<std::string, std::less<>> accessed_fields_;
};

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_OBJECT_READER_H_
