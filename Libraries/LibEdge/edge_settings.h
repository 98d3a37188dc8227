// The settings of one edge balancer process.

#ifndef LIBEDGE_EDGE_SETTINGS_H_
#define LIBEDGE_EDGE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"

namespace edge {

struct EdgeSettings {
  // The name of the VM, for logs and the status.
  std::string m_vm;
  base::DataCentreId m_data_centre;
  // The UDP endpoint to which the routers send the packets of callers.
  base::Endpoint m_packets;
  // The HTTP endpoint of the readiness check.
  base::Endpoint m_readiness;
  // The HTTP endpoint for metrics and status.
  base::Endpoint m_metrics;
  // The HTTP endpoint from which peers read snapshots of this balancer's view.
  std::optional<base::Endpoint> m_control;
  // The UDP and TCP endpoint at which this balancer and its peers exchange
  // changes of the view; its port is the same on all balancers. Unset: the
  // balancer always reads the store itself.
  std::optional<base::Endpoint> m_feed;
  // The same on all balancers of a fleet, and different for other fleets.
  std::uint64_t m_fleet = 0;
  // The number of data centres of the fleet; zero if the settings do not name
  // them.
  std::size_t m_data_centres = 0;
  // The whole fleet starts for the first time, so there is no traffic yet.
  bool m_is_first_start = false;
  // The HTTP endpoint of the store.
  base::Endpoint m_store;
  // The control endpoints of some peers. Any of the peers may be down.
  std::vector<base::Endpoint> m_seeds;
  // Whether the settings name this balancer as a seed.
  bool m_is_seed = false;
  // The bandwidth of the VM's link in megabits per second; zero if the settings
  // do not name it.
  double m_link_mbps = 0;
  // The UDP port at which callers receive packets.
  std::uint16_t m_caller_port = 0;

  // The longest time from the acknowledgement of a change to the last opening
  // that is handled without the change: for the draining of a server, and for a
  // manifest.
  base::Duration m_drain_bound = std::chrono::seconds(3);
  base::Duration m_configuration_bound = std::chrono::seconds(3);
  // The longest time from the acknowledgement of a data centre's evacuation to
  // the last opening that reaches its servers. Unset: the deployment has no
  // evacuations, and the store is not asked for any.
  std::optional<base::Duration> m_evacuation_bound;
  // All balancers together send a cold server in any second at most the rate
  // that its service has configured, times the overrun, plus the slack.
  double m_warm_up_overrun = 1;
  double m_warm_up_slack = 0;
  // The time after a fault in which no bound holds.
  base::Duration m_settling_time = std::chrono::seconds(4);
  // The time from SIGTERM to SIGKILL.
  base::Duration m_stop_grace = std::chrono::seconds(6);
  // The interval at which backend servers renew their records.
  base::Duration m_server_heartbeat = std::chrono::milliseconds(1200);

  friend bool operator==(const EdgeSettings&, const EdgeSettings&) = default;
};

}  // namespace edge

#endif  // LIBEDGE_EDGE_SETTINGS_H_
