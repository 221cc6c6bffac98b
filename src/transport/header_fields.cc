// Separates end-to-end header fields from hop-by-hop ones.

#include "transport/header_fields.h"

#include <algorithm>
#include <array>
#include <cctype>

#include "platform/server_protocol.h"

namespace mustardflow::transport {

namespace {

// Here, `Field` is http::fields::value_type or LongField.

// Whether the field concerns only this connection. Content-Length and Expect
// count as such, since the relay buffers bodies and handles Expect itself.
template <class Field>
bool IsHopByHop(const Field& field) {
  switch (field.name()) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

template <class Field>
bool HasName(const Field& field, std::string_view name) {
  return beast::iequals(field.name_string(),
                        beast::string_view(name.data(), name.size()));
}

// Whether the relay sets this field of a request itself.
template <class Field>
bool IsSetByRelay(const Field& field) {
  return HasName(field, platform::kDeadlineField) ||
         HasName(field, platform::kServerIdField);
}

// Whether the field holds the key or the name of an organisation.
template <class Field>
bool IsCredential(const Field& field) {
  return HasName(field, platform::kCredentialField) ||
         HasName(field, platform::kOrganisationField);
}

// Whether servers or callers depend on this field, so that it is forwarded even
// if the Connection field lists it.
template <class Field>
bool IsAlwaysEndToEnd(const Field& field) {
  constexpr std::array<std::string_view, 5> kNames = {
      "Host", platform::kAttemptIdField, platform::kShardKeyField,
      platform::kSignatureField, platform::kNotExecutedField};
  const beast::string_view name = field.name_string();
  return std::any_of(
      kNames.begin(), kNames.end(), [&](std::string_view always) {
        return beast::iequals(name,
                              beast::string_view(always.data(), always.size()));
      });
}

// Whether the Connection field lists this field as hop-by-hop.
template <class Field>
bool IsListedInConnection(const http::fields& fields, const Field& field) {
  const auto connection = fields.find(http::field::connection);
  return connection != fields.end() &&
         http::token_list(connection->value()).exists(field.name_string());
}

// Whether only hosts use this field between one another. Callers and servers
// neither set nor see such fields.
template <class Field>
bool IsForwardingField(const Field& field) {
  const beast::string_view name = field.name_string();
  return name.size() > kForwardingFieldPrefix.size() &&
         beast::iequals(name.substr(0, kForwardingFieldPrefix.size()),
                        beast::string_view(kForwardingFieldPrefix.data(),
                                           kForwardingFieldPrefix.size()));
}

template <class Field>
bool IsEndToEnd(const http::fields& fields, const Field& field) {
  return !IsHopByHop(field) && !IsForwardingField(field) &&
         (IsAlwaysEndToEnd(field) || !IsListedInConnection(fields, field));
}

template <class Field>
void AppendUnchanged(const Field& field, std::string* bytes) {
  AppendField({field.name_string().data(), field.name_string().size()},
              {field.value().data(), field.value().size()}, bytes);
}

}  // namespace

std::string HostnameOf(std::string_view host_field) {
  std::string hostname(host_field.substr(0, host_field.rfind(':')));
  if (hostname.starts_with('[')) {
    hostname = std::string(host_field.substr(0, host_field.find(']') + 1));
  }
  std::transform(hostname.begin(), hostname.end(), hostname.begin(),
                 [](unsigned char letter) {
                   return static_cast<char>(std::tolower(letter));
                 });
  return hostname;
}

void AppendField(std::string_view name,
                 std::string_view value,
                 std::string* bytes) {
  bytes->append(name);
  bytes->append(": ");
  bytes->append(value);
  bytes->append("\r\n");
}

bool IsInterpreted(const LongField& field) {
  return IsHopByHop(field) || IsForwardingField(field) ||
         IsAlwaysEndToEnd(field) || IsSetByRelay(field) || IsCredential(field);
}

void AppendEndToEndFields(const http::fields& fields,
                          const LongFields& long_fields,
                          bool drop_credentials,
                          std::string* bytes) {
  for (const auto& field : fields) {
    if (IsEndToEnd(fields, field) && !IsSetByRelay(field) &&
        !(drop_credentials && IsCredential(field))) {
      AppendUnchanged(field, bytes);
    }
  }
  for (const LongField& field : long_fields) {
    if (!IsListedInConnection(fields, field)) {
      AppendUnchanged(field, bytes);
    }
  }
}

void CopyEndToEndFields(
    const http::fields& fields,
    std::vector<std::pair<std::string, std::string>>* copied) {
  for (const auto& field : fields) {
    if (IsEndToEnd(fields, field)) {
      copied->emplace_back(std::string(field.name_string()),
                           std::string(field.value()));
    }
  }
}

}  // namespace mustardflow::transport
