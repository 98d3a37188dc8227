// What a balancer remembers of one flow.

#ifndef LIBFLOW_FLOW_ENTRY_H_
#define LIBFLOW_FLOW_ENTRY_H_

#include <cstdint>

#include "LibBase/ids.h"
#include "LibFlow/flow_key.h"

namespace flow {

enum class FlowState : std::uint8_t {
  // The slot of the table is free.
  kFree,
  // An opening was sent; the server has not answered.
  kOpening,
  // The server accepted the opening.
  kAccepted,
  // The server has answered within the flow.
  kEstablished,
  // Nobody knew the flow; its candidates are tried one after another.
  kProbing,
  // A side has closed or aborted the flow.
  kClosing,
};

struct FlowEntry {
  FlowKey m_key;
  base::BackendServerId m_server;
  // Milliseconds since the table was made, modulo 2^32.
  std::uint32_t m_first_seen_ms = 0;
  std::uint32_t m_last_seen_ms = 0;
  // The last place seen in the caller's byte stream.
  std::uint32_t m_position = 0;
  FlowState m_state = FlowState::kFree;
  // Packets sent to the server since it was last heard, saturating.
  std::uint8_t m_unanswered = 0;
  // Whether placement counts the flow as open because it was opened here.
  bool m_is_counted : 1 = false;
  bool m_is_closed_by_caller : 1 = false;
  bool m_is_closed_by_server : 1 = false;
  // Whether a payload of the server has been seen here.
  bool m_is_answered : 1 = false;
};

static_assert(sizeof(FlowEntry) <= 40);

// Whether two places in a byte stream can be of one connection. Connections
// that reuse a caller's port start at random places (RFC 6528), so a place
// farther off than this belongs to another one.
constexpr bool IsPlausiblePosition(std::uint32_t known, std::uint32_t seen) {
  constexpr std::uint32_t kMaximumDistance = 1u << 24;
  return seen - known + kMaximumDistance < 2 * kMaximumDistance;
}

}  // namespace flow

#endif  // LIBFLOW_FLOW_ENTRY_H_
