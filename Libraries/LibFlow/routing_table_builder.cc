#include "LibFlow/routing_table_builder.h"

#include <algorithm>
#include <utility>

namespace flow {

namespace {

bool IsRetired(const RoutedServer& server) {
  return server.m_state == RoutedServerState::kRetired;
}

// Whether the document leaves the server unchanged.
bool IsSameServer(const RoutedServer& left, const RoutedServer& right) {
  return left.m_id == right.m_id && left.m_tunnel == right.m_tunnel &&
         left.m_state == right.m_state;
}

}  // namespace

RoutingTableBuilder::RoutingTableBuilder(const RoutingTable& previous,
                                         base::TimePoint now,
                                         base::Duration hold)
    : m_previous(previous),
      m_now(now),
      m_hold(hold),
      m_table(new RoutingTable(previous)) {}

std::shared_ptr<const RoutingTable> RoutingTableBuilder::Build(
    base::ConfigurationVersion version,
    std::span<const ServiceDefinition> services) {
  m_table->m_version = version;
  RemoveMissingServices(services);
  std::vector<const ServiceDefinition*> changed;
  for (const ServiceDefinition& service : services) {
    const ServiceRouting* former = FindPrevious(service);
    if (former != nullptr && IsUnchanged(service, *former))
      continue;
    if (former != nullptr)
      ReleaseAddresses(*former);
    changed.push_back(&service);
  }
  for (const ServiceDefinition* service : changed)
    ReplaceService(*service);
  for (const ServiceDefinition* service : changed)
    AddRetiredServers(*service);
  if (m_services_losing_addresses.empty())
    return m_table;
  for (const ServiceDefinition& service : services) {
    if (m_services_losing_addresses.contains(service.m_id))
      RemoveDisplacedServers(service);
  }
  return m_table;
}

const ServiceRouting* RoutingTableBuilder::FindPrevious(
    const ServiceDefinition& service) const {
  const ServiceRouting* former = m_previous.FindService(service.m_address);
  const bool is_same = former != nullptr && former->id() == service.m_id;
  return is_same ? former : nullptr;
}

bool RoutingTableBuilder::IsUnchanged(const ServiceDefinition& service,
                                      const ServiceRouting& former) const {
  const std::span<const RoutedServer> servers = former.servers();
  const std::size_t count = service.m_servers.size();
  if (servers.size() < count)
    return false;
  return std::ranges::equal(service.m_servers, servers.first(count),
                            IsSameServer) &&
         std::ranges::all_of(
             servers.subspan(count), [this](const RoutedServer& server) {
               return IsRetired(server) && !HasRetentionEnded(server);
             });
}

bool RoutingTableBuilder::HasRetentionEnded(const RoutedServer& server) const {
  return IsRetired(server) && m_now - server.m_retired_at >= kRetiredRetention;
}

void RoutingTableBuilder::RemoveMissingServices(
    std::span<const ServiceDefinition> services) {
  std::size_t kept = 0;
  for (const ServiceDefinition& service : services)
    kept += FindPrevious(service) != nullptr ? 1 : 0;
  if (kept == m_previous.service_count())
    return;
  std::unordered_set<const ServiceRouting*> present;
  for (const ServiceDefinition& service : services)
    present.insert(FindPrevious(service));
  m_previous.m_services.ForEach(
      [&](base::Endpoint address,
          const std::shared_ptr<const ServiceRouting>& routing) {
        if (present.contains(routing.get()))
          return;
        ReleaseAddresses(*routing);
        m_table->m_services.Erase(address);
      });
}

void RoutingTableBuilder::ReleaseAddresses(const ServiceRouting& routing) {
  for (const RoutedServer& server : routing.servers())
    m_table->m_owners.Erase(server.m_tunnel.m_address);
}

void RoutingTableBuilder::ReplaceService(const ServiceDefinition& service) {
  std::vector<RoutedServer> servers = service.m_servers;
  for (RoutedServer& server : servers) {
    server.m_usable_from = UsableFrom(service, server);
    AssignAddress(service.m_id, server);
  }
  m_table->m_services.Set(
      service.m_address,
      std::make_shared<ServiceRouting>(service.m_id, std::move(servers)));
}

// A server that stays keeps its hold from table to table.
base::TimePoint RoutingTableBuilder::UsableFrom(
    const ServiceDefinition& service,
    const RoutedServer& server) const {
  const AddressOwner* owner =
      m_previous.FindServerAt(server.m_tunnel.m_address);
  if (owner == nullptr)
    return server.m_usable_from;
  if (owner->m_server != server.m_id)
    return m_now + m_hold;
  const ServiceRouting* former = m_previous.FindService(service.m_address);
  const RoutedServer* before =
      former == nullptr ? nullptr : former->FindServer(server.m_id);
  return before == nullptr ? server.m_usable_from : before->m_usable_from;
}

void RoutingTableBuilder::AssignAddress(base::ServiceId service,
                                        const RoutedServer& server) {
  const base::Ipv4Address address = server.m_tunnel.m_address;
  const AddressOwner* owner = m_table->m_owners.Find(address);
  if (owner != nullptr && owner->m_server != server.m_id)
    m_services_losing_addresses.insert(owner->m_service);
  m_table->m_owners.Set(address, {service, server.m_id});
}

void RoutingTableBuilder::AddRetiredServers(const ServiceDefinition& service) {
  const ServiceRouting* former = FindPrevious(service);
  if (former == nullptr)
    return;
  const auto present = m_table->FindService(service.m_address)->servers();
  std::vector<RoutedServer> servers(present.begin(), present.end());
  for (RoutedServer server : former->servers()) {
    const bool is_owned =
        m_table->FindServerAt(server.m_tunnel.m_address) != nullptr;
    if (is_owned || HasRetentionEnded(server))
      continue;
    if (!IsRetired(server))
      server.m_retired_at = m_now;
    server.m_state = RoutedServerState::kRetired;
    AssignAddress(service.m_id, server);
    servers.push_back(server);
  }
  if (servers.size() == present.size())
    return;
  m_table->m_services.Set(
      service.m_address,
      std::make_shared<ServiceRouting>(service.m_id, std::move(servers)));
}

void RoutingTableBuilder::RemoveDisplacedServers(
    const ServiceDefinition& service) {
  const auto present = m_table->FindService(service.m_address)->servers();
  std::vector<RoutedServer> servers(present.begin(), present.end());
  std::erase_if(servers, [this](const RoutedServer& server) {
    const AddressOwner* owner =
        m_table->FindServerAt(server.m_tunnel.m_address);
    const bool is_owner = owner != nullptr && owner->m_server == server.m_id;
    return IsRetired(server) && !is_owner;
  });
  m_table->m_services.Set(
      service.m_address,
      std::make_shared<ServiceRouting>(service.m_id, std::move(servers)));
}

}  // namespace flow
