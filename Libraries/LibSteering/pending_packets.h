// Datagrams that came before the balancer knew routes and servers. A caller
// whose packet is dropped repeats it up to 1.6 s later, so a packet that waits
// a moment is worth more than its copy.

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
  // Older packets have been repeated by their callers twice, or given up.
  static constexpr base::Duration kMaximumAge = std::chrono::milliseconds(700);
  // A second's worth of the busiest VM.
  static constexpr std::size_t kMaximumPackets = 2048;

  struct Packet {
    std::vector<std::uint8_t> m_bytes;
    base::TimePoint m_received_at;
  };

  // Queries.
  std::size_t size() const { return m_packets.size(); }

  // Commands.
  // The oldest packet gives way if there are too many.
  void AddPacket(std::span<const std::uint8_t> datagram, base::TimePoint now) {
    if (m_packets.size() >= kMaximumPackets)
      m_packets.pop_front();
    m_packets.push_back({{datagram.begin(), datagram.end()}, now});
  }
  // Returns those that are not too old, in order of arrival.
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
