// Counts the memory that requests and answers of the process hold.

#ifndef MUSTARDFLOW_TRANSPORT_MEMORY_ACCOUNT_H_
#define MUSTARDFLOW_TRANSPORT_MEMORY_ACCOUNT_H_

#include <cstddef>
#include <memory>
#include <optional>
#include <unordered_set>
#include <utility>

#include "admission/memory_policy.h"
#include "state/time.h"

namespace mustardflow::transport {

// A connection that can free memory when others need it.
class MemoryHolder {
 public:
  virtual ~MemoryHolder() = default;
  // Returns the transfer that the connection can end; nullopt without one.
  virtual std::optional<admission::Transfer> CurrentTransfer() const = 0;
  // Ends the transfer and returns what it holds before the call returns.
  virtual void EndTransfer() = 0;
};

// One for each process. Bodies and answers draw from it.
class MemoryAccount {
 public:
  explicit MemoryAccount(std::size_t memory_bytes)
      : limits_(admission::MemoryLimitsFor(memory_bytes)) {}
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  // Draws `bytes` for a body or an answer that holds `held` already. If they
  // are not available, ends transfers of other holders than `drawer` as far as
  // the policy allows. Returns whether the bytes were drawn.
  bool Take(std::size_t held, std::size_t bytes, const MemoryHolder* drawer);
  // Counts bytes that are in use in any case.
  void Count(std::size_t bytes) { used_ += bytes; }
  void Return(std::size_t bytes) { used_ -= bytes; }

  void Add(MemoryHolder* holder) { holders_.insert(holder); }
  void Remove(MemoryHolder* holder) { holders_.erase(holder); }

  // Advances the clock by which progress is judged. Call several times a
  // second.
  void Tick(state::Instant now);
  // The time that the process has been running. A pause of the process counts
  // only in part, so that transfers do not appear stalled after it.
  state::Instant now() const { return active_; }

  std::size_t used() const { return used_; }
  std::size_t limit() const { return limits_.total; }
  // Transfers ended for others since the process started.
  std::size_t ended_transfers() const { return ended_transfers_; }

 private:
  // Ends one transfer. Returns false if the policy names none.
  bool EndOne(const MemoryHolder* drawer);

  const admission::MemoryLimits limits_;
  std::size_t used_ = 0;
  std::size_t ended_transfers_ = 0;
  std::unordered_set<MemoryHolder*> holders_;
  state::Instant last_tick_{};
  state::Instant active_{};
};

using MemoryAccountPtr = std::shared_ptr<MemoryAccount>;

// Bytes drawn from the account; returns them when it is destroyed.
class MemoryDraw {
 public:
  MemoryDraw() = default;
  explicit MemoryDraw(MemoryAccountPtr account)
      : account_(std::move(account)) {}
  MemoryDraw(MemoryDraw&& other) noexcept
      : account_(std::move(other.account_)),
        bytes_(std::exchange(other.bytes_, 0)) {}
  MemoryDraw& operator=(MemoryDraw&& other) noexcept {
    if (this != &other) {
      Shrink(bytes_);
      account_ = std::move(other.account_);
      bytes_ = std::exchange(other.bytes_, 0);
    }
    return *this;
  }
  ~MemoryDraw() { Shrink(bytes_); }

  bool Grow(std::size_t bytes, const MemoryHolder* drawer) {
    if (account_ && !account_->Take(bytes_, bytes, drawer)) {
      return false;
    }
    bytes_ += bytes;
    return true;
  }
  void Shrink(std::size_t bytes) {
    if (account_) {
      account_->Return(bytes);
    }
    bytes_ -= bytes;
  }
  // Counts `bytes` more or less so that they are `bytes` in all.
  void SetCounted(std::size_t bytes) {
    if (account_) {
      account_->Return(bytes_);
      account_->Count(bytes);
    }
    bytes_ = bytes;
  }

  std::size_t bytes() const { return bytes_; }

 private:
  // Null for memory that is not counted.
  MemoryAccountPtr account_;
  std::size_t bytes_ = 0;
};

}  // namespace mustardflow::transport

#endif  // MUSTARDFLOW_TRANSPORT_MEMORY_ACCOUNT_H_
