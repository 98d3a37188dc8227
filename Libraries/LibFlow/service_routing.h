// The backend servers of one service in one data centre: those of one version
// of the configuration and the retired ones of earlier versions.

#ifndef LIBFLOW_SERVICE_ROUTING_H_
#define LIBFLOW_SERVICE_ROUTING_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include <boost/container/static_vector.hpp>

#include "LibBase/enum_table.h"
#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"

namespace flow {

enum class RoutedServerState : std::uint8_t {
  kActive,
  // Gets no opening, keeps its flows.
  kDraining,
  // No longer in the document; keeps its flows until its retention ends.
  kRetired,
};

inline constexpr base::EnumTable<RoutedServerState, 3> kRoutedServerStateNames =
    {{
        {RoutedServerState::kActive, "active"},
        {RoutedServerState::kDraining, "draining"},
        {RoutedServerState::kRetired, "retired"},
    }};

struct RoutedServer {
  base::BackendServerId m_id;
  // The endpoint to which balancers tunnel packets for the server.
  base::Endpoint m_tunnel;
  RoutedServerState m_state = RoutedServerState::kActive;
  // No packet goes to the server before this time: its address belonged to
  // another service, and a balancer with an older configuration may still route
  // that service to the address.
  base::TimePoint m_usable_from = base::TimePoint::min();
  // When the server left the document; of retired servers only.
  base::TimePoint m_retired_at = base::TimePoint::min();
};

// Maximum number of servers of one service that a probe or a placement
// considers.
inline constexpr std::size_t kMaximumOrder = 64;
using ServerOrder =
    boost::container::static_vector<const RoutedServer*, kMaximumOrder>;

class ServiceRouting {
 public:
  ServiceRouting(base::ServiceId id, std::vector<RoutedServer> servers);

  base::ServiceId id() const { return m_id; }
  std::span<const RoutedServer> servers() const { return m_servers; }

  // All servers in the flow's rendezvous order, at most kMaximumOrder. In each
  // earlier version the choice was the first server of this order that was
  // active in that version, so one order serves all versions.
  ServerOrder OrderFor(std::uint64_t flow_hash) const;

  // The first server of the flow's order, or null if it is not active.
  const RoutedServer* PreferredServer(std::uint64_t flow_hash) const;

  // Null if the service does not have the server (any more).
  const RoutedServer* FindServer(base::BackendServerId id) const;

 private:
  base::ServiceId m_id;
  std::vector<RoutedServer> m_servers;
  // MixBits of each server's id, contiguous for the scans over all servers.
  std::vector<std::uint64_t> m_hashes;
};

}  // namespace flow

#endif  // LIBFLOW_SERVICE_ROUTING_H_
