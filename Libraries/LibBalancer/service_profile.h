// What a balancer needs to know of a service besides its routing.

#ifndef LIBBALANCER_SERVICE_PROFILE_H_
#define LIBBALANCER_SERVICE_PROFILE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "LibAdmission/admission_controller.h"
#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibPlacement/placement_preset.h"

namespace balancer {

struct ServerProfile {
  base::BackendServerId m_id;
  std::uint32_t m_slots = 1;
  // Zero stands for no limit.
  std::uint32_t m_connection_limit = 0;
  bool m_is_draining = false;
};

struct ServiceProfile {
  base::ServiceId m_id;
  placement::PlacementSettings m_placement;
  admission::AdmissionSettings m_admission;
  // A flow whose first answer takes longer counts as slow.
  base::Duration m_wait_bound = std::chrono::seconds(1);
  // From the first packet of an opening to a server until it goes to no other
  // server any more.
  base::Duration m_opening_deadline = std::chrono::seconds(3);
  std::vector<ServerProfile> m_servers;
};

}  // namespace balancer

#endif  // LIBBALANCER_SERVICE_PROFILE_H_
