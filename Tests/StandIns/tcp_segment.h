// One TCP segment as a plain value (RFC 9293, section 3.1).

#ifndef STANDINS_TCP_SEGMENT_H_
#define STANDINS_TCP_SEGMENT_H_

#include <cstdint>
#include <string>

namespace stand_ins {

struct TcpSegment {
  std::uint32_t m_sequence = 0;
  std::uint32_t m_acknowledgment = 0;
  bool m_syn = false;
  bool m_ack = false;
  bool m_fin = false;
  bool m_rst = false;
  std::uint16_t m_window = 0;
  std::string m_payload;

  // SEG.LEN: the sequence numbers that the segment occupies.
  std::uint32_t Length() const {
    return static_cast<std::uint32_t>(m_payload.size()) + (m_syn ? 1U : 0U) +
           (m_fin ? 1U : 0U);
  }
};

}  // namespace stand_ins

#endif  // STANDINS_TCP_SEGMENT_H_
