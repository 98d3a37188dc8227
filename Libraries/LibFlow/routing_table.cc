#include "LibFlow/routing_table.h"

#include <utility>

namespace flow {

std::shared_ptr<const RoutingTable> RoutingTable::Build(
    base::ConfigurationVersion version,
    std::span<const ServiceDefinition> services,
    const RoutingTable* previous,
    base::TimePoint now,
    base::Duration hold) {
  std::shared_ptr<RoutingTable> table(new RoutingTable);
  table->m_version = version;
  for (ServiceDefinition service : services) {
    if (previous != nullptr)
      table->Hold(*previous, now, hold, service);
    table->m_services.emplace(
        service.m_address,
        ServiceRouting(service.m_id, std::move(service.m_servers)));
  }
  table->IndexServers();
  if (previous != nullptr)
    table->Retire(*previous);
  return table;
}

// The hold of a server that stays carries over from table to table.
void RoutingTable::Hold(const RoutingTable& previous,
                        base::TimePoint now,
                        base::Duration hold,
                        ServiceDefinition& service) const {
  for (RoutedServer& server : service.m_servers) {
    const OwnedServer* owner = previous.FindServerAt(server.m_tunnel.m_address);
    if (owner == nullptr)
      continue;
    if (owner->m_server != server.m_id) {
      server.m_usable_from = now + hold;
      continue;
    }
    const ServiceRouting* routing = previous.FindService(service.m_address);
    const RoutedServer* before =
        routing == nullptr ? nullptr : routing->FindServer(server.m_id);
    if (before != nullptr)
      server.m_usable_from = before->m_usable_from;
  }
}

void RoutingTable::IndexServers() {
  for (const auto& [address, routing] : m_services) {
    for (const RoutedServer& server : routing.servers())
      m_owners.insert_or_assign(server.m_tunnel.m_address,
                                OwnedServer{routing.id(), server.m_id});
  }
}

void RoutingTable::Retire(const RoutingTable& previous) {
  for (const auto& [address, before] : previous.m_services) {
    const auto found = m_services.find(address);
    if (found == m_services.end() || found->second.id() != before.id())
      continue;
    std::vector<RoutedServer> servers(found->second.servers().begin(),
                                      found->second.servers().end());
    for (RoutedServer server : before.servers()) {
      if (m_owners.contains(server.m_tunnel.m_address))
        continue;
      server.m_state = RoutedServerState::kRetired;
      m_owners.emplace(server.m_tunnel.m_address,
                       OwnedServer{before.id(), server.m_id});
      servers.push_back(server);
    }
    found->second = ServiceRouting(before.id(), std::move(servers));
  }
}

const ServiceRouting* RoutingTable::FindService(base::Endpoint address) const {
  const auto found = m_services.find(address);
  return found == m_services.end() ? nullptr : &found->second;
}

const OwnedServer* RoutingTable::FindServerAt(base::Ipv4Address address) const {
  const auto found = m_owners.find(address);
  return found == m_owners.end() ? nullptr : &found->second;
}

}  // namespace flow
