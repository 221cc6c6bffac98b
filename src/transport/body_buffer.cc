// Draws, fills and frees the blocks of a body.

#include "transport/body_buffer.h"

#include <algorithm>
#include <cstring>
#include <limits>
#include <utility>

namespace mustardflow::transport {

namespace {

// Blocks of this size are mapped by the allocator one by one, with some bytes
// of its own, so that their memory goes back to the system when they are freed.
constexpr std::size_t kMaxBlockBytes = (256 << 10) - 64;
constexpr std::size_t kMinBlockBytes = 2 << 10;

}  // namespace

BodyBuffer& BodyBuffer::operator=(BodyBuffer&& other) noexcept {
  if (this != &other) {
    draw_ = std::move(other.draw_);
    drawer_ = other.drawer_;
    blocks_ = std::move(other.blocks_);
    other.blocks_.clear();
    head_bytes_ = std::exchange(other.head_bytes_, 0);
    capacity_ = std::exchange(other.capacity_, 0);
    size_ = std::exchange(other.size_, 0);
  }
  return *this;
}

void BodyBuffer::Bind(MemoryAccountPtr account, const MemoryHolder* drawer) {
  Clear();
  draw_ = MemoryDraw(std::move(account));
  drawer_ = drawer;
}

bool BodyBuffer::Reserve(std::size_t head_bytes, std::size_t body_bytes) {
  if (!draw_.Grow(head_bytes + body_bytes, drawer_)) {
    return false;
  }
  head_bytes_ += head_bytes;
  return true;
}

std::size_t BodyBuffer::Reserved() const {
  return draw_.bytes() - std::min(draw_.bytes(), head_bytes_ + capacity_);
}

std::size_t BodyBuffer::NextBlockBytes(std::size_t needed) const {
  const std::size_t reserved = Reserved();
  // Without an announced length, blocks grow with the body.
  const std::size_t wanted =
      reserved > 0 ? reserved : std::max({needed, size_, kMinBlockBytes});
  return std::min(wanted, kMaxBlockBytes);
}

bool BodyBuffer::Prepare(std::size_t bytes) {
  std::size_t room = Reserved();
  if (!blocks_.empty()) {
    room += blocks_.back().capacity - blocks_.back().end;
  }
  if (bytes <= room) {
    return true;
  }
  const std::size_t missing = bytes - room;
  return draw_.Grow(std::max(missing, NextBlockBytes(missing)), drawer_);
}

void BodyBuffer::Append(const void* data, std::size_t size) {
  const char* source = static_cast<const char*>(data);
  while (size > 0) {
    if (blocks_.empty() || blocks_.back().end == blocks_.back().capacity) {
      Block block;
      block.capacity = NextBlockBytes(size);
      block.data = std::unique_ptr<char[]>(new char[block.capacity]);
      capacity_ += block.capacity;
      blocks_.push_back(std::move(block));
    }
    Block& last = blocks_.back();
    const std::size_t part = std::min(size, last.capacity - last.end);
    std::memcpy(last.data.get() + last.end, source, part);
    last.end += part;
    size_ += part;
    source += part;
    size -= part;
  }
}

void BodyBuffer::Consume(std::size_t size) {
  while (size > 0) {
    Block& first = blocks_.front();
    const std::size_t part = std::min(size, first.end - first.begin);
    first.begin += part;
    size_ -= part;
    size -= part;
    if (first.begin == first.end) {
      const std::size_t freed = first.capacity;
      blocks_.pop_front();
      capacity_ -= freed;
      draw_.Shrink(std::min(freed, draw_.bytes()));
    }
  }
}

void BodyBuffer::Clear() {
  blocks_.clear();
  draw_.Shrink(draw_.bytes());
  head_bytes_ = 0;
  capacity_ = 0;
  size_ = 0;
}

void BodyBuffer::AppendTo(std::vector<asio::const_buffer>* buffers,
                          std::size_t max_blocks) const {
  for (const Block& block : blocks_) {
    if (max_blocks-- == 0) {
      break;
    }
    buffers->emplace_back(block.data.get() + block.begin,
                          block.end - block.begin);
  }
}

}  // namespace mustardflow::transport
