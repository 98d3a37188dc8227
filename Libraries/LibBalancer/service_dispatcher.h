// Placement and admission of one service on one balancer: decides whether an
// opening is admitted and which server gets it.

#ifndef LIBBALANCER_SERVICE_DISPATCHER_H_
#define LIBBALANCER_SERVICE_DISPATCHER_H_

#include <cstddef>
#include <span>
#include <vector>

#include "LibAdmission/admission_controller.h"
#include "LibBalancer/service_counts.h"
#include "LibBalancer/service_profile.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibFlow/effect.h"
#include "LibFlow/opening_progress.h"
#include "LibFlow/service_routing.h"
#include "LibPlacement/load_view.h"
#include "LibPlacement/placement_policy.h"

namespace balancer {

class ServiceDispatcher {
 public:
  // The servers of the first profile start warm; servers that later profiles
  // add start slowly.
  ServiceDispatcher(const ServiceProfile& profile, base::TimePoint now);

  // Queries.
  const placement::LoadView& load() const { return m_load; }
  const ServiceCounts& counts() const { return m_counts; }
  // For each server of the latest profile, the flows that were opened here
  // minus the ends that were seen here; zero if more ends were seen.
  std::vector<placement::OpenFlowCount> OwnOpenFlows() const;

  // Commands.
  // Applies a later profile. Its settings of placement and admission take
  // effect for openings from then on.
  void Update(const ServiceProfile& profile, base::TimePoint now);
  // Returns the server for an opening, or null if no server may get it. An
  // attempt after the first spends the retry budget if a server is chosen. No
  // server is chosen for such an attempt after the profile's opening deadline.
  const flow::RoutedServer* Choose(const flow::ServerOrder& order,
                                   flow::OpeningProgress progress,
                                   base::Random& random);
  // Updates the counts, the load view and admission for an event of a flow
  // whose home is this balancer.
  void Observe(const flow::FlowEvent& flow_event, base::TimePoint now);
  // Applies a load report, a health probe or the counts of other balancers.
  void Apply(const placement::LoadEvent& event, base::TimePoint now);
  // Must be called at least every 250 ms (see LoadView).
  void Advance(base::TimePoint now, base::Random& random);

 private:
  void AddServer(const ServerProfile& server,
                 placement::ServerStart start,
                 base::TimePoint now);
  admission::ServiceOccupancy Occupancy() const;
  void UpdateServer(const ServerProfile& before,
                    const ServerProfile& server,
                    base::TimePoint now);
  bool IsAdmitted(flow::OpeningProgress progress);
  bool IsBelowLimit(base::BackendServerId server) const;
  // The policy's choice among the servers below their connection limits, or
  // null.
  const flow::RoutedServer* ChooseBelowLimit(const flow::ServerOrder& order,
                                             base::Random& random);

  placement::LoadView m_load;
  placement::PlacementPolicy m_policy;
  admission::AdmissionController m_admission;
  std::vector<ServerProfile> m_servers;
  base::Duration m_wait_bound;
  base::Duration m_opening_deadline;
  // Whether any server has ever reported its load.
  bool m_has_reports = false;
  ServiceCounts m_counts;
};

}  // namespace balancer

#endif  // LIBBALANCER_SERVICE_DISPATCHER_H_
