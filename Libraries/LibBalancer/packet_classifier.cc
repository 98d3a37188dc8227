#include "LibBalancer/packet_classifier.h"

#include "LibWire/packet_view.h"

namespace balancer {

namespace {

flow::CallerPacketKind CallerKindOf(wire::TcpFlags flags) {
  if (flags.m_reset)
    return flow::CallerPacketKind::kAborted;
  if (flags.m_finish)
    return flow::CallerPacketKind::kClosing;
  if (flags.m_synchronise && !flags.m_acknowledge)
    return flow::CallerPacketKind::kOpening;
  return flow::CallerPacketKind::kData;
}

flow::ServerPacketKind ResetKindOf(const wire::PacketView& packet) {
  if (!packet.flags().m_acknowledge)
    return flow::ServerPacketKind::kNoSuchFlow;
  if (packet.sequence() == 0)
    return flow::ServerPacketKind::kRefused;
  return flow::ServerPacketKind::kAborted;
}

flow::ServerPacketKind ServerKindOf(const wire::PacketView& packet) {
  const wire::TcpFlags flags = packet.flags();
  if (flags.m_reset)
    return ResetKindOf(packet);
  if (flags.m_synchronise)
    return flow::ServerPacketKind::kAccepted;
  if (flags.m_finish)
    return flow::ServerPacketKind::kClosing;
  return flow::ServerPacketKind::kData;
}

}  // namespace

flow::CallerPacket ClassifyCallerPacket(const wire::PacketView& packet,
                                        flow::RelayContext relay) {
  return {.m_key = {packet.source(), packet.destination()},
          .m_kind = CallerKindOf(packet.flags()),
          .m_position = packet.sequence(),
          .m_relay = relay,
          .m_bytes = packet.bytes(),
          .m_acknowledged = packet.acknowledgement(),
          .m_payload_bytes = static_cast<std::uint32_t>(packet.payload_bytes()),
          .m_is_window_closed = packet.window() == 0};
}

flow::ServerPacket ClassifyServerPacket(const wire::PacketView& packet,
                                        base::Ipv4Address server,
                                        flow::RelayContext relay) {
  const flow::ServerPacketKind kind = ServerKindOf(packet);
  return {.m_key = {packet.destination(), packet.source()},
          .m_kind = kind,
          .m_position = kind == flow::ServerPacketKind::kNoSuchFlow
                            ? packet.sequence()
                            : packet.acknowledgement(),
          .m_server = server,
          .m_relay = relay,
          .m_has_payload = packet.payload_bytes() > 0,
          .m_server_position = packet.sequence(),
          .m_payload_bytes = static_cast<std::uint32_t>(packet.payload_bytes()),
          .m_is_window_closed = packet.window() == 0};
}

}  // namespace balancer
