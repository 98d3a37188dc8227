#include "LibBalancer/service_gate.h"

#include <algorithm>
#include <optional>

#include <boost/container/static_vector.hpp>

#include "LibAdmission/admission.h"

namespace balancer {

namespace {

const ServerProfile* FindProfile(const std::vector<ServerProfile>& servers,
                                 base::BackendServerId id) {
  const auto found = std::find_if(
      servers.begin(), servers.end(),
      [id](const ServerProfile& server) { return server.m_id == id; });
  return found == servers.end() ? nullptr : &*found;
}

}  // namespace

ServiceGate::ServiceGate(const ServiceProfile& profile, base::TimePoint now)
    : m_load(profile.m_placement.m_load),
      m_policy(profile.m_placement.m_policy),
      m_admission(profile.m_admission),
      m_servers(profile.m_servers),
      m_wait_bound(profile.m_wait_bound) {
  for (const ServerProfile& server : m_servers)
    AddServer(server, placement::ServerStart::kWarm, now);
}

void ServiceGate::AddServer(const ServerProfile& server,
                            placement::ServerStart start,
                            base::TimePoint now) {
  m_load.Apply(placement::ServerAdded{server.m_id, server.m_slots,
                                      server.m_connection_limit, start},
               now);
  if (server.m_is_draining)
    m_load.Apply(placement::ServerDraining{server.m_id}, now);
}

void ServiceGate::Update(const ServiceProfile& profile, base::TimePoint now) {
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
    if (server.m_is_draining && !before->m_is_draining)
      m_load.Apply(placement::ServerDraining{server.m_id}, now);
    if (!server.m_is_draining && before->m_is_draining)
      m_load.Apply(placement::ServerUndrained{server.m_id}, now);
  }
  m_servers = profile.m_servers;
  m_policy = profile.m_placement.m_policy;
  m_wait_bound = profile.m_wait_bound;
}

admission::ServiceOccupancy ServiceGate::Occupancy() const {
  const placement::ServiceLoad total = m_load.Total();
  return {total.m_estimated_busy, static_cast<double>(total.m_slots),
          total.m_connections};
}

bool ServiceGate::IsAdmitted(std::size_t attempt) {
  if (attempt > 0)
    return m_admission.MutableRetries().TrySpend();
  ++m_counts.m_openings;
  m_admission.RecordOpening();
  return m_admission.DecideForService(Occupancy()) ==
         admission::Admission::kAdmitted;
}

const flow::RoutedServer* ServiceGate::Choose(const flow::ServerOrder& order,
                                              std::size_t attempt,
                                              base::Random& random) {
  if (!IsAdmitted(attempt)) {
    ++m_counts.m_refused;
    return nullptr;
  }
  boost::container::static_vector<base::BackendServerId, flow::kMaximumOrder>
      ids;
  for (const flow::RoutedServer* server : order)
    ids.push_back(server->m_id);
  const std::optional<base::BackendServerId> chosen =
      placement::Choose(m_policy, {ids.data(), ids.size()}, m_load, random);
  if (!chosen) {
    ++m_counts.m_refused;
    return nullptr;
  }
  const auto position = std::find(ids.begin(), ids.end(), *chosen);
  return order[static_cast<std::size_t>(position - ids.begin())];
}

void ServiceGate::Observe(const flow::FlowNote& note, base::TimePoint now) {
  switch (note.m_kind) {
    case flow::FlowNoteKind::kOpeningSent:
      ++m_own_open[note.m_server];
      m_load.Apply(placement::OpeningSent{note.m_server}, now);
      break;
    case flow::FlowNoteKind::kAccepted:
      m_load.Apply(placement::OpeningAccepted{note.m_server}, now);
      break;
    case flow::FlowNoteKind::kAnswered:
      ++m_counts.m_answered;
      m_counts.m_slow += note.m_elapsed > m_wait_bound ? 1 : 0;
      m_load.Apply(placement::AnswerStarted{note.m_server, note.m_elapsed},
                   now);
      m_admission.RecordAnswerDelay(note.m_elapsed, Occupancy(), now);
      break;
    case flow::FlowNoteKind::kRefused:
      ForgetOpen(note.m_server);
      m_load.Apply(placement::OpeningRefused{note.m_server}, now);
      break;
    case flow::FlowNoteKind::kEnded:
      ForgetOpen(note.m_server);
      m_load.Apply(placement::FlowEnded{note.m_server}, now);
      break;
    case flow::FlowNoteKind::kBroken:
      ++m_counts.m_broken;
      break;
  }
}

void ServiceGate::ForgetOpen(base::BackendServerId server) {
  std::uint32_t& open = m_own_open[server];
  if (open > 0)
    --open;
}

std::vector<placement::OpenCount> ServiceGate::OwnOpenFlows() const {
  std::vector<placement::OpenCount> counts;
  for (const auto& [server, open] : m_own_open)
    counts.push_back({server, static_cast<std::int32_t>(open)});
  return counts;
}

void ServiceGate::Apply(const placement::LoadEvent& event,
                        base::TimePoint now) {
  m_load.Apply(event, now);
}

void ServiceGate::Advance(base::TimePoint now, base::Random& random) {
  m_load.Advance(now, random);
}

}  // namespace balancer
