#include "LibFlow/flow_table.h"

#include <algorithm>
#include <chrono>

namespace flow {

namespace {

// Number of entries that an eviction compares.
constexpr std::size_t kEvictionSampleSize = 16;
// Factor by which the idle time of a recoverable entry counts.
constexpr std::uint64_t kRecoverableIdleFactor = 4;

std::size_t ChooseVictim(const FlowSegment& segment,
                         std::size_t first,
                         std::uint32_t now_ms,
                         const FlowTable::Predicate& is_recoverable) {
  std::size_t victim = first;
  std::uint64_t best_score = 0;
  std::size_t compared = 0;
  for (std::size_t slot = first; compared < kEvictionSampleSize;
       slot = segment.Next(slot)) {
    const FlowEntry& entry = segment.At(slot);
    if (entry.m_state == FlowState::kFree)
      continue;
    ++compared;
    const std::uint32_t idle_ms = now_ms - entry.m_last_seen_ms;
    std::uint64_t score = std::uint64_t{idle_ms} + 1;
    const bool may_be_best = score * kRecoverableIdleFactor > best_score;
    if (may_be_best && is_recoverable && is_recoverable(entry))
      score *= kRecoverableIdleFactor;
    if (score > best_score) {
      victim = slot;
      best_score = score;
    }
  }
  return victim;
}

}  // namespace

FlowTable::FlowTable(base::TimePoint epoch, std::size_t maximum_bytes)
    : m_epoch(epoch), m_maximum_bytes(maximum_bytes) {
  for (const FlowSegment& segment : m_segments)
    m_slot_count += segment.slot_count();
}

std::uint32_t FlowTable::Milliseconds(base::TimePoint now) const {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(now - m_epoch)
          .count());
}

FlowEntry& FlowTable::Insert(
    const FlowKey& key,
    std::uint64_t hash,
    base::TimePoint now,
    const std::function<void(const FlowEntry&)>& evicted,
    const Predicate& is_recoverable) {
  FlowSegment& segment = SegmentOf(hash);
  if (FlowEntry* existing = segment.Find(key, hash))
    return *existing;
  const std::uint32_t now_ms = Milliseconds(now);
  if (segment.IsFull() && CanGrow(segment)) {
    m_slot_count += segment.growth();
    segment.Grow();
  }
  if (segment.IsFull()) {
    const std::size_t victim =
        ChooseVictim(segment, segment.SlotOf(hash), now_ms, is_recoverable);
    evicted(segment.At(victim));
    EraseFrom(segment, victim);
    ++m_evictions;
  }
  FlowEntry entry(key, now_ms);
  entry.m_state = FlowState::kEstablished;
  ++m_size;
  return segment.Add(entry, hash);
}

void FlowTable::Erase(const FlowKey& key, std::uint64_t hash) {
  FlowSegment& segment = SegmentOf(hash);
  m_size -= segment.size();
  segment.Erase(key, hash);
  m_size += segment.size();
}

void FlowTable::Sweep(std::size_t slots, const Predicate& is_expendable) {
  const std::size_t count = std::min(slots, m_slot_count);
  for (std::size_t i = 0; i < count; ++i) {
    if (m_sweep_slot >= m_segments[m_sweep_segment].slot_count()) {
      m_sweep_slot = 0;
      m_sweep_segment = (m_sweep_segment + 1) % kSegments;
    }
    FlowSegment& segment = m_segments[m_sweep_segment];
    const FlowEntry& entry = segment.At(m_sweep_slot);
    // Erasing may move a later entry into the slot, so the slot is visited
    // again.
    if (entry.m_state != FlowState::kFree && is_expendable(entry))
      EraseFrom(segment, m_sweep_slot);
    else
      ++m_sweep_slot;
  }
}

bool FlowTable::CanGrow(const FlowSegment& segment) const {
  return (m_slot_count + segment.growth()) * sizeof(FlowEntry) <=
         m_maximum_bytes;
}

void FlowTable::EraseFrom(FlowSegment& segment, std::size_t slot) {
  segment.Erase(slot);
  --m_size;
}

}  // namespace flow
