// Request and record formats of the platform's log store.

#include "platform/store_protocol.h"

#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/json.hpp>
#include <cctype>
#include <charconv>
#include <exception>
#include <limits>
#include <system_error>

#include "platform/wire_values.h"

namespace mustardflow::platform {

namespace json = boost::json;

namespace {

void AppendLength(std::uint32_t length, std::string* out) {
  const std::uint32_t big_endian = boost::endian::native_to_big(length);
  out->append(reinterpret_cast<const char*>(&big_endian), sizeof big_endian);
}

// Appends the encoded record to `out`: the length of its content in 4 bytes,
// big-endian, then the content, which is the length of the key in 1 byte, the
// key and the value.
void AppendRecord(const KeyedRecord& record, std::string* out) {
  const std::size_t value_size = record.value ? record.value->size() : 0;
  AppendLength(static_cast<std::uint32_t>(1 + record.key.size() + value_size),
               out);
  out->push_back(static_cast<char>(record.key.size()));
  out->append(record.key);
  if (record.value) {
    out->append(*record.value);
  }
}

// Returns the target of a call that concerns the only partition of a topic.
std::string PartitionQuery(std::string_view call, std::string_view topic) {
  return std::string(call) + "?topic=" + std::string(topic) + "&part=0";
}

// Decodes the content of a record. Returns nullopt if the key is truncated.
std::optional<KeyedRecord> DecodeRecord(std::string_view content) {
  if (content.empty()) {
    return std::nullopt;
  }
  const auto key_size = static_cast<unsigned char>(content[0]);
  if (content.size() < 1u + key_size) {
    return std::nullopt;
  }
  KeyedRecord record;
  record.key = content.substr(1, key_size);
  const std::string_view value = content.substr(1 + key_size);
  if (!value.empty()) {
    record.value = std::string(value);
  }
  return record;
}

// Returns nullopt if a character is not in the base64 alphabet.
std::optional<std::string> DecodeBase64(std::string_view text) {
  using boost::archive::iterators::binary_from_base64;
  using boost::archive::iterators::transform_width;
  using Decoder = transform_width<binary_from_base64<const char*>, 8, 6>;
  while (!text.empty() && text.back() == '=') {
    text.remove_suffix(1);
  }
  const std::size_t size = text.size() * 6 / 8;
  std::string bytes;
  bytes.reserve(size);
  try {
    Decoder decoder(text.data());
    for (std::size_t i = 0; i < size; ++i, ++decoder) {
      bytes.push_back(static_cast<char>(*decoder));
    }
  } catch (const std::exception&) {
    return std::nullopt;
  }
  return bytes;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '.') {
      encoded.push_back(character);
    } else {
      encoded.push_back('%');
      encoded.push_back(kHex[byte >> 4]);
      encoded.push_back(kHex[byte & 15]);
    }
  }
  return encoded;
}

}  // namespace

std::optional<std::int64_t> ParseEra(std::string_view text) {
  // Terms and fences of higher eras would not fit into 64 bits.
  constexpr std::int64_t kMaxEra = std::numeric_limits<std::int32_t>::max();
  std::int64_t era = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), era);
  const bool valid = parsed.ec == std::errc() &&
                     parsed.ptr == text.data() + text.size() && era >= 0 &&
                     era <= kMaxEra;
  return valid ? std::optional(era) : std::nullopt;
}

StoreCall AppendCall(std::string_view topic,
                     const std::vector<KeyedRecord>& records,
                     const ProducerToken& token,
                     std::optional<std::int64_t> at) {
  StoreCall call{"POST", PartitionQuery("/log-append", topic), ""};
  call.target += "&producer=" + std::string(token.producer) +
                 "&epoch=" + std::to_string(token.epoch) +
                 "&seq=" + std::to_string(token.sequence);
  if (at) {
    call.target += "&at=" + std::to_string(*at);
  }
  for (const KeyedRecord& record : records) {
    AppendRecord(record, &call.body);
  }
  return call;
}

StoreCall ReadCall(std::string_view topic,
                   std::int64_t from,
                   state::Duration wait) {
  return {"GET",
          PartitionQuery("/log-read", topic) + "&from=" + std::to_string(from) +
              "&wait_ms=" + std::to_string(wait.count() / 1000),
          ""};
}

StoreCall NewestCall(std::string_view topic, std::string_view after) {
  StoreCall call{"GET", PartitionQuery("/log-newest", topic), ""};
  if (!after.empty()) {
    call.target += "&after=" + PercentEncode(after);
  }
  return call;
}

AppendOutcome ParseAppendReply(int status, std::string_view body) {
  if (status == 200) {
    return AppendOutcome::kDone;
  }
  if (status == 412) {
    return AppendOutcome::kConflict;
  }
  if (status == 409) {
    json::error_code error;
    const json::value reply = json::parse(body, error);
    return !error && TextMember(reply, "why") == "fenced"
               ? AppendOutcome::kFenced
               : AppendOutcome::kConflict;
  }
  if (status == 429 || status == 503) {
    return AppendOutcome::kRefused;
  }
  return AppendOutcome::kUnknown;
}

std::optional<ReadReply> ParseReadReply(std::string_view body,
                                        std::int64_t from) {
  constexpr std::size_t kOffsetBytes = 8;
  if (body.size() < 2 * kOffsetBytes) {
    return std::nullopt;
  }
  ReadReply reply;
  reply.end = boost::endian::load_big_s64(
      reinterpret_cast<const unsigned char*>(body.data()));
  std::string_view rest = body.substr(2 * kOffsetBytes);
  std::int64_t offset = from;
  while (rest.size() >= 4) {
    const std::uint32_t length = boost::endian::load_big_u32(
        reinterpret_cast<const unsigned char*>(rest.data()));
    if (rest.size() - 4 < length) {
      break;
    }
    auto record = DecodeRecord(rest.substr(4, length));
    if (record) {
      record->offset = offset;
      reply.records.push_back(std::move(*record));
    } else {
      // A record with a truncated key still occupies an offset.
      reply.records.push_back({"", std::nullopt, offset});
    }
    ++offset;
    rest.remove_prefix(4 + length);
  }
  return reply;
}

std::optional<NewestReply> ParseNewestReply(std::string_view body) {
  json::error_code error;
  // A key may have any bytes. Only its own record is odd then.
  json::parse_options options;
  options.allow_invalid_utf8 = true;
  const json::value value = json::parse(body, error, {}, options);
  const json::value* items = error ? nullptr : Member(value, "items");
  const auto end = error ? std::nullopt : IntegerMember(value, "end");
  if (items == nullptr || !items->is_array() || !end) {
    return std::nullopt;
  }
  NewestReply reply;
  reply.end = *end;
  const json::value* has_more = Member(value, "has_more");
  reply.has_more =
      has_more != nullptr && has_more->is_bool() && has_more->get_bool();
  for (const json::value& item : items->get_array()) {
    const auto key = TextMember(item, "key");
    const auto encoded = TextMember(item, "value");
    auto value_bytes = encoded ? DecodeBase64(*encoded) : std::nullopt;
    if (key && value_bytes) {
      reply.records.push_back({*key, std::move(value_bytes),
                               IntegerMember(item, "offset").value_or(0)});
    }
  }
  return reply;
}

}  // namespace mustardflow::platform
