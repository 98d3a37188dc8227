// Placement and admission of one service on one balancer: which server an
// opening goes to, and whether it is let in at all.

#ifndef LIBBALANCER_SERVICE_GATE_H_
#define LIBBALANCER_SERVICE_GATE_H_

#include <cstddef>
#include <span>
#include <vector>

#include "LibAdmission/admission_controller.h"
#include "LibBalancer/service_profile.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibFlow/effect.h"
#include "LibFlow/service_routing.h"
#include "LibPlacement/load_view.h"
#include "LibPlacement/placement_policy.h"

namespace balancer {

class ServiceGate {
 public:
  // The servers of the first profile are warm; those that later profiles add
  // start slowly.
  ServiceGate(const ServiceProfile& profile, base::TimePoint now);

  // Queries.
  const placement::LoadView& load() const { return m_load; }
  std::uint64_t refused_count() const { return m_refused_count; }

  // Commands.
  // Brings the servers into line with a later profile. Settings of placement
  // and admission take effect for openings from then on.
  void Update(const ServiceProfile& profile, base::TimePoint now);
  // The server for an opening, or null to refuse it. `attempt` counts from
  // zero; an attempt after the first spends the retry budget.
  const flow::RoutedServer* Choose(const flow::ServerOrder& order,
                                   std::size_t attempt,
                                   base::Random& random);
  void Observe(const flow::FlowNote& note, base::TimePoint now);
  void Apply(const placement::LoadEvent& event, base::TimePoint now);
  void Advance(base::TimePoint now, base::Random& random);

 private:
  void AddServer(const ServerProfile& server,
                 placement::ServerStart start,
                 base::TimePoint now);
  admission::ServiceOccupancy Occupancy() const;
  bool IsAdmitted(std::size_t attempt);

  placement::LoadView m_load;
  placement::PlacementPolicy m_policy;
  admission::AdmissionController m_admission;
  std::vector<ServerProfile> m_servers;
  std::uint64_t m_refused_count = 0;
};

}  // namespace balancer

#endif  // LIBBALANCER_SERVICE_GATE_H_
