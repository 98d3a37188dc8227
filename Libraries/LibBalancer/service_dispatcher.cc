#include "LibBalancer/service_dispatcher.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <optional>
#include <variant>

#include <boost/container/static_vector.hpp>

#include "LibAdmission/admission_decision.h"
#include "LibBase/verify.h"
#include "LibPlacement/server_status.h"

namespace balancer {

namespace {

// How far the estimated load that admission uses may exceed the reported load,
// as a share of the slots.
constexpr double kUnreportedLoadShare = 0.25;

const ServerProfile* FindProfile(const std::vector<ServerProfile>& servers,
                                 base::BackendServerId id) {
  const auto found = std::find_if(
      servers.begin(), servers.end(),
      [id](const ServerProfile& server) { return server.m_id == id; });
  return found == servers.end() ? nullptr : &*found;
}

}  // namespace

ServiceDispatcher::ServiceDispatcher(const ServiceProfile& profile,
                                     base::TimePoint now)
    : m_load(profile.m_placement.m_load),
      m_policy(profile.m_placement.m_policy),
      m_admission(profile.m_admission),
      m_servers(profile.m_servers),
      m_wait_bound(profile.m_wait_bound),
      m_opening_deadline(profile.m_opening_deadline) {
  for (const ServerProfile& server : m_servers)
    AddServer(server, placement::ServerStart::kWarm, now);
}

void ServiceDispatcher::AddServer(const ServerProfile& server,
                                  placement::ServerStart start,
                                  base::TimePoint now) {
  m_load.Apply(placement::ServerAdded{server.m_id, server.m_slots,
                                      server.m_connection_limit, start},
               now);
  if (server.m_is_draining)
    m_load.Apply(placement::ServerDraining{server.m_id}, now);
}

void ServiceDispatcher::Update(const ServiceProfile& profile,
                               base::TimePoint now) {
  for (const ServerProfile& before : m_servers) {
    if (FindProfile(profile.m_servers, before.m_id) == nullptr)
      m_load.Apply(placement::ServerRemoved{before.m_id}, now);
  }
  for (const ServerProfile& server : profile.m_servers) {
    const ServerProfile* before = FindProfile(m_servers, server.m_id);
    if (before == nullptr) {
      AddServer(server, placement::ServerStart::kCold, now);
      continue;
    }
    UpdateServer(*before, server, now);
  }
  m_servers = profile.m_servers;
  m_policy = profile.m_placement.m_policy;
  m_load.SetSettings(profile.m_placement.m_load, now);
  m_admission.SetSettings(profile.m_admission);
  m_wait_bound = profile.m_wait_bound;
  m_opening_deadline = profile.m_opening_deadline;
}

void ServiceDispatcher::UpdateServer(const ServerProfile& before,
                                     const ServerProfile& server,
                                     base::TimePoint now) {
  // For a known server, ServerAdded changes the capacity and keeps the rest of
  // its state in the load view.
  if (server.m_slots != before.m_slots ||
      server.m_connection_limit != before.m_connection_limit)
    m_load.Apply(placement::ServerAdded{server.m_id, server.m_slots,
                                        server.m_connection_limit},
                 now);
  if (server.m_is_draining && !before.m_is_draining)
    m_load.Apply(placement::ServerDraining{server.m_id}, now);
  if (!server.m_is_draining && before.m_is_draining)
    m_load.Apply(placement::ServerDrainCancelled{server.m_id}, now);
}

admission::ServiceOccupancy ServiceDispatcher::Occupancy() const {
  const placement::ServiceLoad total = m_load.TotalLoad();
  const auto slots = static_cast<double>(total.m_slots);
  double requests = total.m_estimated_requests;
  if (m_has_reports) {
    // Between two reports the estimate counts an open flow as a request, but a
    // connection that is only held open is no request. An overload shows in the
    // reports too, so the estimate may exceed the reports only by a share of
    // the slots.
    double reported_requests = 0.0;
    for (const placement::ServerStatus& server : m_load.Servers())
      reported_requests +=
          server.m_is_draining ? 0.0 : server.m_reported_requests;
    requests =
        std::min(requests, reported_requests + kUnreportedLoadShare * slots);
  }
  return {requests, slots, total.m_connections};
}

bool ServiceDispatcher::IsAdmitted(flow::OpeningProgress progress) {
  if (progress.m_reason != flow::OpeningReason::kReceived) {
    return progress.m_elapsed < m_opening_deadline &&
           m_admission.retry_budget().CanSpend();
  }
  ++m_counts.m_openings;
  m_admission.RecordOpening();
  return m_admission.DecideForService(Occupancy()) ==
         admission::AdmissionDecision::kAdmitted;
}

bool ServiceDispatcher::IsBelowLimit(base::BackendServerId server) const {
  const ServerProfile* profile = FindProfile(m_servers, server);
  if (profile == nullptr)
    return false;
  const admission::ServerOccupancy occupancy{
      m_load.EstimatedConnections(server), profile->m_connection_limit};
  return m_admission.DecideForServer(occupancy) ==
         admission::AdmissionDecision::kAdmitted;
}

const flow::RoutedServer* ServiceDispatcher::ChooseBelowLimit(
    const flow::ServerOrder& order,
    base::Random& random) {
  boost::container::static_vector<base::BackendServerId, flow::kMaximumOrder>
      ids;
  for (const flow::RoutedServer* server : order)
    ids.push_back(server->m_id);
  // Round robin ignores the order, so it may choose a server again or one that
  // is not in the order.
  for (std::size_t tries = m_load.Servers().size(); tries > 0; --tries) {
    const std::optional<base::BackendServerId> chosen =
        placement::Choose(m_policy, {ids.data(), ids.size()}, m_load, random);
    if (!chosen)
      return nullptr;
    const auto candidate = std::find(ids.begin(), ids.end(), *chosen);
    if (candidate == ids.end())
      continue;
    if (IsBelowLimit(*chosen))
      return *std::ranges::find(order, *chosen, &flow::RoutedServer::m_id);
    ids.erase(candidate);
  }
  return nullptr;
}

const flow::RoutedServer* ServiceDispatcher::Choose(
    const flow::ServerOrder& order,
    flow::OpeningProgress progress,
    base::Random& random) {
  const flow::RoutedServer* chosen =
      IsAdmitted(progress) ? ChooseBelowLimit(order, random) : nullptr;
  if (chosen == nullptr) {
    // An unanswered opening stays with the server that has it and is not
    // refused.
    if (progress.m_reason != flow::OpeningReason::kUnanswered)
      ++m_counts.m_refused;
    return nullptr;
  }
  if (progress.m_reason != flow::OpeningReason::kReceived)
    VERIFY(m_admission.mutable_retry_budget().TrySpend());
  return chosen;
}

void ServiceDispatcher::Observe(const flow::FlowEvent& flow_event,
                                base::TimePoint now) {
  switch (flow_event.m_kind) {
    case flow::FlowEventKind::kOpeningSent:
      m_load.Apply(placement::OpeningSent{flow_event.m_server}, now);
      break;
    case flow::FlowEventKind::kAccepted:
      m_load.Apply(placement::OpeningAccepted{flow_event.m_server}, now);
      break;
    case flow::FlowEventKind::kAnswered:
      ++m_counts.m_answered;
      m_counts.m_slow += flow_event.m_elapsed > m_wait_bound ? 1 : 0;
      m_load.Apply(
          placement::AnswerStarted{flow_event.m_server, flow_event.m_elapsed},
          now);
      m_admission.RecordAnswerDelay(flow_event.m_elapsed, Occupancy(), now);
      break;
    case flow::FlowEventKind::kRefused:
      m_load.Apply(placement::OpeningRefused{flow_event.m_server}, now);
      break;
    case flow::FlowEventKind::kEnded:
      m_load.Apply(placement::FlowEnded{flow_event.m_server}, now);
      break;
    case flow::FlowEventKind::kBroken:
      ++m_counts.m_broken;
      break;
  }
}

std::vector<placement::OpenFlowCount> ServiceDispatcher::OwnOpenFlows() const {
  std::vector<placement::OpenFlowCount> counts;
  for (const placement::ServerStatus& status : m_load.Servers()) {
    const std::int64_t open =
        std::clamp<std::int64_t>(m_load.OwnOpenFlows(status.m_server), 0,
                                 std::numeric_limits<std::int32_t>::max());
    counts.push_back({status.m_server, static_cast<std::int32_t>(open)});
  }
  return counts;
}

void ServiceDispatcher::Apply(const placement::LoadEvent& event,
                              base::TimePoint now) {
  m_has_reports =
      m_has_reports || std::holds_alternative<placement::LoadReported>(event);
  m_load.Apply(event, now);
}

void ServiceDispatcher::Advance(base::TimePoint now, base::Random& random) {
  m_load.Advance(now, random);
}

}  // namespace balancer
