// The settings of one balancer process: its names, addresses and tunables.

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

// The policy that chooses a backend server for an opening.
enum class PlacementPolicy {
  // The first candidate in the flow's rendezvous order that is not full and
  // whose utilisation exceeds that of the least loaded candidate by at most a
  // margin. The margin follows from PlacementRule::m_imbalance_weight.
  kBoundedWalk,
  // The first server in the flow's rendezvous order, regardless of its load.
  kFirstHash,
  // The backend servers in turn, regardless of their load.
  kNone,
};

inline constexpr base::EnumTable<PlacementPolicy, 3> kPlacementPolicyNames{{
    {PlacementPolicy::kBoundedWalk, "bounded_walk"},
    {PlacementPolicy::kFirstHash, "first_hash"},
    {PlacementPolicy::kNone, "none"},
}};

// Tunables, under the key "control".
struct ControlSettings {
  // The duration of the configuration lease. A balancer that has received
  // nothing from any peer and nothing from the platform for this time forwards
  // no packets.
  std::chrono::milliseconds m_lease{2000};
  // The duration of the address hold: an address that has changed its service
  // receives no packets for this time. Must be longer than the lease.
  std::chrono::milliseconds m_hold{3000};
  // The interval at which the balancer polls each backend server's health
  // endpoint.
  std::chrono::milliseconds m_health_interval{500};
  // A flow table entry is removed after this time without a packet.
  std::chrono::seconds m_flow_idle{3600};
  // The size of the flow table in MiB (2^20 bytes).
  std::uint64_t m_flow_table_mb = 48;
  // The number of probes and relays per second that search for the servers of
  // unknown flows.
  std::uint64_t m_search_budget_per_second = 1000;
  PlacementPolicy m_placement = PlacementPolicy::kBoundedWalk;
  // All balancers watch a flow for this time if one end retransmits. If that
  // end sends m_silence_repetitions retransmissions without an answer within
  // this time, the flow is reset.
  std::chrono::milliseconds m_silence_watch{5000};
  std::uint64_t m_silence_repetitions = 7;
};

// Switches for single mechanisms, under the key "mechanisms". A test turns a
// mechanism off to show which failure the mechanism prevents.
struct MechanismSettings {
  // Stores the server of an unknown flow when an answer of the server passes.
  bool m_learn_from_answers = true;
  // Relays packets of unknown flows to the flow's home. If off, every balancer
  // acts as the home of every flow.
  bool m_relay_to_home = true;
  // Probes candidate servers for a flow that no balancer knows.
  bool m_probe = true;
  // Resends a refused or unanswered opening to another server.
  bool m_reopen_on_refusal = true;
  // Drops packets after the configuration lease has expired.
  bool m_configuration_lease = true;
  // Applies ControlSettings::m_hold. If off, the hold has zero duration.
  bool m_address_hold = true;
  // Pulls the configuration document from peers. If off, every pull fails.
  bool m_pull_from_peers = true;
  // Detects and resets silent flows.
  bool m_detect_silence = true;
};

// The endpoints at which peers reach a process behind address translation,
// under the key "advertise".
struct AdvertisedEndpoints {
  base::Endpoint m_traffic;
  // Receives datagrams and TCP connections at the same port.
  base::Endpoint m_peer;
};

struct Settings {
  base::DataCentreId m_data_centre;
  std::string m_name;
  // The endpoints on which the process listens: for packets of flows, for
  // messages of other balancers, and for requests of operators. The system
  // chooses a free port for port 0.
  base::Endpoint m_traffic;
  base::Endpoint m_peer;
  base::Endpoint m_admin;
  // If not set, the process advertises the endpoints of its sockets.
  std::optional<AdvertisedEndpoints> m_advertised;
  // The fabric's endpoint that receives packets to callers.
  base::Endpoint m_gateway;
  // The endpoint of the platform's HTTP API.
  base::Endpoint m_platform;
  // The secret with which an operator may change the configuration.
  std::string m_operator_token;
  // The seed of the random number generator. If not set, the process chooses
  // one.
  std::optional<std::uint64_t> m_seed;
  ControlSettings m_control;
  MechanismSettings m_mechanisms;
};

}  // namespace configuration

#endif  // LIBCONFIGURATION_SETTINGS_H_
