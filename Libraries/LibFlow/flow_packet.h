// The packets that the director handles, independent of their wire format.

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
  // The caller aborted the flow, which ends the flow at both ends.
  kAborted,
};

enum class ServerPacketKind : std::uint8_t {
  // The server accepted the opening.
  kAccepted,
  kData,
  kClosing,
  // The server refused the opening and ran nothing of the flow.
  kRefused,
  // The server aborted a flow that it had.
  kAborted,
  // The server got a packet of a flow that it does not have.
  kNoSuchFlow,
};

// Why one balancer relays a packet to another. The values are on the wire.
enum class RelayPurpose : std::uint8_t {
  // Not relayed: the packet came from the fabric.
  kNone = 0,
  // An opening, relayed to the flow's home.
  kOpening = 1,
  // A packet of a flow that the relaying balancer does not know or whose server
  // does not answer, relayed to the flow's home.
  kHomeLookup = 2,
  // A packet of a flow that the home does not know either, relayed to the next
  // balancer in search order.
  kSearch = 3,
  // A packet of a flow that no balancer in the search order knew, relayed back
  // to the home.
  kNotFound = 4,
  // A packet from a server, relayed to the home, which counts the flow and
  // decides between servers that both answer.
  kAnswer = 5,
  // A closing packet from a caller, relayed to the home, which counts the flow.
  // The relaying balancer names the server if it knows the server.
  kClosing = 6,
};

inline constexpr base::EnumTable<RelayPurpose, 7> kRelayPurposeNames = {{
    {RelayPurpose::kNone, "none"},
    {RelayPurpose::kOpening, "opening"},
    {RelayPurpose::kHomeLookup, "ask"},
    {RelayPurpose::kSearch, "search"},
    {RelayPurpose::kNotFound, "not_found"},
    {RelayPurpose::kAnswer, "answer"},
    {RelayPurpose::kClosing, "closing"},
}};

struct RelayContext {
  RelayPurpose m_purpose = RelayPurpose::kNone;
  // For kOpening, the number of relays so far. For kSearch, the number of
  // balancers of the search order that were searched before the receiver.
  std::uint8_t m_hops = 0;
  // The server of the flow that the relaying balancer knew; zero if none.
  base::Ipv4Address m_known_server;
};

struct CallerPacket {
  FlowKey m_key;
  CallerPacketKind m_kind = CallerPacketKind::kData;
  // Where in the caller's byte stream the packet starts: TCP's sequence
  // number.
  std::uint32_t m_position = 0;
  RelayContext m_relay;
  // The whole packet. The home stores an opening while it may resend it.
  std::span<const std::uint8_t> m_bytes;
  // How far the caller has read the server's byte stream: TCP's
  // acknowledgement number. A server that does not have the flow repeats this
  // number in its reset (RFC 9293 section 3.10.7.1).
  std::uint32_t m_acknowledged = 0;
  std::uint32_t m_payload_bytes = 0;
  // The caller accepts no more data for now: TCP's window is zero.
  bool m_is_window_closed = false;
};

struct ServerPacket {
  FlowKey m_key;
  ServerPacketKind m_kind = ServerPacketKind::kData;
  // How far the server has read the caller's byte stream: TCP's
  // acknowledgement number. For kNoSuchFlow it is the sequence number, which
  // equals m_acknowledged of the packet that the server answers.
  std::uint32_t m_position = 0;
  base::Ipv4Address m_server;
  RelayContext m_relay;
  bool m_has_payload = false;
  // Where in the server's byte stream the packet starts: TCP's sequence number.
  std::uint32_t m_server_position = 0;
  std::uint32_t m_payload_bytes = 0;
  // The server accepts no more data for now: TCP's window is zero.
  bool m_is_window_closed = false;
};

}  // namespace flow

#endif  // LIBFLOW_FLOW_PACKET_H_
