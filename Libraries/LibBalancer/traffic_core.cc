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
          now),
      m_lease_expires(settings.m_mechanisms.m_configuration_lease
                          ? base::TimePoint::min()
                          : base::TimePoint::max()) {
  if (settings.m_mechanisms.m_detect_silence)
    m_silence.emplace(settings.m_silence, now);
}

bool TrafficCore::HasService(base::Endpoint address) const {
  return m_routing != nullptr && m_routing->FindService(address) != nullptr;
}

void TrafficCore::SetConfiguration(
    std::shared_ptr<const flow::RoutingTable> routing,
    std::span<const ServiceProfile> services,
    base::TimePoint now) {
  m_routing = routing;
  m_director.SetRouting(std::move(routing));
  std::erase_if(m_dispatchers, [services](const auto& dispatcher) {
    return std::none_of(services.begin(), services.end(),
                        [&dispatcher](const ServiceProfile& service) {
                          return service.m_id == dispatcher.first;
                        });
  });
  for (const ServiceProfile& service : services) {
    const auto [dispatcher, is_new] =
        m_dispatchers.try_emplace(service.m_id, service, now);
    if (!is_new)
      dispatcher->second.Update(service, now);
  }
}

void TrafficCore::SetBalancers(
    std::shared_ptr<const flow::BalancerSet> balancers) {
  m_peers.clear();
  for (const flow::Balancer& balancer : balancers->balancers()) {
    if (balancer.m_id != balancers->self())
      m_peers.push_back(balancer.m_id);
  }
  m_director.SetBalancers(std::move(balancers));
}

void TrafficCore::SetLease(base::TimePoint expires) {
  m_lease_expires = std::max(m_lease_expires, expires);
  m_director.SetLease(expires);
}

void TrafficCore::ApplyLoad(base::ServiceId service,
                            const placement::LoadEvent& event,
                            base::TimePoint now) {
  const auto dispatcher = m_dispatchers.find(service);
  if (dispatcher != m_dispatchers.end())
    dispatcher->second.Apply(event, now);
}

flow::Effects TrafficCore::HandleCallerPacket(const flow::CallerPacket& packet,
                                              base::TimePoint now) {
  if (m_routing == nullptr)
    return {flow::Drop{flow::DropReason::kUnknownService}};
  flow::Effects effects =
      ApplyFlowEvents(m_director.HandleCallerPacket(packet, now), now);
  if (m_silence)
    ObserveForSilence(flow::MakeStreamPacket(packet), packet.m_relay.m_purpose,
                      effects, now);
  return effects;
}

flow::Effects TrafficCore::HandleServerPacket(const flow::ServerPacket& packet,
                                              base::TimePoint now) {
  if (m_routing == nullptr)
    return {flow::Drop{flow::DropReason::kUnknownService}};
  flow::Effects effects =
      ApplyFlowEvents(m_director.HandleServerPacket(packet, now), now);
  if (m_silence)
    ObserveForSilence(flow::MakeStreamPacket(packet), packet.m_relay.m_purpose,
                      effects, now);
  return effects;
}

// A relayed packet was already observed by the balancer that relayed it. A
// packet that is dropped here cannot be answered.
void TrafficCore::ObserveForSilence(const flow::StreamPacket& packet,
                                    flow::RelayPurpose purpose,
                                    const flow::Effects& effects,
                                    base::TimePoint now) {
  const bool is_dropped = std::ranges::any_of(effects, [](const auto& effect) {
    return std::holds_alternative<flow::Drop>(effect);
  });
  if (purpose == flow::RelayPurpose::kNone && !is_dropped)
    m_silence->Observe(packet, now);
}

void TrafficCore::HandleWatchRequest(base::BalancerId from,
                                     const flow::WatchRequest& request,
                                     base::TimePoint now) {
  if (m_silence)
    m_silence->HandleRequest(from, request, now);
}

void TrafficCore::HandleWatchReply(base::BalancerId from,
                                   const flow::WatchReply& reply) {
  if (m_silence)
    m_silence->HandleReply(from, reply);
}

flow::SilenceActions TrafficCore::Advance(base::TimePoint now) {
  for (const flow::FlowEvent& flow_event : m_director.Expire(now))
    Observe(flow_event, now);
  for (auto& [service, dispatcher] : m_dispatchers)
    dispatcher.Advance(now, m_random);
  if (!m_silence)
    return {};
  // Without a valid lease this balancer forwards nothing from callers, so its
  // observations prove nothing.
  if (now >= m_lease_expires)
    m_silence->CancelWatches();
  flow::SilenceActions actions = m_silence->Advance(now, m_peers);
  for (const flow::SilentFlow& silent : actions.m_silent)
    RecordSilentFlow(silent, now);
  return actions;
}

void TrafficCore::RecordSilentFlow(const flow::SilentFlow& silent,
                                   base::TimePoint now) {
  const flow::ServiceRouting* service =
      m_routing->FindService(silent.m_repetition.m_key.m_service);
  if (service != nullptr)
    Observe({flow::FlowEventKind::kBroken, service->id(), {}, {}}, now);
}

const flow::RoutedServer* TrafficCore::Choose(
    const flow::ServiceRouting& service,
    const flow::ServerOrder& order,
    flow::OpeningProgress progress) {
  const auto dispatcher = m_dispatchers.find(service.id());
  if (dispatcher == m_dispatchers.end())
    return nullptr;
  return dispatcher->second.Choose(order, progress, m_random);
}

void TrafficCore::Observe(const flow::FlowEvent& flow_event,
                          base::TimePoint now) {
  const auto dispatcher = m_dispatchers.find(flow_event.m_service);
  if (dispatcher != m_dispatchers.end())
    dispatcher->second.Observe(flow_event, now);
}

flow::Effects TrafficCore::ApplyFlowEvents(const flow::Effects& effects,
                                           base::TimePoint now) {
  flow::Effects others;
  for (const flow::Effect& effect : effects) {
    if (const auto* flow_event = std::get_if<flow::FlowEvent>(&effect))
      Observe(*flow_event, now);
    else
      others.push_back(effect);
  }
  return others;
}

}  // namespace balancer
