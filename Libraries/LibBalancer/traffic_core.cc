#include "LibBalancer/traffic_core.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "LibFlow/balancer_set.h"
#include "LibFlow/routing_table.h"

namespace balancer {

TrafficCore::TrafficCore(const flow::FlowSettings& settings,
                         std::uint64_t seed,
                         base::TimePoint now)
    : m_random(seed),
      m_director(
          settings,
          [this](const flow::ServiceRouting& service,
                 const flow::ServerOrder& order,
                 flow::OpeningProgress progress) {
            return Choose(service, order, progress);
          },
          now) {}

bool TrafficCore::HasService(base::Endpoint address) const {
  return m_routing != nullptr && m_routing->FindService(address) != nullptr;
}

void TrafficCore::SetConfiguration(
    std::shared_ptr<const flow::RoutingTable> routing,
    std::span<const ServiceProfile> services,
    base::TimePoint now) {
  m_routing = routing;
  m_director.SetRouting(std::move(routing));
  std::erase_if(m_gates, [services](const auto& gate) {
    return std::none_of(services.begin(), services.end(),
                        [&gate](const ServiceProfile& service) {
                          return service.m_id == gate.first;
                        });
  });
  for (const ServiceProfile& service : services) {
    const auto [gate, is_new] = m_gates.try_emplace(service.m_id, service, now);
    if (!is_new)
      gate->second.Update(service, now);
  }
}

void TrafficCore::SetBalancers(
    std::shared_ptr<const flow::BalancerSet> balancers) {
  m_director.SetBalancers(std::move(balancers));
}

void TrafficCore::SetLease(base::TimePoint expires) {
  m_director.SetLease(expires);
}

void TrafficCore::ApplyLoad(base::ServiceId service,
                            const placement::LoadEvent& event,
                            base::TimePoint now) {
  const auto gate = m_gates.find(service);
  if (gate != m_gates.end())
    gate->second.Apply(event, now);
}

flow::Effects TrafficCore::HandleCallerPacket(const flow::CallerPacket& packet,
                                              base::TimePoint now) {
  if (m_routing == nullptr)
    return {flow::Drop{flow::DropReason::kUnknownService}};
  return TakeNotes(m_director.HandleCallerPacket(packet, now), now);
}

flow::Effects TrafficCore::HandleServerPacket(const flow::ServerPacket& packet,
                                              base::TimePoint now) {
  if (m_routing == nullptr)
    return {flow::Drop{flow::DropReason::kUnknownService}};
  return TakeNotes(m_director.HandleServerPacket(packet, now), now);
}

void TrafficCore::Advance(base::TimePoint now) {
  for (const flow::FlowNote& note : m_director.Expire(now))
    Observe(note, now);
  for (auto& [service, gate] : m_gates)
    gate.Advance(now, m_random);
}

const flow::RoutedServer* TrafficCore::Choose(
    const flow::ServiceRouting& service,
    const flow::ServerOrder& order,
    flow::OpeningProgress progress) {
  const auto gate = m_gates.find(service.id());
  if (gate == m_gates.end())
    return nullptr;
  return gate->second.Choose(order, progress, m_random);
}

void TrafficCore::Observe(const flow::FlowNote& note, base::TimePoint now) {
  const auto gate = m_gates.find(note.m_service);
  if (gate != m_gates.end())
    gate->second.Observe(note, now);
}

flow::Effects TrafficCore::TakeNotes(flow::Effects effects,
                                     base::TimePoint now) {
  flow::Effects others;
  for (flow::Effect& effect : effects) {
    if (const auto* note = std::get_if<flow::FlowNote>(&effect))
      Observe(*note, now);
    else
      others.push_back(std::move(effect));
  }
  return others;
}

}  // namespace balancer
