#include "LibFlow/flow_table.h"

#include <algorithm>
#include <chrono>

namespace flow {

namespace {

constexpr std::size_t kInitialSlots = 1024;
// Linear probing stays short up to this share of used slots.
constexpr std::size_t kMaximumLoadPercent = 85;
// How many entries an eviction compares.
constexpr std::size_t kVictimSample = 16;

}  // namespace

FlowTable::FlowTable(base::TimePoint epoch, std::size_t maximum_bytes)
    : m_epoch(epoch), m_maximum_bytes(maximum_bytes), m_slots(kInitialSlots) {}

std::uint32_t FlowTable::Milliseconds(base::TimePoint now) const {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - m_epoch)
          .count());
}

FlowEntry* FlowTable::Find(const FlowKey& key, std::uint64_t hash) {
  for (std::size_t slot = SlotOf(hash);; slot = SlotOf(slot + 1)) {
    FlowEntry& entry = m_slots[slot];
    if (entry.m_state == FlowState::kFree)
      return nullptr;
    if (entry.m_key == key)
      return &entry;
  }
}

FlowEntry& FlowTable::Insert(
    const FlowKey& key,
    std::uint64_t hash,
    base::TimePoint now,
    const std::function<void(const FlowEntry&)>& evicted) {
  if (FlowEntry* existing = Find(key, hash))
    return *existing;
  const std::uint32_t now_ms = Milliseconds(now);
  if (IsFull() && CanGrow())
    Grow();
  if (IsFull()) {
    const std::size_t victim = ChooseVictim(SlotOf(hash), now_ms);
    evicted(m_slots[victim]);
    EraseSlot(victim);
    ++m_evictions;
  }
  std::size_t slot = SlotOf(hash);
  while (m_slots[slot].m_state != FlowState::kFree)
    slot = SlotOf(slot + 1);
  ++m_size;
  FlowEntry& entry = m_slots[slot];
  entry = FlowEntry();
  entry.m_key = key;
  entry.m_state = FlowState::kEstablished;
  entry.m_first_seen_ms = now_ms;
  entry.m_last_seen_ms = now_ms;
  return entry;
}

void FlowTable::Erase(const FlowKey& key, std::uint64_t hash) {
  const FlowEntry* entry = Find(key, hash);
  if (entry != nullptr)
    EraseSlot(static_cast<std::size_t>(entry - m_slots.data()));
}

void FlowTable::Sweep(std::size_t slots, const IsExpendable& is_expendable) {
  const std::size_t count = std::min(slots, m_slots.size());
  for (std::size_t i = 0; i < count; ++i) {
    m_sweep_position = SlotOf(m_sweep_position);
    FlowEntry& entry = m_slots[m_sweep_position];
    // Erasing moves a later entry into the slot, which is looked at next.
    if (entry.m_state != FlowState::kFree && is_expendable(entry))
      EraseSlot(m_sweep_position);
    else
      ++m_sweep_position;
  }
}

bool FlowTable::IsFull() const {
  return m_size * 100 >= m_slots.size() * kMaximumLoadPercent;
}

bool FlowTable::CanGrow() const {
  return 2 * allocated_bytes() <= m_maximum_bytes;
}

void FlowTable::Grow() {
  std::vector<FlowEntry> old(m_slots.size() * 2);
  old.swap(m_slots);
  for (const FlowEntry& entry : old) {
    if (entry.m_state == FlowState::kFree)
      continue;
    std::size_t slot = SlotOf(HashFlow(entry.m_key));
    while (m_slots[slot].m_state != FlowState::kFree)
      slot = SlotOf(slot + 1);
    m_slots[slot] = entry;
  }
}

std::size_t FlowTable::ChooseVictim(std::size_t first,
                                    std::uint32_t now_ms) const {
  std::size_t victim = first;
  std::uint32_t victim_idle_ms = 0;
  std::size_t seen = 0;
  for (std::size_t slot = first; seen < kVictimSample;
       slot = SlotOf(slot + 1)) {
    const FlowEntry& entry = m_slots[slot];
    if (entry.m_state == FlowState::kFree)
      continue;
    ++seen;
    const std::uint32_t idle_ms = now_ms - entry.m_last_seen_ms;
    if (seen == 1 || idle_ms > victim_idle_ms) {
      victim = slot;
      victim_idle_ms = idle_ms;
    }
  }
  return victim;
}

// Deletion by shifting back (Knuth, TAOCP volume 3, section 6.4, algorithm R),
// which leaves no tombstones.
void FlowTable::EraseSlot(std::size_t slot) {
  std::size_t hole = slot;
  for (std::size_t next = SlotOf(hole + 1);
       m_slots[next].m_state != FlowState::kFree; next = SlotOf(next + 1)) {
    const std::size_t ideal = SlotOf(HashFlow(m_slots[next].m_key));
    const std::size_t distance_to_next = SlotOf(next - ideal);
    const std::size_t distance_to_hole = SlotOf(hole - ideal);
    if (distance_to_hole > distance_to_next)
      continue;
    m_slots[hole] = m_slots[next];
    hole = next;
  }
  m_slots[hole] = FlowEntry();
  --m_size;
}

}  // namespace flow
