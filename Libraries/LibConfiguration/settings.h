// The settings of one process: its names, addresses and tunables.

#ifndef LIBCONFIGURATION_SETTINGS_H_
#define LIBCONFIGURATION_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "LibBase/enum_table.h"
#include "LibBase/ids.h"
#include "LibBase/ipv4.h"

namespace configuration {

// How openings are placed on backend servers.
enum class PlacementPolicy {
  // The first in the flow's rendezvous order that is under its bound.
  kBoundedWalk,
  // The first in the flow's rendezvous order, whatever its load.
  kFirstHash,
  // Any backend server, at random.
  kNone,
};

inline constexpr base::EnumTable<PlacementPolicy, 3> kPlacementPolicyNames{{
    {PlacementPolicy::kBoundedWalk, "bounded_walk"},
    {PlacementPolicy::kFirstHash, "first_hash"},
    {PlacementPolicy::kNone, "none"},
}};

// Tunables, under the key "control".
struct ControlSettings {
  // A balancer that has heard neither a peer nor the platform for this long
  // forwards nothing.
  std::chrono::milliseconds m_lease{2000};
  // How long an address that changed its service receives nothing; longer than
  // the lease.
  std::chrono::milliseconds m_hold{3000};
  std::chrono::milliseconds m_health_interval{500};
  // An entry of the flow table without a packet for this long is dropped.
  std::chrono::seconds m_flow_idle{3600};
  std::uint64_t m_flow_table_mb = 48;
  // Probes and relays in search of unknown flows.
  std::uint64_t m_search_budget_per_second = 1000;
  PlacementPolicy m_placement = PlacementPolicy::kBoundedWalk;
  // How long all balancers watch a flow in which one end repeats itself, and
  // how often it must do so unanswered in that time to be reset.
  std::chrono::milliseconds m_silence_watch{5000};
  std::uint64_t m_silence_repetitions = 7;
};

// Switches by which a test turns one mechanism off to show what it is for,
// under the key "mechanisms".
struct MechanismSettings {
  bool m_learn_from_answers = true;
  bool m_relay_to_home = true;
  bool m_probe = true;
  bool m_reopen_on_refusal = true;
  bool m_configuration_lease = true;
  bool m_address_hold = true;
  bool m_pull_from_peers = true;
  bool m_detect_silence = true;
};

// Where peers reach a process whose own endpoints are translated on the way,
// under the key "advertise".
struct AdvertisedEndpoints {
  base::Endpoint m_traffic;
  // Datagrams and, at the same port, TCP connections.
  base::Endpoint m_peer;
};

struct Settings {
  base::DataCentreId m_data_centre;
  std::string m_name;
  // Where the process listens; port 0 lets the system choose.
  base::Endpoint m_traffic;
  base::Endpoint m_peer;
  base::Endpoint m_admin;
  // Peers are told the endpoints of the sockets if not set.
  std::optional<AdvertisedEndpoints> m_advertised;
  // The fabric's endpoint for packets to callers.
  base::Endpoint m_gateway;
  base::Endpoint m_platform;
  // What an operator presents to change the configuration.
  std::string m_operator_token;
  // Of the random numbers; drawn by the process if not set.
  std::optional<std::uint64_t> m_seed;
  ControlSettings m_control;
  MechanismSettings m_mechanisms;
};

}  // namespace configuration

#endif  // LIBCONFIGURATION_SETTINGS_H_
