// Hashes the parts of a request with XXH3.

#include "transport/request_fingerprint.h"

#include <xxhash.h>

#include <cstddef>
#include <limits>
#include <memory>
#include <vector>

#include "platform/server_protocol.h"

namespace mustardflow::transport {

namespace {

// Adds the length of each part, so that parts cannot run into one another.
class PartHash {
 public:
  PartHash() : state_(XXH3_createState()) { XXH3_64bits_reset(state_.get()); }

  void AddSize(std::size_t size) { AddBytes(&size, sizeof(size)); }
  void AddBytes(const void* data, std::size_t size) {
    XXH3_64bits_update(state_.get(), data, size);
  }
  void AddPart(beast::string_view text) {
    AddSize(text.size());
    AddBytes(text.data(), text.size());
  }
  coordination::RequestFingerprint Value() const {
    return XXH3_64bits_digest(state_.get());
  }

 private:
  struct Free {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
  };

  std::unique_ptr<XXH3_state_t, Free> state_;
};

}  // namespace

coordination::RequestFingerprint FingerprintOf(const CallerMessage& message) {
  PartHash hash;
  hash.AddPart(message.method_string());
  hash.AddPart(message[http::field::host]);
  hash.AddPart(message.target());
  hash.AddPart(message.caller);
  hash.AddPart(message[http::field::authorization]);
  const std::string_view credential = platform::kCredentialField;
  hash.AddPart(
      message[beast::string_view(credential.data(), credential.size())]);
  hash.AddSize(message.body().size());
  std::vector<asio::const_buffer> blocks;
  message.body().AppendTo(&blocks, std::numeric_limits<std::size_t>::max());
  for (const asio::const_buffer& block : blocks) {
    hash.AddBytes(block.data(), block.size());
  }
  return hash.Value();
}

}  // namespace mustardflow::transport
