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

// A server has joined the service.
struct ServerAdded {
  base::BackendServerId m_server;
  // Requests that it runs at once, as configured; reports may correct it.
  std::uint32_t m_slots = 1;
  // Connections that it accepts at once; zero stands for no limit.
  std::uint32_t m_connection_limit = 0;
  ServerStart m_start = ServerStart::kWarm;
};

// A server gets no new flows from now on.
struct ServerDraining {
  base::BackendServerId m_server;
};

// A drain was called off before the server left.
struct ServerDrainCancelled {
  base::BackendServerId m_server;
};

// A server has left the service and is forgotten.
struct ServerRemoved {
  base::BackendServerId m_server;
};

// A server's own account of its load. It is old and may be false.
struct LoadReported {
  base::BackendServerId m_server;
  std::uint32_t m_busy = 0;
  std::uint32_t m_queued = 0;
  std::uint32_t m_slots = 0;
  std::uint32_t m_connections = 0;
  // Zero stands for no limit.
  std::uint32_t m_connection_limit = 0;
  // How long ago the figures were true, as far as that could be measured.
  base::Duration m_age{};
};

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
// here. A sample of the flows is enough.
struct AnswerStarted {
  base::BackendServerId m_server;
  // From sending the opening to the first payload of the answer.
  base::Duration m_delay{};
};

// The server has definitely refused an opening: it sheds, or is at a limit.
// The opening no longer counts as open.
struct OpeningRefused {
  base::BackendServerId m_server;
};

// A flow to the server has ended or was given up, as seen passing here. Another
// balancer may have opened it: the sum over all balancers stays right if each
// end is counted by one of them.
struct FlowEnded {
  base::BackendServerId m_server;
};

// Openings less ends of flows to one server, as counted by some balancers.
// Negative if they have seen more ends than openings.
struct OpenFlowCount {
  base::BackendServerId m_server;
  std::int32_t m_open_flows = 0;
};

// The sum of all other balancers' counts. Servers that are not listed count as
// zero.
struct PeerOpenFlowCounts {
  std::span<const OpenFlowCount> m_counts;
  // How many balancers the sum is over.
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
