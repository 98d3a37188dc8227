// The state of a balancer that its status page shows.

#ifndef SERVICES_COLTSFOOTDALE_STATUS_VIEW_H_
#define SERVICES_COLTSFOOTDALE_STATUS_VIEW_H_

#include <string>
#include <utility>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"

namespace service {

struct StatusView {
  struct Peer {
    std::string m_name;
    // A name of peer::kMemberStateNames.
    std::string m_state;
  };

  std::string m_name;
  base::DataCentreId m_data_centre;
  base::BalancerId m_id;
  // A name of kProcessPhaseNames.
  std::string m_phase;
  // Whether the fabric should send packets to the balancer.
  bool m_is_ready = false;
  // The configuration version in force; zero if none.
  base::ConfigurationVersion m_version;
  // The id of the submission that put the version in force.
  std::string m_submission;
  // The addresses on which the balancer receives packets and peer messages.
  base::Endpoint m_traffic;
  base::Endpoint m_peer;
  std::vector<Peer> m_peers;
};

// Returns one JSON object.
std::string ToJson(const StatusView& status);

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_STATUS_VIEW_H_
