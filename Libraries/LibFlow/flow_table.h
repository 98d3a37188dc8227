// The flows a balancer knows: an open-addressing hash table with linear
// probing, bounded in bytes. Losing an entry costs a relay or a probe, never
// the flow, so a full table evicts.

#ifndef LIBFLOW_FLOW_TABLE_H_
#define LIBFLOW_FLOW_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "LibBase/time.h"
#include "LibFlow/flow_entry.h"
#include "LibFlow/flow_key.h"

namespace flow {

class FlowTable {
 public:
  // Whether an entry may go: called by Sweep for each entry it passes.
  using IsExpendable = std::function<bool(const FlowEntry&)>;

  FlowTable(base::TimePoint epoch, std::size_t maximum_bytes);

  // Queries.
  std::size_t size() const { return m_size; }
  std::size_t allocated_bytes() const {
    return m_slots.size() * sizeof(FlowEntry);
  }
  std::size_t evictions() const { return m_evictions; }
  std::uint32_t Milliseconds(base::TimePoint now) const;

  // Commands. A pointer is valid until the next Insert, Erase or Sweep.
  FlowEntry* Find(const FlowKey& key, std::uint64_t hash);
  // A new or existing entry of the key; at the bound of bytes an entry that
  // was idle for longer than its neighbours is evicted and passed to
  // `evicted` first.
  FlowEntry& Insert(const FlowKey& key,
                    std::uint64_t hash,
                    base::TimePoint now,
                    const std::function<void(const FlowEntry&)>& evicted);
  void Erase(const FlowKey& key, std::uint64_t hash);
  // Passes `slots` slots on from where the last sweep ended and erases what
  // is expendable.
  void Sweep(std::size_t slots, const IsExpendable& is_expendable);

 private:
  std::size_t SlotOf(std::uint64_t hash) const {
    return hash & (m_slots.size() - 1);
  }
  bool IsFull() const;
  bool CanGrow() const;
  void Grow();
  std::size_t ChooseVictim(std::size_t first, std::uint32_t now_ms) const;
  void EraseSlot(std::size_t slot);

  base::TimePoint m_epoch;
  std::size_t m_maximum_bytes;
  std::vector<FlowEntry> m_slots;
  std::size_t m_size = 0;
  std::size_t m_sweep_position = 0;
  std::size_t m_evictions = 0;
};

}  // namespace flow

#endif  // LIBFLOW_FLOW_TABLE_H_
