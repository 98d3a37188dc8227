// The settings and servers of a service for its placement and admission.

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
  // Requests that the server runs at once.
  std::uint32_t m_slots = 1;
  // Zero means no limit.
  std::uint32_t m_connection_limit = 0;
  bool m_is_draining = false;
};

struct ServiceProfile {
  base::ServiceId m_id;
  placement::PlacementSettings m_placement;
  admission::AdmissionSettings m_admission;
  // A flow whose first answer takes longer counts as slow.
  base::Duration m_wait_bound = std::chrono::seconds(1);
  // How long after an opening was first sent to a server it may be sent to
  // another server.
  base::Duration m_opening_deadline = std::chrono::seconds(3);
  std::vector<ServerProfile> m_servers;
};

}  // namespace balancer

#endif  // LIBBALANCER_SERVICE_PROFILE_H_
