#include "LibSteering/service_admissions.h"

#include <utility>
#include <vector>

namespace steering {

namespace {

// A refused request counts as an answer after this many times its time: the
// caller's next attempt takes a handshake and an answer of its own.
constexpr int kRefusalTimes = 3;

// An overload with a smaller share of refusals often passes within the time for
// which openings go to other data centres.
constexpr double kStrongRefusedShare = 0.2;

}  // namespace

void ServiceAdmissions::SetRoutes(const Manifest& manifest) {
  std::map<std::string, std::vector<admission::RouteGoal>> goals;
  for (const Route& route : manifest.m_routes)
    for (const WeightedService& service : route.m_services)
      if (service.m_weight > 0)
        goals[service.m_name].push_back(
            {route.m_address, route.m_priority, route.m_target_latency});
  Services services;
  for (auto& [service, routes] : goals) {
    if (!admission::PriorityAdmission::Applies(routes))
      continue;
    const auto former = m_services.find(service);
    if (former != m_services.end() &&
        former->second.m_admission.routes() == routes)
      services.insert(m_services.extract(former));
    else
      services.emplace(
          service,
          Service{admission::PriorityAdmission(std::move(routes)), {}});
  }
  m_services = std::move(services);
}

std::optional<admission::AdmissionVerdict> ServiceAdmissions::Decide(
    std::string_view service,
    const flow::FlowKey& flow,
    base::Random& random,
    base::TimePoint now) {
  const auto found = m_services.find(service);
  if (found == m_services.end())
    return std::nullopt;
  // Without a limit, the servers need not be visited.
  const std::uint32_t in_progress =
      found->second.m_admission.HasLimit() ? InProgressOf(service) : 0;
  return found->second.m_admission.Decide(
      flow.m_service, flow.m_caller.m_address, in_progress, random, now);
}

bool ServiceAdmissions::Record(const flow::FlowKey& flow,
                               const KnownServer& server,
                               const Observation& observation,
                               base::TimePoint now) {
  if (!observation.m_handshake_time && !observation.m_answer)
    return false;
  const auto found = m_services.find(server.m_record.m_service);
  if (found == m_services.end())
    return false;
  if (observation.m_handshake_time)
    found->second.m_admission.RecordHandshake(*observation.m_handshake_time,
                                              now);
  if (!observation.m_answer)
    return false;
  admission::PriorityAdmission& admission = found->second.m_admission;
  if (!admission.HasLimit()) {
    // A strong overload of all data centres is not served anywhere sooner.
    const bool is_strong =
        admission.SignsAt(now).m_refused_share >= kStrongRefusedShare;
    admission.SetFirstLimitDelay(
        (!is_strong || found->second.m_remote_share.AreOthersFaster()) &&
                HasRemoteServer(server.m_record.m_service)
            ? kOverflowTime
            : base::Duration::zero());
  }
  const bool is_served =
      admission.RecordAnswer(flow.m_service, *observation.m_answer,
                             InProgressOf(server.m_record.m_service), now);
  // A refused request has to be sent again, so it takes longer than any answer.
  found->second.m_remote_share.RecordAnswer(
      server.m_record.m_data_centre == m_own_data_centre,
      is_served ? observation.m_answer->m_time
                : kRefusalTimes * observation.m_answer->m_time,
      now);
  return !is_served;
}

double ServiceAdmissions::RemoteShareOf(std::string_view service) const {
  const auto found = m_services.find(service);
  return found == m_services.end() ? 0.0 : found->second.m_remote_share.Value();
}

bool ServiceAdmissions::HasRemoteServer(std::string_view service) const {
  return m_directory.HasPlaceableOutside(service, m_own_data_centre);
}

std::uint32_t ServiceAdmissions::InProgressOf(std::string_view service) const {
  return static_cast<std::uint32_t>(
      m_directory.TotalsOf(service).m_reachable_requests);
}

}  // namespace steering
