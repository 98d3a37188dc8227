// The size-independent settings of a soak's deployment: data centres, links and
// bounds.

#ifndef TESTS_SOAK_DEPLOYMENT_PROFILE_H_
#define TESTS_SOAK_DEPLOYMENT_PROFILE_H_

#include <cstdint>

#include "LibBase/enum_table.h"

namespace soak {

enum class DeploymentKind { kSmall, kGrown };

inline constexpr base::EnumTable<DeploymentKind, 2> kDeploymentKindNames{{
    {DeploymentKind::kSmall, "small"},
    {DeploymentKind::kGrown, "grown"},
}};

struct DeploymentProfile {
  std::uint32_t m_data_centres = 2;
  // Whether the settings name the region, its data centres and the limits.
  bool m_has_topology = false;
  double m_link_mbps = 0;
  int m_drain_bound_ms = 3000;
  int m_configuration_bound_ms = 3000;
  int m_settling_time_ms = 4000;
  int m_evacuation_bound_ms = 5000;
};

// The bounds of the users' sites.
inline constexpr DeploymentProfile kSmallDeployment{};
inline constexpr DeploymentProfile kGrownDeployment{3,    true, 10,
                                                    5000, 5000, 5000};

constexpr const DeploymentProfile& ProfileOf(DeploymentKind kind) {
  return kind == DeploymentKind::kGrown ? kGrownDeployment : kSmallDeployment;
}

}  // namespace soak

#endif  // TESTS_SOAK_DEPLOYMENT_PROFILE_H_
