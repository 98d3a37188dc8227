#include "LibFlow/flow_segment.h"

namespace flow {

namespace {

constexpr std::size_t kInitialSlots = 16;
// Linear probing stays short up to this share of used slots.
constexpr std::size_t kMaximumLoadPercent = 77;
// A segment grows by its number of slots divided by this.
constexpr std::size_t kGrowthDivisor = 8;

}  // namespace

FlowSegment::FlowSegment() : m_slots(kInitialSlots) {}

std::size_t FlowSegment::growth() const {
  return m_slots.size() / kGrowthDivisor;
}

bool FlowSegment::IsFull() const {
  return m_size * 100 >= m_slots.size() * kMaximumLoadPercent;
}

FlowEntry* FlowSegment::Find(const FlowKey& key, std::uint64_t hash) {
  for (std::size_t slot = SlotOf(hash);; slot = Next(slot)) {
    FlowEntry& entry = m_slots[slot];
    if (entry.m_state == FlowState::kFree)
      return nullptr;
    if (entry.HasKey(key))
      return &entry;
  }
}

FlowEntry& FlowSegment::Add(const FlowEntry& entry, std::uint64_t hash) {
  std::size_t slot = SlotOf(hash);
  while (m_slots[slot].m_state != FlowState::kFree)
    slot = Next(slot);
  ++m_size;
  m_slots[slot] = entry;
  return m_slots[slot];
}

void FlowSegment::Erase(const FlowKey& key, std::uint64_t hash) {
  const FlowEntry* entry = Find(key, hash);
  if (entry != nullptr)
    Erase(static_cast<std::size_t>(entry - m_slots.data()));
}

// Deletion by shifting back (Knuth, TAOCP volume 3, section 6.4, algorithm R),
// which leaves no tombstones.
void FlowSegment::Erase(std::size_t slot) {
  std::size_t hole = slot;
  for (std::size_t next = Next(hole); m_slots[next].m_state != FlowState::kFree;
       next = Next(next)) {
    const std::size_t ideal = SlotOf(HashFlow(m_slots[next].key()));
    if (Distance(ideal, hole) > Distance(ideal, next))
      continue;
    m_slots[hole] = m_slots[next];
    hole = next;
  }
  m_slots[hole] = FlowEntry();
  --m_size;
}

void FlowSegment::Grow() {
  std::vector<FlowEntry> old(m_slots.size() + growth());
  old.swap(m_slots);
  m_size = 0;
  for (const FlowEntry& entry : old) {
    if (entry.m_state != FlowState::kFree)
      Add(entry, HashFlow(entry.key()));
  }
}

}  // namespace flow
