// The events that change a balancer's view of the load on the backend servers
// of one service in one data centre.

#ifndef LIBPLACEMENT_LOAD_EVENT_H_
#define LIBPLACEMENT_LOAD_EVENT_H_

#include <cstdint>
#include <span>
#include <variant>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibPlacement/server_health.h"

namespace placement {

// A server has been added to the service. For a server that the view already
// knows, the event replaces its capacity.
struct ServerAdded {
  base::BackendServerId m_server;
  // Configured number of requests that the server runs at once. If it is zero,
  // load reports set it.
  std::uint32_t m_slots = 1;
  // Connections that the server accepts at once; zero means no limit.
  std::uint32_t m_connection_limit = 0;
  ServerStart m_start = ServerStart::kWarm;
};

// The configuration drains a server: it receives no new flows.
struct ServerDraining {
  base::BackendServerId m_server;
};

// A drain was cancelled before the server was removed.
struct ServerDrainCancelled {
  base::BackendServerId m_server;
};

// A server has been removed from the service. The view drops all state about
// it.
struct ServerRemoved {
  base::BackendServerId m_server;
};

// The load that a server reports about itself. The report is delayed and may be
// wrong.
struct LoadReported {
  base::BackendServerId m_server;
  // Requests running.
  std::uint32_t m_busy = 0;
  // Requests queued.
  std::uint32_t m_queued = 0;
  // Requests that the server runs at once. Used only if no slots are
  // configured.
  std::uint32_t m_slots = 0;
  // Connections that the server holds.
  std::uint32_t m_connections = 0;
  // Zero means no limit. Used only if no limit is configured.
  std::uint32_t m_connection_limit = 0;
  // Measured age of the figures. The server may add a lag that this age does
  // not include (see ReportLagEstimator).
  base::Duration m_age{};
};

// A health probe of the server has returned a result.
struct HealthReported {
  base::BackendServerId m_server;
  Health m_health = Health::kHealthy;
};

// This balancer has sent a flow's opening to the server.
struct OpeningSent {
  base::BackendServerId m_server;
};

// The server has accepted an opening of this balancer.
struct OpeningAccepted {
  base::BackendServerId m_server;
};

// The first payload of a server's answer to a flow of this balancer has passed
// this balancer. A sample of the flows is enough.
struct AnswerStarted {
  base::BackendServerId m_server;
  // Time from sending the opening to the first payload of the answer.
  base::Duration m_delay{};
};

// The server has explicitly refused an opening because it sheds load or has
// reached a limit. The opening no longer counts as an open flow.
struct OpeningRefused {
  base::BackendServerId m_server;
};

// This balancer has observed that a flow to the server ended or was abandoned.
// Another balancer may have opened the flow. The sum over all balancers is
// correct if exactly one balancer counts each end.
struct FlowEnded {
  base::BackendServerId m_server;
};

// Number of openings minus number of ends of flows to one server, as counted by
// some of the balancers. Negative if those balancers counted more ends than
// openings.
struct OpenFlowCount {
  base::BackendServerId m_server;
  std::int32_t m_open_flows = 0;
};

// The sum of all other balancers' counts. A server that is not listed has a
// count of zero.
struct PeerOpenFlowCounts {
  std::span<const OpenFlowCount> m_counts;
  // Number of balancers whose counts are summed.
  std::uint32_t m_peers = 1;
};

using LoadEvent = std::variant<ServerAdded,
                               ServerDraining,
                               ServerDrainCancelled,
                               ServerRemoved,
                               LoadReported,
                               HealthReported,
                               OpeningSent,
                               OpeningAccepted,
                               AnswerStarted,
                               OpeningRefused,
                               FlowEnded,
                               PeerOpenFlowCounts>;

}  // namespace placement

#endif  // LIBPLACEMENT_LOAD_EVENT_H_
