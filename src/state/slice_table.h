// The table that maps key hashes to the backend servers that own them.

#ifndef MUSTARDFLOW_STATE_SLICE_TABLE_H_
#define MUSTARDFLOW_STATE_SLICE_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/fence.h"
#include "state/key_range.h"

namespace mustardflow::state {

// A read-only view of one slice of a table.
struct SliceView {
  KeyRange range;
  // Empty while the slice has no owner.
  std::string_view server;
  Fence fence;
};

// The slices of one keyspace of a service. They cover the whole hash space, and
// each has at most one owner. By convention, a table does not change once it is
// complete. Server names are stored once and referred to by index, which keeps
// an entry at 48 bytes.
class SliceTable {
 public:
  SliceTable() = default;

  // Reserves memory for a total of `slices` slices.
  void Reserve(std::size_t slices) { entries_.reserve(slices); }

  // Appends a slice that starts at `first` and ends before the next slice. The
  // first call passes 0, each later call a higher value.
  void Append(KeyHash first, std::string_view server, Fence fence);

  // Returns the slice that contains `hash`. The table must not be empty.
  SliceView Find(KeyHash hash) const;

  SliceView at(std::size_t index) const;
  std::size_t size() const { return entries_.size(); }
  bool empty() const { return entries_.empty(); }
  // An estimate of the heap memory of the table.
  std::size_t MemoryBytes() const;

 private:
  struct Entry {
    KeyHash first;
    Fence fence;
    std::uint32_t server;
  };

  std::uint32_t ServerIndex(std::string_view server);

  // Invariant: ascending by `first`, and entries_[0].first == 0.
  std::vector<Entry> entries_;
  // Invariant: every Entry::server is an index into this vector.
  std::vector<std::string> servers_;
  // Invariant: maps each element of servers_ to its index.
  std::unordered_map<std::string, std::uint32_t> server_indexes_;
};

// The slice tables of both keyspaces of a service. The term and the version
// order the route tables of a service.
struct RouteTable {
  std::string service;
  Term term;
  std::uint64_t version = 0;
  // Maps keys to the backend servers that own them.
  SliceTable keys;
  // Maps routing duties to the entry hosts that hold them.
  SliceTable routing;

  bool NewerThan(const RouteTable& other) const {
    if (term != other.term) {
      return term > other.term;
    }
    return version > other.version;
  }
};

}  // namespace mustardflow::state

#endif  // MUSTARDFLOW_STATE_SLICE_TABLE_H_
