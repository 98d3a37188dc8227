#include "LibFlow/retransmission_table.h"

#include <algorithm>
#include <bit>
#include <chrono>
#include <limits>

#include "LibBase/verify.h"
#include "LibFlow/flow_entry.h"

namespace flow {

namespace {

constexpr std::uint32_t kTagBits = 24;
constexpr std::uint32_t kMaximumCount = 255;

std::uint64_t HashStream(std::uint64_t flow_hash, StreamEnd sender) {
  return sender == StreamEnd::kServer ? ~flow_hash : flow_hash;
}

// Never zero, which marks a free slot.
std::uint32_t TagOf(std::uint64_t hash) {
  return static_cast<std::uint32_t>(hash >> (64 - kTagBits)) | 1U;
}

std::uint32_t EndOf(const StreamPacket& packet) {
  return packet.m_position + packet.m_payload_bytes;
}

}  // namespace

RetransmissionTable::RetransmissionTable(base::TimePoint epoch,
                                         std::size_t slots)
    : m_epoch(epoch), m_slots(slots) {
  VERIFY(std::has_single_bit(slots));
}

const RetransmissionTable::Observation* RetransmissionTable::Find(
    const WatchedStream& stream) const {
  const std::uint64_t hash = HashStream(stream.m_flow_hash, stream.m_sender);
  const Observation& observation = m_slots[hash & (m_slots.size() - 1)];
  return observation.m_tag == TagOf(hash) ? &observation : nullptr;
}

std::uint8_t RetransmissionTable::TransmissionCount(
    const WatchedStream& stream) const {
  const Observation* observation = Find(stream);
  if (observation == nullptr || observation->m_position != stream.m_position)
    return 0;
  return static_cast<std::uint8_t>(observation->m_count);
}

std::uint16_t RetransmissionTable::ExtentOf(const WatchedStream& stream) const {
  constexpr std::uint32_t kMaximumExtent =
      std::numeric_limits<std::uint16_t>::max();
  const Observation* observation = Find(stream);
  if (observation == nullptr || !IsPast(observation->m_end, stream.m_position))
    return 0;
  return static_cast<std::uint16_t>(
      std::min(observation->m_end - stream.m_position, kMaximumExtent));
}

base::Duration RetransmissionTable::Record(const StreamPacket& packet,
                                           base::TimePoint now) {
  using std::chrono::milliseconds;
  const auto elapsed = std::chrono::duration_cast<milliseconds>(now - m_epoch);
  const auto now_ms = static_cast<std::uint32_t>(elapsed.count());
  const std::uint64_t hash = HashStream(packet.m_hash, packet.m_sender);

  Observation& observation = m_slots[hash & (m_slots.size() - 1)];
  // A flow that reuses the ports of an earlier flow starts at any position.
  if (observation.m_tag != TagOf(hash) ||
      !IsPlausiblePosition(observation.m_end, packet.m_position)) {
    observation = {TagOf(hash), 1, packet.m_position, EndOf(packet), now_ms};
    return base::Duration::zero();
  }
  const bool is_new_data = !IsPast(observation.m_end, packet.m_position);
  if (is_new_data) {
    observation.m_end = EndOf(packet);
    observation.m_advanced_ms = now_ms;
    // New data does not prove that the repeated payload has arrived.
    if (observation.m_count > 1)
      return base::Duration::zero();
    observation.m_position = packet.m_position;
    return base::Duration::zero();
  }
  CountRetransmission(packet, observation);
  return milliseconds(now_ms - observation.m_advanced_ms);
}

void RetransmissionTable::CountRetransmission(const StreamPacket& packet,
                                              Observation& observation) {
  if (IsPast(EndOf(packet), observation.m_end))
    observation.m_end = EndOf(packet);
  if (observation.m_position != packet.m_position) {
    observation.m_position = packet.m_position;
    observation.m_count = 1;
  }
  if (observation.m_count < kMaximumCount)
    ++observation.m_count;
}

}  // namespace flow
