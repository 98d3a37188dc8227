// What a balancer has seen of one flow. Needed for load and for finding flows
// that make no progress; never for routing, which the token does.

#ifndef LIBSTEERING_FLOW_RECORD_H_
#define LIBSTEERING_FLOW_RECORD_H_

#include <cstdint>
#include <optional>

#include "LibBase/time.h"
#include "LibSteering/ids.h"

namespace steering {

struct FlowRecord {
  ServerHandle m_server;
  bool m_is_established = false;
  // A caller waits for its server: for the opening or for an answer.
  bool m_is_request_in_progress = false;
  // The request waited too long to count as load; its answer may still come.
  bool m_is_overdue = false;
  // The flow was active of late and counts as load of its server.
  bool m_is_active = false;
  base::TimePoint m_last_seen;
  // When what is in progress was sent first, and when its caller gives up.
  base::TimePoint m_request_at;
  base::TimePoint m_deadline;
  // The ends of the caller's stream and of what it has acknowledged.
  std::optional<std::uint32_t> m_sent_end;
  std::optional<std::uint32_t> m_acknowledged;
  // When this balancer sends the opening to another server, if it does.
  std::optional<base::TimePoint> m_resend_at;
  // Servers that the opening went to before the present one.
  std::uint32_t m_resends = 0;
};

}  // namespace steering

#endif  // LIBSTEERING_FLOW_RECORD_H_
