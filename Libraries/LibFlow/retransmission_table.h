// Stores for each end of a flow the position of a payload that passed this
// balancer, so that one comparison recognises a retransmission. The table has a
// fixed size and no chains: a newer flow replaces an older one in its slot, and
// then another balancer recognises the retransmissions of the older flow.

#ifndef LIBFLOW_RETRANSMISSION_TABLE_H_
#define LIBFLOW_RETRANSMISSION_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibBase/time.h"
#include "LibFlow/stream_packet.h"
#include "LibFlow/watch_message.h"

namespace flow {

class RetransmissionTable {
 public:
  // `slots` must be a power of two.
  RetransmissionTable(base::TimePoint epoch, std::size_t slots);

  // Queries.
  std::size_t allocated_bytes() const {
    return m_slots.size() * sizeof(Observation);
  }

  // How many payloads from this position have passed here, saturating at 255;
  // zero if the slot has other data or a newer flow.
  std::uint8_t TransmissionCount(const WatchedStream& stream) const;

  // Bytes from this position to the end of the newest payload, saturating at
  // 65,535; zero if unknown.
  std::uint16_t ExtentOf(const WatchedStream& stream) const;

  // Commands.
  // Records a payload. A payload that starts before the end of data that has
  // passed is a retransmission. Returns the time since new data last passed for
  // a retransmission, else zero.
  base::Duration Record(const StreamPacket& packet, base::TimePoint now);

 private:
  struct Observation {
    // Hash bits of the flow and the sender; zero in a free slot.
    std::uint32_t m_tag : 24 = 0;
    std::uint32_t m_count : 8 = 0;
    // Start of the last payload that was repeated, or else of the newest.
    std::uint32_t m_position = 0;
    // Where the newest payload ends.
    std::uint32_t m_end = 0;
    // When new data last passed: milliseconds since the table was made, modulo
    // 2^32.
    std::uint32_t m_advanced_ms = 0;
  };

  // Null if the slot belongs to another stream.
  const Observation* Find(const WatchedStream& stream) const;
  static void CountRetransmission(const StreamPacket& packet,
                                  Observation& observation);

  base::TimePoint m_epoch;
  std::vector<Observation> m_slots;
};

}  // namespace flow

#endif  // LIBFLOW_RETRANSMISSION_TABLE_H_
