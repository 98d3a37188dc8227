// A part of the flow table, with open addressing and linear probing. The number
// of slots is arbitrary, so that a segment can grow by a share of its size.

#ifndef LIBFLOW_FLOW_SEGMENT_H_
#define LIBFLOW_FLOW_SEGMENT_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibFlow/flow_entry.h"
#include "LibFlow/flow_key.h"

namespace flow {

class FlowSegment {
 public:
  FlowSegment();

  // Queries.
  std::size_t size() const { return m_size; }
  std::size_t slot_count() const { return m_slots.size(); }
  // Slots that the next growth adds.
  std::size_t growth() const;
  // Whether another entry would make probing long.
  bool IsFull() const;
  // The slot where the search for a hash starts, derived from the lower half of
  // the hash.
  std::size_t SlotOf(std::uint64_t hash) const {
    constexpr unsigned kHalfBits = 32;
    return (std::uint64_t{static_cast<std::uint32_t>(hash)} * m_slots.size()) >>
           kHalfBits;
  }
  std::size_t Next(std::size_t slot) const {
    return slot + 1 == m_slots.size() ? 0 : slot + 1;
  }
  const FlowEntry& At(std::size_t slot) const { return m_slots[slot]; }

  // Commands. A pointer is valid until the next Add, Erase or Grow.
  FlowEntry* Find(const FlowKey& key, std::uint64_t hash);
  // Adds an entry. The key must be absent and the segment must not be full.
  FlowEntry& Add(const FlowEntry& entry, std::uint64_t hash);
  void Erase(std::size_t slot);
  void Erase(const FlowKey& key, std::uint64_t hash);
  void Grow();

 private:
  // Number of slots from `from` to `to`, forward and around the end.
  std::size_t Distance(std::size_t from, std::size_t to) const {
    return to >= from ? to - from : to + m_slots.size() - from;
  }

  std::vector<FlowEntry> m_slots;
  std::size_t m_size = 0;
};

}  // namespace flow

#endif  // LIBFLOW_FLOW_SEGMENT_H_
