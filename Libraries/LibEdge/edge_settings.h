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
  std::string m_vm;
  base::DataCentreId m_data_centre;
  // Where the routers send callers' packets, over UDP.
  base::Endpoint m_packets;
  // Where readiness is asked for, over HTTP.
  base::Endpoint m_readiness;
  // Where metrics and status are read, over HTTP.
  base::Endpoint m_metrics;
  // Where other balancers read what this one believes, over HTTP.
  std::optional<base::Endpoint> m_control;
  base::Endpoint m_store;
  // The control endpoints of some other balancers, any of which may be down.
  std::vector<base::Endpoint> m_seeds;
  // Callers take packets at this port.
  std::uint16_t m_caller_port = 0;

  // From the acknowledgement of a change to the last opening that may ignore
  // it: for a server that drains, and for a manifest.
  base::Duration m_drain_bound = std::chrono::seconds(3);
  base::Duration m_configuration_bound = std::chrono::seconds(3);
  // For this long after a fault no bound holds.
  base::Duration m_settling_time = std::chrono::seconds(4);
  // From SIGTERM to SIGKILL.
  base::Duration m_stop_grace = std::chrono::seconds(6);
  // How often backend servers renew their records.
  base::Duration m_server_heartbeat = std::chrono::milliseconds(1200);

  friend bool operator==(const EdgeSettings&, const EdgeSettings&) = default;
};

}  // namespace edge

#endif  // LIBEDGE_EDGE_SETTINGS_H_
