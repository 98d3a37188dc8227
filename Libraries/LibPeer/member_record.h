// The description of a balancer that balancers exchange.

#ifndef LIBPEER_MEMBER_RECORD_H_
#define LIBPEER_MEMBER_RECORD_H_

#include <cstdint>
#include <string>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibPeer/configuration_status.h"
#include "LibPeer/member_state.h"

namespace peer {

struct MemberRecord {
  base::BalancerId m_id;
  std::string m_name;
  base::DataCentreId m_data_centre;
  // Receives packets that other balancers relay.
  base::Endpoint m_traffic;
  // Receives messages of other balancers.
  base::Endpoint m_peer;
  // Serves HTTP for administration.
  base::Endpoint m_admin;
  MemberState m_state = MemberState::kJoining;
  // Only the member itself raises its incarnation: to declare a new state
  // or to refute a suspicion (SWIM, Das, Gupta and Motivala, DSN 2002,
  // section 4.2).
  std::uint64_t m_incarnation = 0;
  ConfigurationStatus m_configuration;

  friend bool operator==(const MemberRecord&, const MemberRecord&) = default;
};

}  // namespace peer

#endif  // LIBPEER_MEMBER_RECORD_H_
