// The state that a balancer keeps of one flow.

#ifndef LIBFLOW_FLOW_ENTRY_H_
#define LIBFLOW_FLOW_ENTRY_H_

#include <cstdint>

#include "LibBase/ids.h"
#include "LibFlow/flow_key.h"

namespace flow {

enum class FlowState : std::uint8_t {
  // The slot of the table is free.
  kFree,
  // The opening was sent to a server, which has not answered.
  kOpening,
  // The server accepted the opening.
  kAccepted,
  // The server has answered within the flow.
  kEstablished,
  // No balancer knew the flow; a probe tries the candidate servers in turn.
  kProbing,
  // A side has closed or aborted the flow.
  kClosing,
};

// Two entries fill a cache line, and no entry straddles two lines.
struct alignas(32) FlowEntry {
  FlowEntry() = default;
  FlowEntry(const FlowKey& key, std::uint32_t now_ms)
      : m_caller_address(key.m_caller.m_address),
        m_service_address(key.m_service.m_address),
        m_caller_port(key.m_caller.m_port),
        m_service_port(key.m_service.m_port),
        m_last_seen_ms(now_ms),
        m_first_seen(static_cast<std::uint16_t>(now_ms >> kFirstSeenShift)) {}

  FlowKey key() const {
    return {{m_caller_address, m_caller_port},
            {m_service_address, m_service_port}};
  }

  bool HasKey(const FlowKey& key) const {
    return m_caller_address == key.m_caller.m_address &&
           m_caller_port == key.m_caller.m_port &&
           m_service_address == key.m_service.m_address &&
           m_service_port == key.m_service.m_port;
  }

  // Whether a server has accepted the flow and no side has ended it.
  bool IsOpen() const {
    return m_state == FlowState::kAccepted ||
           m_state == FlowState::kEstablished;
  }

  // Time from the first to the last packet seen here, in steps of 4,096 ms and
  // modulo 74 hours. The entry of a flow that lives longer may expire sooner,
  // which costs a relay.
  std::uint32_t LifetimeMilliseconds() const {
    const auto lifetime = static_cast<std::uint16_t>(
        (m_last_seen_ms >> kFirstSeenShift) - m_first_seen);
    return std::uint32_t{lifetime} << kFirstSeenShift;
  }

  static constexpr unsigned kFirstSeenShift = 12;

  base::Ipv4Address m_caller_address;
  base::Ipv4Address m_service_address;
  std::uint16_t m_caller_port = 0;
  std::uint16_t m_service_port = 0;
  // The last position seen in the caller's byte stream.
  std::uint32_t m_position = 0;
  base::BackendServerId m_server;
  // When the flow was last seen here, in milliseconds since the table was made,
  // modulo 2^32. For a probe, when the turn of its current candidate started.
  std::uint32_t m_last_seen_ms = 0;
  // When the entry was made, in units of 2^kFirstSeenShift milliseconds since
  // the table was made, modulo 2^16.
  std::uint16_t m_first_seen = 0;
  // Packets sent to the server since its last answer, saturating.
  std::uint8_t m_unanswered = 0;
  FlowState m_state : 3 = FlowState::kFree;
  // Whether placement counts the flow as open because it was opened here.
  bool m_is_counted : 1 = false;
  bool m_is_closed_by_caller : 1 = false;
  bool m_is_closed_by_server : 1 = false;
  // Whether a payload of the server has been seen here.
  bool m_is_answered : 1 = false;
};

static_assert(sizeof(FlowEntry) == 32);

// A position farther away than this many bytes belongs to another connection:
// connections that reuse a caller's port start at random positions (RFC 6528).
inline constexpr std::uint32_t kPlausibleDistance = 1u << 20;

// Whether two positions in a byte stream can belong to one connection.
constexpr bool IsPlausiblePosition(std::uint32_t known, std::uint32_t seen) {
  return seen - known + kPlausibleDistance < 2 * kPlausibleDistance;
}

}  // namespace flow

#endif  // LIBFLOW_FLOW_ENTRY_H_
