#include "configuration_mapping.h"

#include "LibBase/hash.h"

namespace service {

namespace {

base::BackendServerId IdOf(const configuration::Service& service,
                           const configuration::BackendServer& server) {
  return base::MakeBackendServerId(service.m_name, server.m_name,
                                   server.m_incarnation);
}

placement::PlacementPolicy MapPolicy(const configuration::PlacementRule& rule,
                                     configuration::PlacementPolicy policy) {
  switch (policy) {
    case configuration::PlacementPolicy::kFirstHash:
      return placement::FirstHash{};
    case configuration::PlacementPolicy::kNone:
      return placement::RoundRobin{};
    case configuration::PlacementPolicy::kBoundedWalk:
      break;
  }
  // A weight of 1 selects the least loaded candidate, a weight of 0 the first
  // candidate that is free.
  const double margin = rule.m_imbalance_weight > 0
                            ? 1.0 / rule.m_imbalance_weight - 1.0
                            : placement::BoundedWalk::kUnlimitedMargin;
  return placement::BoundedWalk{
      .m_candidates = static_cast<std::size_t>(rule.m_candidates),
      .m_utilisation_margin = margin};
}

balancer::ServiceProfile MapProfile(const configuration::Service& service,
                                    const base::DataCentreId& data_centre,
                                    configuration::PlacementPolicy placement) {
  constexpr double kPercent = 100.0;
  balancer::ServiceProfile profile;
  profile.m_id = base::MakeServiceId(service.m_name);
  profile.m_wait_bound = service.m_objective.m_wait;
  profile.m_opening_deadline = service.m_limits.m_opening_deadline;
  profile.m_placement.m_policy = MapPolicy(service.m_placement, placement);
  profile.m_admission.m_retry_budget.m_retries_per_opening =
      static_cast<double>(service.m_limits.m_retry_budget_percent) / kPercent;
  for (const configuration::BackendServer& server : service.m_backend_servers) {
    if (server.m_data_centre != data_centre)
      continue;
    profile.m_servers.push_back(
        {IdOf(service, server), static_cast<std::uint32_t>(server.m_slots),
         static_cast<std::uint32_t>(server.m_connections),
         server.m_state == configuration::BackendServerState::kDraining});
  }
  return profile;
}

}  // namespace

std::vector<flow::ServiceDefinition> MapServices(
    const configuration::Document& document,
    const base::DataCentreId& data_centre) {
  std::vector<flow::ServiceDefinition> definitions;
  for (const configuration::Service& service : document.m_services) {
    flow::ServiceDefinition definition{
        base::MakeServiceId(service.m_name), service.m_address, {}};
    for (const auto& server : service.m_backend_servers) {
      if (server.m_data_centre != data_centre)
        continue;
      const bool is_draining =
          server.m_state == configuration::BackendServerState::kDraining;
      definition.m_servers.push_back({IdOf(service, server), server.m_address,
                                      is_draining
                                          ? flow::RoutedServerState::kDraining
                                          : flow::RoutedServerState::kActive});
    }
    definitions.push_back(std::move(definition));
  }
  return definitions;
}

std::vector<balancer::ServiceProfile> MapProfiles(
    const configuration::Document& document,
    const base::DataCentreId& data_centre,
    configuration::PlacementPolicy placement) {
  std::vector<balancer::ServiceProfile> profiles;
  for (const configuration::Service& service : document.m_services)
    profiles.push_back(MapProfile(service, data_centre, placement));
  return profiles;
}

}  // namespace service
