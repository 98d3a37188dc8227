// The data that a balancer keeps about a backend server: the server's record,
// and what this balancer's flows show about the server.

#ifndef LIBSTEERING_KNOWN_SERVER_H_
#define LIBSTEERING_KNOWN_SERVER_H_

#include <cstdint>
#include <optional>

#include "LibBase/time.h"
#include "LibSteering/answer_statistics.h"
#include "LibSteering/flow_token.h"
#include "LibSteering/index_entry.h"
#include "LibSteering/server_reachability.h"
#include "LibSteering/server_record.h"
#include "LibSteering/shared_evidence.h"
#include "LibSteering/slow_answer_evidence.h"
#include "LibSteering/warm_up_share.h"

namespace steering {

struct KnownServer {
  ServerHandle m_handle;
  ServerRecord m_record;
  // The revision of the last era's first record that was ignored as outdated.
  base::StoreRevision m_outdated_revision;
  ServerTokens m_tokens{};
  // When the server is no longer slow after its start.
  base::TimePoint m_warm_up_ends_at;
  // When this balancer saw the server start: it registered for the first time,
  // or with another incarnation. Unset for a server of the first list.
  std::optional<base::TimePoint> m_started_at;
  // The server counts as cold until this time for a reason that its record does
  // not show, such as the end of an evacuation of its data centre.
  std::optional<base::TimePoint> m_cold_until;
  // This balancer's share of the openings to the server while it is cold.
  WarmUpShare m_warm_up_share;
  // When the store's record was removed; unset while the server is registered.
  std::optional<base::TimePoint> m_gone_since;
  // Unanswered requests of this balancer's callers, including openings, without
  // the overdue ones.
  std::uint32_t m_requests_in_progress = 0;
  // Active flows of this balancer's callers.
  std::uint32_t m_flows = 0;
  ServerReachability m_reachability;
  AnswerStatistics m_answer_statistics;
  // Recorded only while the balancer may send extra openings.
  SlowAnswerEvidence m_slow_answers;
  // What the flows of all balancers show about unanswered requests.
  SharedEvidence m_shared_evidence;
  // The server is on the list of servers that Steering may have to probe.
  bool m_is_on_probe_list = false;
  // The server's data centre is evacuated: nothing new goes to the server. Kept
  // up to date by ServerDirectory, since placement visits many servers.
  bool m_is_evacuated = false;
  IndexEntry m_index_entry;

  bool IsGone() const { return m_gone_since.has_value(); }
  // The record was removed although the server had not announced its end by
  // draining.
  bool HasExpired() const {
    return IsGone() && m_record.m_state == ServerState::kReady;
  }
  bool AcceptsOpenings() const {
    return !IsGone() && m_record.m_state == ServerState::kReady;
  }
};

}  // namespace steering

#endif  // LIBSTEERING_KNOWN_SERVER_H_
