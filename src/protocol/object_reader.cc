// JSON parsing, address parsing and checked access to fields.

#include "protocol/object_reader.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <sstream>
#include <utility>

namespace mustardflow::protocol {

namespace json = boost::json;

namespace {

std::string LineAndColumn(std::string_view text, std::size_t offset) {
  const std::string_view before = text.substr(0, offset);
  const auto line = 1 + std::count(before.begin(), before.end(), '\n');
  const std::size_t last_break = before.rfind('\n');
  const std::size_t column =
      last_break == std::string_view::npos ? offset + 1 : offset - last_break;
  return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

}  // namespace

std::optional<json::value> ParseJson(std::string_view text,
                                     Findings* findings) {
  json::stream_parser parser;
  json::error_code error;
  const std::size_t consumed =
      parser.write_some(text.data(), text.size(), error);
  const bool complete = !error && parser.done();
  const std::size_t rest = text.find_first_not_of(" \t\r\n", consumed);
  if (complete && rest == std::string_view::npos) {
    return parser.release();
  }
  const std::size_t offset = complete ? rest : consumed;
  const std::string problem = complete ? "text after the end of the value"
                              : error  ? error.message()
                                       : "the text ends too early";
  findings->Add(LineAndColumn(text, offset), "not JSON: " + problem,
                "correct the syntax");
  return std::nullopt;
}

std::optional<state::Address> ParseAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::string_view ip = text.substr(0, colon);
  const std::string_view port_text = text.substr(colon + 1);
  if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
    ip = ip.substr(1, ip.size() - 2);
  }
  boost::system::error_code error;
  boost::asio::ip::make_address(std::string(ip), error);
  std::uint16_t port = 0;
  const char* end = port_text.data() + port_text.size();
  const auto parsed = std::from_chars(port_text.data(), end, port);
  if (error || parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return std::nullopt;
  }
  return state::Address{std::string(ip), port};
}

std::string FormatAddress(const state::Address& address) {
  const bool is_v6 = address.ip.find(':') != std::string::npos;
  const std::string ip = is_v6 ? "[" + address.ip + "]" : address.ip;
  return ip + ":" + std::to_string(address.port);
}

ObjectReader::ObjectReader(const json::value& value,
                           std::string pointer,
                           Findings* findings)
    : value_(&value), pointer_(std::move(pointer)), findings_(findings) {
  if (!value.is_object()) {
    findings_->Add(pointer_.empty() ? "/" : pointer_, "not an object",
                   "write an object in braces");
  }
}

std::string ObjectReader::FieldPointer(std::string_view field) const {
  return pointer_ + "/" + std::string(field);
}

void ObjectReader::Report(std::string_view field,
                          std::string problem,
                          std::string remedy) {
  findings_->Add(FieldPointer(field), std::move(problem), std::move(remedy));
}

const json::value* ObjectReader::Find(std::string_view field,
                                      Presence presence) {
  accessed_fields_.emplace(field);
  if (!value_->is_object()) {
    return nullptr;
  }
  const json::value* found =
      value_->get_object().if_contains(json::string_view(field));
  if (!found && presence == Presence::kRequired) {
    Report(field, "missing", "add the field");
  }
  return found;
}

std::string ObjectReader::String(std::string_view field, Presence presence) {
  const json::value* found = Find(field, presence);
  if (!found) {
    return {};
  }
  if (!found->is_string()) {
    Report(field, "not a string", "write it in double quotes");
    return {};
  }
  const std::string text(found->get_string());
  if (text.empty() && presence == Presence::kRequired) {
    Report(field, "empty", "give a value");
  }
  return text;
}

std::int64_t ObjectReader::Integer(std::string_view field,
                                   std::int64_t min,
                                   std::int64_t max,
                                   std::optional<std::int64_t> fallback) {
  const json::value* found =
      Find(field, fallback ? Presence::kOptional : Presence::kRequired);
  const std::int64_t substitute = fallback.value_or(min);
  if (!found) {
    return substitute;
  }
  if (!found->is_int64()) {
    Report(field, "not a whole number", "write a whole number");
    return substitute;
  }
  const std::int64_t number = found->get_int64();
  if (number < min || number > max) {
    const std::string range =
        std::to_string(min) + " to " + std::to_string(max);
    Report(field, std::to_string(number) + " is out of range",
           "choose a number from " + range);
    return substitute;
  }
  return number;
}

double ObjectReader::Number(std::string_view field,
                            double min,
                            double max,
                            double fallback) {
  const json::value* found = Find(field, Presence::kOptional);
  if (!found) {
    return fallback;
  }
  if (!found->is_number()) {
    Report(field, "not a number", "write a number");
    return fallback;
  }
  const double number = found->to_number<double>();
  if (number < min || number > max) {
    std::ostringstream range;
    range << "choose a number from " << min << " to " << max;
    Report(field, "out of range", range.str());
    return fallback;
  }
  return number;
}

bool ObjectReader::Boolean(std::string_view field,
                           std::optional<bool> fallback) {
  const json::value* found =
      Find(field, fallback ? Presence::kOptional : Presence::kRequired);
  if (!found) {
    return fallback.value_or(false);
  }
  if (!found->is_bool()) {
    Report(field, "neither true nor false", "write true or false");
    return fallback.value_or(false);
  }
  return found->get_bool();
}

state::Address ObjectReader::Address(std::string_view field) {
  const std::string text = String(field, Presence::kRequired);
  if (text.empty()) {
    return {};
  }
  const auto address = ParseAddress(text);
  if (!address) {
    Report(field, "\"" + text + "\" is not an IP number with a port",
           "write for example 192.0.2.7:8080");
    return {};
  }
  return *address;
}

std::vector<std::string> ObjectReader::Strings(std::string_view field,
                                               Presence presence) {
  const json::value* found = Find(field, presence);
  std::vector<std::string> strings;
  if (!found) {
    return strings;
  }
  if (!found->is_array()) {
    Report(field, "not an array", "write a list in square brackets");
    return strings;
  }
  for (const json::value& element : found->get_array()) {
    if (element.is_string()) {
      strings.emplace_back(element.get_string());
    } else {
      Report(std::string(field) + "/" + std::to_string(strings.size()),
             "not a string", "write it in double quotes");
      strings.emplace_back();
    }
  }
  return strings;
}

std::vector<ObjectReader> ObjectReader::Objects(std::string_view field,
                                                Presence presence) {
  const json::value* found = Find(field, presence);
  std::vector<ObjectReader> readers;
  if (!found) {
    return readers;
  }
  if (!found->is_array()) {
    Report(field, "not an array", "write a list in square brackets");
    return readers;
  }
  for (const json::value& element : found->get_array()) {
    const std::string pointer =
        FieldPointer(field) + "/" + std::to_string(readers.size());
    readers.emplace_back(element, pointer, findings_);
  }
  return readers;
}

std::optional<ObjectReader> ObjectReader::Object(std::string_view field,
                                                 Presence presence) {
  const json::value* found = Find(field, presence);
  if (!found) {
    return std::nullopt;
  }
  return ObjectReader(*found, FieldPointer(field), findings_);
}

void ObjectReader::ReportUnknownFields() {
  if (!value_->is_object()) {
    return;
  }
  for (const auto& member : value_->get_object()) {
    const std::string_view name = member.key();
    if (accessed_fields_.contains(name)) {
      continue;
    }
    std::string remedy = "remove it; the fields here are";
    for (const std::string& field : accessed_fields_) {
      remedy += " " + field;
    }
    Report(name, "unknown field", remedy);
  }
}

}  // namespace mustardflow::protocol
