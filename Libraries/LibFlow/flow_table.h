// The flows that a balancer knows, in a hash table of segments that grow one by
// one up to a limit in bytes. A full table evicts entries: a lost entry costs a
// relay or a probe, never the flow.

#ifndef LIBFLOW_FLOW_TABLE_H_
#define LIBFLOW_FLOW_TABLE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>

#include "LibBase/time.h"
#include "LibFlow/flow_entry.h"
#include "LibFlow/flow_key.h"
#include "LibFlow/flow_segment.h"

namespace flow {

class FlowTable {
 public:
  using Predicate = std::function<bool(const FlowEntry&)>;

  FlowTable(base::TimePoint epoch, std::size_t maximum_bytes);

  // Queries.
  std::size_t size() const { return m_size; }
  std::size_t slot_count() const { return m_slot_count; }
  std::size_t allocated_bytes() const {
    return m_slot_count * sizeof(FlowEntry);
  }
  std::size_t evictions() const { return m_evictions; }
  // Milliseconds from the epoch of the table to `now`, modulo 2^32.
  std::uint32_t Milliseconds(base::TimePoint now) const;

  // Commands. A pointer is valid until the next Insert, Erase or Sweep.
  FlowEntry* Find(const FlowKey& key, std::uint64_t hash) {
    return SegmentOf(hash).Find(key, hash);
  }
  // Returns the entry of the key, inserted if absent. An inserted entry has
  // state kEstablished and no server. At the limit of bytes an
  // entry that was idle for longer than its neighbours is passed to `evicted`
  // and evicted first. The idle time of an entry that `is_recoverable` counts
  // several times: a probe finds the server of its flow at the first try.
  FlowEntry& Insert(const FlowKey& key,
                    std::uint64_t hash,
                    base::TimePoint now,
                    const std::function<void(const FlowEntry&)>& evicted,
                    const Predicate& is_recoverable = nullptr);
  void Erase(const FlowKey& key, std::uint64_t hash);
  // Visits the `slots` slots that follow the last sweep and erases the entries
  // that are expendable.
  void Sweep(std::size_t slots, const Predicate& is_expendable);

 private:
  static constexpr unsigned kSegmentBits = 6;
  static constexpr std::size_t kSegments = std::size_t{1} << kSegmentBits;

  FlowSegment& SegmentOf(std::uint64_t hash) {
    constexpr unsigned kHashBits = 64;
    return m_segments[hash >> (kHashBits - kSegmentBits)];
  }
  bool CanGrow(const FlowSegment& segment) const;
  void EraseFrom(FlowSegment& segment, std::size_t slot);

  base::TimePoint m_epoch;
  std::size_t m_maximum_bytes;
  std::array<FlowSegment, kSegments> m_segments;
  std::size_t m_slot_count = 0;
  std::size_t m_size = 0;
  std::size_t m_sweep_segment = 0;
  std::size_t m_sweep_slot = 0;
  std::size_t m_evictions = 0;
};

}  // namespace flow

#endif  // LIBFLOW_FLOW_TABLE_H_
