// Buffers the datagrams that arrive before the balancer knows routes and
// servers, or whose flows a newer view may allow. A caller retransmits a
// dropped packet 200 ms to 1.6 s later, so a buffered packet is usually
// answered sooner than its retransmission.

#ifndef LIBSTEERING_PENDING_PACKETS_H_
#define LIBSTEERING_PENDING_PACKETS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "LibBase/time.h"

namespace steering {

class PendingPackets {
 public:
  // Callers have retransmitted older packets twice, or have stopped waiting.
  static constexpr base::Duration kMaximumAge = std::chrono::milliseconds(700);
  // How long a packet waits for a newer view. The caller retransmits it 200 ms
  // after it was sent.
  static constexpr base::Duration kMaximumViewWait =
      std::chrono::milliseconds(150);
  // The packets that the busiest VM receives in one second.
  static constexpr std::size_t kMaximumPackets = 2048;

  struct Packet {
    std::vector<std::uint8_t> m_bytes;
    base::TimePoint m_received_at;
  };

  // Queries.
  std::size_t size() const { return m_packets.size(); }

  // Commands.
  // Removes the oldest packet if the buffer is full.
  void AddPacket(std::span<const std::uint8_t> datagram, base::TimePoint now) {
    if (m_packets.size() >= kMaximumPackets)
      m_packets.pop_front();
    m_packets.push_back({{datagram.begin(), datagram.end()}, now});
  }
  // Empties the buffer. Returns the packets that are not older than kMaximumAge
  // in order of arrival.
  std::vector<Packet> ReleaseUnexpired(base::TimePoint now) {
    std::vector<Packet> released;
    for (Packet& packet : m_packets) {
      if (now - packet.m_received_at <= kMaximumAge)
        released.push_back(std::move(packet));
    }
    m_packets.clear();
    return released;
  }

 private:
  std::deque<Packet> m_packets;
};

}  // namespace steering

#endif  // LIBSTEERING_PENDING_PACKETS_H_
