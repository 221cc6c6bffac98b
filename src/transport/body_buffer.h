// Holds the body of a request or an answer once, in blocks.

#ifndef MUSTARDFLOW_TRANSPORT_BODY_BUFFER_H_
#define MUSTARDFLOW_TRANSPORT_BODY_BUFFER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <utility>
#include <vector>

#include "transport/asio.h"
#include "transport/memory_account.h"

namespace mustardflow::transport {

// A body whose bytes are drawn from the memory account before they are
// received. It grows without copying what it holds already.
class BodyBuffer {
 public:
  BodyBuffer() = default;
  BodyBuffer(BodyBuffer&& other) noexcept { *this = std::move(other); }
  BodyBuffer& operator=(BodyBuffer&& other) noexcept;

  // Sets the account, and the connection that draws from it; that one is not
  // closed to make room for itself.
  void Bind(MemoryAccountPtr account, const MemoryHolder* drawer);

  // Draws memory for a body of `body_bytes`, and `head_bytes` for what else the
  // message holds. Returns whether the account allows it.
  bool Reserve(std::size_t head_bytes, std::size_t body_bytes);
  // Draws memory so that `bytes` can be appended. Returns whether the account
  // allows it.
  bool Prepare(std::size_t bytes);
  // Appends bytes for which memory was drawn.
  void Append(const void* data, std::size_t size);

  // Removes bytes from the front that are needed no longer.
  void Consume(std::size_t size);
  // Removes all bytes and returns all that was drawn.
  void Clear();

  std::size_t size() const { return size_; }
  bool empty() const { return size_ == 0; }
  // What was drawn from the account.
  std::size_t drawn_bytes() const { return draw_.bytes(); }
  // Appends the first blocks to `buffers`, `max_blocks` at most.
  void AppendTo(std::vector<asio::const_buffer>* buffers,
                std::size_t max_blocks) const;

 private:
  struct Block {
    std::unique_ptr<char[]> data;
    std::size_t capacity = 0;
    std::size_t begin = 0;
    std::size_t end = 0;
  };

  // The bytes drawn for blocks that are not allocated yet.
  std::size_t Reserved() const;
  std::size_t NextBlockBytes(std::size_t needed) const;

  MemoryDraw draw_;
  const MemoryHolder* drawer_ = nullptr;
  std::deque<Block> blocks_;
  // The part of the draw that is not for blocks.
  std::size_t head_bytes_ = 0;
  // The sum of the blocks' capacities.
  std::size_t capacity_ = 0;
  std::size_t size_ = 0;
};

// A body type of Beast that receives into a BodyBuffer. The user of the parser
// calls Prepare() or Reserve() before it passes bytes of the body.
struct BufferedBody {
  using value_type = BodyBuffer;

  static std::uint64_t size(const value_type& body) { return body.size(); }

  // Beast prescribes the name.
  class reader {  // NOLINT(readability-identifier-naming)
   public:
    template <bool is_request, class Fields>
    explicit reader(http::header<is_request, Fields>&, value_type& body)
        : body_(body) {}

    void init(const boost::optional<std::uint64_t>&, beast::error_code& error) {
      error = {};
    }

    template <class Buffers>
    std::size_t put(const Buffers& buffers, beast::error_code& error) {
      error = {};
      std::size_t size = 0;
      for (const asio::const_buffer part : beast::buffers_range_ref(buffers)) {
        body_.Append(part.data(), part.size());
        size += part.size();
      }
      return size;
    }

    void finish(beast::error_code& error) { error = {}; }

   private:
    value_type& body_;
  };
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_BODY_BUFFER_H_
