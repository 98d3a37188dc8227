// What happens to flows, apart from any wire: the events the director takes.

#ifndef LIBFLOW_FLOW_PACKET_H_
#define LIBFLOW_FLOW_PACKET_H_

#include <cstdint>
#include <span>

#include "LibBase/enum_table.h"
#include "LibBase/ipv4.h"
#include "LibFlow/flow_key.h"

namespace flow {

enum class CallerPacketKind : std::uint8_t {
  kOpening,
  kData,
  kClosing,
  // The caller aborted the flow: it is over at both ends.
  kAborted,
};

enum class ServerPacketKind : std::uint8_t {
  // The server accepted the opening.
  kAccepted,
  kData,
  kClosing,
  // The server refused the opening: nothing of the flow has run.
  kRefused,
  // The server aborted a flow that it had.
  kAborted,
  // The server does not have the flow to which it was sent a packet.
  kNoSuchFlow,
};

// Why one balancer relays a packet to another. The values are on the wire.
enum class RelayPurpose : std::uint8_t {
  // Not relayed: from the fabric.
  kNone = 0,
  // An opening, to the flow's home.
  kOpening = 1,
  // A packet of a flow that the sender does not know, to the flow's home.
  kAsk = 2,
  // The home does not know the flow either: to the next in search order.
  kSearch = 3,
  // Nobody in the search order knew the flow: back to the home.
  kNotFound = 4,
  // A packet from a server that the home must see.
  kAnswer = 5,
  // A closing packet that the home must see; the sender names the server.
  kClosing = 6,
};

inline constexpr base::EnumTable<RelayPurpose, 7> kRelayPurposeNames = {{
    {RelayPurpose::kNone, "none"},
    {RelayPurpose::kOpening, "opening"},
    {RelayPurpose::kAsk, "ask"},
    {RelayPurpose::kSearch, "search"},
    {RelayPurpose::kNotFound, "not_found"},
    {RelayPurpose::kAnswer, "answer"},
    {RelayPurpose::kClosing, "closing"},
}};

struct RelayContext {
  RelayPurpose m_purpose = RelayPurpose::kNone;
  std::uint8_t m_hops = 0;
  // The server that the relaying balancer knew of; zero if none.
  base::Ipv4Address m_known_server;
};

struct CallerPacket {
  FlowKey m_key;
  CallerPacketKind m_kind = CallerPacketKind::kData;
  // Where in the caller's byte stream the packet starts: TCP's sequence
  // number.
  std::uint32_t m_position = 0;
  RelayContext m_relay;
  // The packet itself, kept by the home while the opening may be repeated.
  std::span<const std::uint8_t> m_bytes;
  // How far the caller has read the server's byte stream: TCP's
  // acknowledgement number. A server that does not have the flow repeats it
  // (RFC 9293 section 3.10.7.1).
  std::uint32_t m_acknowledged = 0;
  std::uint32_t m_payload_bytes = 0;
  // The caller takes no more data for now: TCP's window is zero.
  bool m_is_window_closed = false;
};

struct ServerPacket {
  FlowKey m_key;
  ServerPacketKind m_kind = ServerPacketKind::kData;
  // How far the server has read the caller's byte stream: TCP's
  // acknowledgement number. Of kNoSuchFlow the sequence number, which is
  // m_acknowledged of the packet that it answers.
  std::uint32_t m_position = 0;
  base::Ipv4Address m_server;
  RelayContext m_relay;
  bool m_has_payload = false;
  // Where in the server's byte stream the packet starts: TCP's sequence number.
  std::uint32_t m_server_position = 0;
  std::uint32_t m_payload_bytes = 0;
  // The server takes no more data for now: TCP's window is zero.
  bool m_is_window_closed = false;
};

}  // namespace flow

#endif  // LIBFLOW_FLOW_PACKET_H_
