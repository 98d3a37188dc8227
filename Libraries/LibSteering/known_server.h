// A backend server as a balancer knows it: its record, and what its flows
// showed here.

#ifndef LIBSTEERING_KNOWN_SERVER_H_
#define LIBSTEERING_KNOWN_SERVER_H_

#include <cstdint>
#include <optional>

#include "LibBase/time.h"
#include "LibSteering/answer_statistics.h"
#include "LibSteering/flow_token.h"
#include "LibSteering/server_reachability.h"
#include "LibSteering/server_record.h"

namespace steering {

struct KnownServer {
  ServerHandle m_handle;
  ServerRecord m_record;
  ServerTokens m_tokens{};
  // When it stops being slow after its start.
  base::TimePoint m_warm_up_ends_at;
  // Since when its record is gone, if it is.
  std::optional<base::TimePoint> m_gone_since;
  // Requests that callers of this balancer wait for, openings included.
  std::uint32_t m_requests_in_progress = 0;
  // Flows of this balancer's callers that are not at rest.
  std::uint32_t m_flows = 0;
  ServerReachability m_reachability;
  AnswerStatistics m_answer_statistics;
  // It is among those that the steering may have to probe.
  bool m_is_on_probe_list = false;

  bool IsGone() const { return m_gone_since.has_value(); }
  // Its record went without notice of its end.
  bool HasExpired() const {
    return IsGone() && m_record.m_state == ServerState::kReady;
  }
  bool AcceptsOpenings() const {
    return !IsGone() && m_record.m_state == ServerState::kReady;
  }
};

}  // namespace steering

#endif  // LIBSTEERING_KNOWN_SERVER_H_
