#include "LibFlow/stream_packet.h"

namespace flow {

StreamPacket MakeStreamPacket(const CallerPacket& packet) {
  return {.m_key = packet.m_key,
          .m_hash = HashFlow(packet.m_key),
          .m_sender = StreamEnd::kCaller,
          .m_position = packet.m_position,
          .m_payload_bytes = packet.m_payload_bytes,
          .m_acknowledged = packet.m_acknowledged,
          .m_is_window_closed = packet.m_is_window_closed,
          .m_is_control = packet.m_kind != CallerPacketKind::kData,
          .m_server = {}};
}

StreamPacket MakeStreamPacket(const ServerPacket& packet) {
  return {.m_key = packet.m_key,
          .m_hash = HashFlow(packet.m_key),
          .m_sender = StreamEnd::kServer,
          .m_position = packet.m_server_position,
          .m_payload_bytes = packet.m_payload_bytes,
          .m_acknowledged = packet.m_position,
          .m_is_window_closed = packet.m_is_window_closed,
          .m_is_control = packet.m_kind != ServerPacketKind::kData,
          .m_server = packet.m_server};
}

}  // namespace flow
