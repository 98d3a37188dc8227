// The state that a balancer keeps for one flow. It serves to count the load of
// servers and to find flows without progress. Packets are forwarded by their
// token alone and don't need this state.

#ifndef LIBSTEERING_FLOW_RECORD_H_
#define LIBSTEERING_FLOW_RECORD_H_

#include <cstdint>
#include <optional>

#include "LibBase/time.h"
#include "LibSteering/extra_reason.h"
#include "LibSteering/ids.h"

namespace steering {

struct FlowRecord {
  ServerHandle m_server;
  bool m_is_established = false;
  // The caller waits for the answer to its opening or to a request.
  bool m_is_request_in_progress = false;
  // The request is overdue: it counts as unanswered and no longer as load. Its
  // answer may still arrive.
  bool m_is_overdue = false;
  // The request in progress takes several packets.
  bool m_is_long_request = false;
  // The flow had a packet within FlowTracker::kInactiveAfter and counts as load
  // of its server.
  bool m_is_active = false;
  // The opening was sent to an extra server, or to a slow one as a trial.
  std::optional<ExtraReason> m_extra;
  // The server that the opening was first sent to. Unset if another balancer
  // handled the opening.
  ServerHandle m_first_server;
  // When the balancer first received a packet of the flow.
  base::TimePoint m_first_seen;
  // When the balancer last received a packet of the flow or placed its opening.
  base::TimePoint m_last_seen;
  // When the caller sent the first packet of the request in progress, or when
  // the opening in progress was placed.
  base::TimePoint m_request_at;
  // When the server can have begun to answer at the earliest: when the caller
  // sent the newest data of the request in progress, or m_request_at.
  base::TimePoint m_answerable_at;
  // When the caller stops waiting for the answer.
  base::TimePoint m_deadline;
  // The sequence number after the caller's newest data, and the caller's newest
  // acknowledgement number.
  std::optional<std::uint32_t> m_sent_end;
  std::optional<std::uint32_t> m_acknowledged;
  // When this balancer sends the opening to another server; unset if the
  // opening is not to be resent.
  std::optional<base::TimePoint> m_resend_at;
  // How many times the opening was placed again after the first placement.
  std::uint32_t m_resends = 0;
};

}  // namespace steering

#endif  // LIBSTEERING_FLOW_RECORD_H_
