// Remembers for each end of a flow the place of a payload that passed here, so
// that a retransmission is recognised by one comparison. A table of fixed size
// without chains: a newer flow takes the slot of an older one, and then another
// balancer notices the older one.

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
  // The number of slots is a power of two.
  RetransmissionTable(base::TimePoint epoch, std::size_t slots);

  // Queries.
  std::size_t allocated_bytes() const {
    return m_slots.size() * sizeof(Observation);
  }

  // How many payloads from this place have passed here, saturating at 255;
  // zero if other data or a newer flow took the slot.
  std::uint8_t TransmissionCount(const WatchedStream& stream) const;

  // From this place to the end of the newest payload, saturating at 65,535;
  // zero if that is not known.
  std::uint16_t ExtentOf(const WatchedStream& stream) const;

  // Commands.
  // Notes a payload. If it lies behind data that has passed before, so that it
  // is a retransmission, returns the time since new data last passed; else
  // zero.
  base::Duration Record(const StreamPacket& packet, base::TimePoint now);

 private:
  struct Observation {
    // Of the flow and the sender; zero in a free slot.
    std::uint32_t m_tag : 24 = 0;
    std::uint32_t m_count : 8 = 0;
    // The last payload that was repeated, or else the newest.
    std::uint32_t m_position = 0;
    // Where the newest payload ends.
    std::uint32_t m_end = 0;
    // When new data last passed: milliseconds since the table was made, modulo
    // 2^32.
    std::uint32_t m_advanced_ms = 0;
  };

  // Null if the slot is another's.
  const Observation* Find(const WatchedStream& stream) const;
  static void CountRetransmission(const StreamPacket& packet,
                                  Observation& observation);

  base::TimePoint m_epoch;
  std::vector<Observation> m_slots;
};

}  // namespace flow

#endif  // LIBFLOW_RETRANSMISSION_TABLE_H_
