#include "ServiceEmulator/emulated_balancer.h"

#include <algorithm>
#include <utility>

#include "LibFlow/opening_table.h"

namespace service_emulator {

EmulatedBalancer::EmulatedBalancer(const balancer::ServiceProfile& profile,
                                   std::uint64_t seed,
                                   Callbacks callbacks,
                                   base::TimePoint now)
    : m_service(profile.m_id),
      m_random(seed),
      m_callbacks(std::move(callbacks)),
      m_dispatcher(profile, now) {
  AddServers(profile);
}

void EmulatedBalancer::Update(const balancer::ServiceProfile& profile,
                              base::TimePoint now) {
  m_dispatcher.Update(profile, now);
  AddServers(profile);
}

void EmulatedBalancer::AddServers(const balancer::ServiceProfile& profile) {
  for (const balancer::ServerProfile& server : profile.m_servers)
    m_servers.insert({server.m_id, {server.m_id, {}}});
}

void EmulatedBalancer::Apply(const placement::LoadEvent& event,
                             base::TimePoint now) {
  m_dispatcher.Apply(event, now);
}

// Like flow::FlowDirector, sends an opening to another server as soon as a
// server refuses it.
void EmulatedBalancer::Open(const FlowPointer& flow, base::TimePoint now) {
  std::vector<base::BackendServerId> tried;
  while (tried.size() < flow::kMaximumAttempts) {
    const auto server = Choose(*flow, tried);
    if (!server)
      break;
    ReportFlowEvent(flow::FlowEventKind::kOpeningSent, *server, {}, now);
    if (m_callbacks.m_offer(flow, *server)) {
      ReportFlowEvent(flow::FlowEventKind::kAccepted, *server, {}, now);
      m_callbacks.m_on_placed(flow, *server);
      return;
    }
    ReportFlowEvent(flow::FlowEventKind::kRefused, *server, {}, now);
    tried.push_back(*server);
  }
  m_callbacks.m_on_refused(flow);
}

void EmulatedBalancer::RecordAnswer(base::BackendServerId server,
                                    base::Duration delay,
                                    base::TimePoint now) {
  ReportFlowEvent(flow::FlowEventKind::kAnswered, server, delay, now);
}

std::optional<base::BackendServerId> EmulatedBalancer::Choose(
    const EmulatedFlow& flow,
    const std::vector<base::BackendServerId>& tried) {
  if (m_callbacks.m_choose_by_true_load)
    return m_callbacks.m_choose_by_true_load(flow);
  flow::ServerOrder order;
  for (const base::BackendServerId id : flow.m_order) {
    if (std::ranges::count(tried, id) == 0)
      order.push_back(&m_servers.at(id));
  }
  const auto reason = tried.empty() ? flow::OpeningReason::kReceived
                                    : flow::OpeningReason::kRefused;
  const flow::RoutedServer* server =
      m_dispatcher.Choose(order, {reason}, m_random);
  if (server == nullptr)
    return std::nullopt;
  return server->m_id;
}

void EmulatedBalancer::ReportFlowEvent(flow::FlowEventKind kind,
                                       base::BackendServerId server,
                                       base::Duration elapsed,
                                       base::TimePoint now) {
  m_dispatcher.Observe({kind, m_service, server, elapsed}, now);
}

}  // namespace service_emulator
