// Reads JSON objects and reports missing and invalid fields as findings.

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

// Parses `text`. On a syntax error, adds a finding with line and column and
// returns nullopt.
std::optional<boost::json::value> ParseJson(std::string_view text,
                                            Findings* findings);

// Parses "IP:PORT". Port 0 is not valid. FormatAddress() writes brackets around
// an IPv6 address; ParseAddress() accepts it with or without them.
std::optional<state::Address> ParseAddress(std::string_view text);
std::string FormatAddress(const state::Address& address);

// Whether a field may be omitted.
enum class Presence {
  kRequired,
  kOptional,
};

// Reads the fields of one JSON object. Each accessor adds a finding if a
// required field is missing, or if the field has the wrong type or an invalid
// value. It then returns its fallback, or an empty or minimal value if it has
// none.
class ObjectReader {
 public:
  // `value` and `findings` must outlive the reader. `pointer` is the JSON
  // pointer of `value` in the whole input.
  ObjectReader(const boost::json::value& value,
               std::string pointer,
               Findings* findings);

  // A required string must not be empty.
  std::string String(std::string_view field, Presence presence);
  // `min` and `max` are inclusive. Without a fallback, the field is required.
  std::int64_t Integer(std::string_view field,
                       std::int64_t min,
                       std::int64_t max,
                       std::optional<std::int64_t> fallback);
  // `min` and `max` are inclusive. The field is optional.
  double Number(std::string_view field,
                double min,
                double max,
                double fallback);
  // Without a fallback, the field is required.
  bool Boolean(std::string_view field, std::optional<bool> fallback);
  // The field is required.
  state::Address Address(std::string_view field);
  std::vector<std::string> Strings(std::string_view field, Presence presence);
  // Returns readers for the elements of an array of objects.
  std::vector<ObjectReader> Objects(std::string_view field, Presence presence);
  std::optional<ObjectReader> Object(std::string_view field, Presence presence);

  // Adds a finding for each field of the object that no accessor has read. Must
  // be called after all accessors.
  void ReportUnknownFields();

  // Adds a finding for `field`.
  void Report(std::string_view field, std::string problem, std::string remedy);
  const std::string& pointer() const { return pointer_; }
  const boost::json::value& value() const { return *value_; }

 private:
  // Marks `field` as accessed and returns its value. If the field is missing,
  // returns null, and adds a finding if the field is required.
  const boost::json::value* Find(std::string_view field, Presence presence);
  // Returns the JSON pointer of `field`.
  std::string FieldPointer(std::string_view field) const;

  const boost::json::value* value_;
  std::string pointer_;
  Findings* findings_;
  // Names of the fields that accessors were called for, whether present or not.
  std::set<std::string, std::less<>> accessed_fields_;
};

}  // namespace mustardflow::protocol

#endif  // MUSTARDFLOW_PROTOCOL_OBJECT_READER_H_
