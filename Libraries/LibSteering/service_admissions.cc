#include "LibSteering/service_admissions.h"

#include <utility>
#include <vector>

namespace steering {

void ServiceAdmissions::SetRoutes(const Manifest& manifest) {
  std::map<std::string, std::vector<admission::RouteGoal>> goals;
  for (const Route& route : manifest.m_routes)
    for (const WeightedService& service : route.m_services)
      if (service.m_weight > 0)
        goals[service.m_name].push_back(
            {route.m_address, route.m_priority, route.m_target_latency});
  Admissions admissions;
  for (auto& [service, routes] : goals) {
    if (!admission::PriorityAdmission::Applies(routes))
      continue;
    const auto former = m_admissions.find(service);
    if (former != m_admissions.end() && former->second.routes() == routes)
      admissions.insert(m_admissions.extract(former));
    else
      admissions.emplace(service,
                         admission::PriorityAdmission(std::move(routes)));
  }
  m_admissions = std::move(admissions);
}

std::optional<admission::AdmissionVerdict> ServiceAdmissions::Decide(
    std::string_view service,
    const flow::FlowKey& flow,
    base::Random& random,
    base::TimePoint now) {
  const auto found = m_admissions.find(service);
  if (found == m_admissions.end())
    return std::nullopt;
  return found->second.Decide(flow.m_service, flow.m_caller.m_address,
                              InProgressOf(service), random, now);
}

void ServiceAdmissions::Record(const flow::FlowKey& flow,
                               const KnownServer& server,
                               const Observation& observation,
                               base::TimePoint now) {
  if (!observation.m_handshake_time && !observation.m_answer)
    return;
  const auto found = m_admissions.find(server.m_record.m_service);
  if (found == m_admissions.end())
    return;
  if (observation.m_handshake_time)
    found->second.RecordHandshake(*observation.m_handshake_time, now);
  if (observation.m_answer)
    found->second.RecordAnswer(flow.m_service, *observation.m_answer,
                               InProgressOf(server.m_record.m_service), now);
}

std::uint32_t ServiceAdmissions::InProgressOf(std::string_view service) const {
  std::uint32_t in_progress = 0;
  for (const KnownServer* server : m_directory.ServersOf(service))
    if (!server->m_reachability.IsUnreachable())
      in_progress += server->m_requests_in_progress;
  return in_progress;
}

}  // namespace steering
