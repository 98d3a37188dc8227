// A packet in the form that the detection of silent flows uses for both ends.

#ifndef LIBFLOW_STREAM_PACKET_H_
#define LIBFLOW_STREAM_PACKET_H_

#include <cstdint>

#include "LibBase/ipv4.h"
#include "LibFlow/flow_key.h"
#include "LibFlow/flow_packet.h"

namespace flow {

// An end of a flow. The values are on the wire.
enum class StreamEnd : std::uint8_t {
  kCaller = 0,
  kServer = 1,
};

constexpr StreamEnd OtherEnd(StreamEnd end) {
  return end == StreamEnd::kCaller ? StreamEnd::kServer : StreamEnd::kCaller;
}

// Whether position `later` of a stream is past `earlier`, modulo 2^32.
constexpr bool IsPast(std::uint32_t later, std::uint32_t earlier) {
  return static_cast<std::int32_t>(later - earlier) > 0;
}

struct StreamPacket {
  FlowKey m_key;
  std::uint64_t m_hash = 0;
  StreamEnd m_sender = StreamEnd::kCaller;
  // Where in the sender's byte stream the packet starts.
  std::uint32_t m_position = 0;
  std::uint32_t m_payload_bytes = 0;
  // How far the sender has read the stream of the other end.
  std::uint32_t m_acknowledged = 0;
  // The sender accepts no more data for now. Repetitions of the other end are
  // then probes of the window (RFC 9293 section 3.8.6.1) and no sign of a loss.
  bool m_is_window_closed = false;
  // The packet opens, closes or aborts the flow.
  bool m_is_control = false;
  // The backend server that sent the packet; zero for a packet of a caller.
  base::Ipv4Address m_server;
};

StreamPacket MakeStreamPacket(const CallerPacket& packet);
StreamPacket MakeStreamPacket(const ServerPacket& packet);

}  // namespace flow

#endif  // LIBFLOW_STREAM_PACKET_H_
