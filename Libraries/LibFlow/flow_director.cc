#include "LibFlow/flow_director.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "LibFlow/balancer_set.h"
#include "LibFlow/routing_table.h"

namespace flow {

namespace {

// One call of Expire visits the number of slots divided by this.
constexpr std::size_t kSweepDivisor = 32;

std::uint32_t ToMilliseconds(base::Duration duration) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace

FlowDirector::FlowDirector(FlowSettings settings,
                           Chooser chooser,
                           base::TimePoint now)
    : m_settings(settings),
      m_chooser(std::move(chooser)),
      m_flows(now, settings.m_table_bytes),
      m_openings(settings.m_maximum_openings),
      m_probes(settings.m_maximum_probes),
      m_search_budget(settings.m_searches_per_second, now) {}

void FlowDirector::SetRouting(std::shared_ptr<const RoutingTable> routing) {
  m_routing = std::move(routing);
}

void FlowDirector::SetBalancers(std::shared_ptr<const BalancerSet> balancers) {
  m_balancers = std::move(balancers);
}

bool FlowDirector::IsLeaseValid(base::TimePoint now) const {
  return !m_settings.m_mechanisms.m_configuration_lease ||
         now < m_lease_expires;
}

bool FlowDirector::IsHome(const PacketContext& context) const {
  return !m_settings.m_mechanisms.m_relay_to_home ||
         m_balancers->IsHome(context.m_hash);
}

FlowEntry& FlowDirector::InsertEntry(const PacketContext& context) {
  return m_flows.Insert(
      context.m_key, context.m_hash, context.m_now,
      [this](const FlowEntry& victim) { RecordEviction(victim); },
      [this](const FlowEntry& entry) { return IsRecoverable(entry); });
}

void FlowDirector::RecordEnd(FlowEntry& entry,
                             base::ServiceId service,
                             Effects& effects) {
  if (!entry.m_is_counted)
    return;
  entry.m_is_counted = false;
  effects.push_back(FlowEvent{FlowEventKind::kEnded, service, entry.m_server,
                              base::Duration::zero()});
}

void FlowDirector::RecordEviction(const FlowEntry& entry) {
  if (!entry.m_is_counted)
    return;
  const ServiceRouting* service = m_routing->FindService(entry.key().m_service);
  if (service == nullptr)
    return;
  m_ended_flows.push_back({FlowEventKind::kEnded, service->id(), entry.m_server,
                           base::Duration::zero()});
}

bool FlowDirector::IsRecoverable(const FlowEntry& entry) const {
  const FlowKey key = entry.key();
  const ServiceRouting* service = m_routing->FindService(key.m_service);
  if (service == nullptr)
    return true;
  const RoutedServer* server = service->PreferredServer(HashFlow(key));
  return server != nullptr && server->m_id == entry.m_server;
}

Effects FlowDirector::RelayToHome(const PacketContext& context,
                                  RelayContext relay) const {
  return MakeEffects(
      RelayToBalancer{m_balancers->HomeOf(context.m_hash).m_traffic, relay});
}

bool FlowDirector::IsExpired(const FlowEntry& entry,
                             std::uint32_t now_ms) const {
  const std::uint32_t idle_ms = now_ms - entry.m_last_seen_ms;
  if (entry.m_state == FlowState::kClosing)
    return idle_ms > ToMilliseconds(m_settings.m_closing_idle_timeout);
  if (entry.m_is_counted)
    return idle_ms > ToMilliseconds(m_settings.m_home_idle_timeout);
  return idle_ms >
         std::clamp(entry.LifetimeMilliseconds(),
                    ToMilliseconds(m_settings.m_learned_idle_timeout_minimum),
                    ToMilliseconds(m_settings.m_learned_idle_timeout_maximum));
}

std::vector<FlowEvent> FlowDirector::Expire(base::TimePoint now) {
  m_openings.RemoveStartedBefore(now - m_settings.m_opening_deadline);
  m_probes.RemoveStartedBefore(now - m_settings.m_probe_deadline);
  const std::uint32_t now_ms = m_flows.Milliseconds(now);
  m_flows.Sweep(m_flows.slot_count() / kSweepDivisor,
                [this, now_ms](const FlowEntry& entry) {
                  if (!IsExpired(entry, now_ms))
                    return false;
                  RecordEviction(entry);
                  return true;
                });
  return std::exchange(m_ended_flows, {});
}

}  // namespace flow
