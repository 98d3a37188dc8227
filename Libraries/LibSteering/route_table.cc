#include "LibSteering/route_table.h"

#include <utility>

namespace steering {

const Route* RouteTable::Find(base::Endpoint address) const {
  const auto found = m_by_address.find(address);
  return found == m_by_address.end() ? nullptr
                                     : &m_manifest.m_routes[found->second];
}

std::string RouteTable::HealthPath(std::string_view service) const {
  const ServiceOptions* options = OptionsOf(service);
  return options == nullptr ? std::string() : options->m_health_path;
}

const ServiceOptions* RouteTable::OptionsOf(std::string_view service) const {
  const auto found = m_by_service.find(service);
  return found == m_by_service.end() ? nullptr
                                     : &m_manifest.m_services[found->second];
}

bool RouteTable::Replace(Manifest manifest) {
  if (manifest.m_version <= m_manifest.m_version)
    return false;
  const Manifest former = std::exchange(m_manifest, std::move(manifest));
  m_by_address.clear();
  m_by_address.reserve(m_manifest.m_routes.size());
  for (std::size_t index = 0; index < m_manifest.m_routes.size(); ++index)
    m_by_address.emplace(m_manifest.m_routes[index].m_address, index);
  m_by_service.clear();
  m_by_service.reserve(m_manifest.m_services.size());
  for (std::size_t index = 0; index < m_manifest.m_services.size(); ++index)
    m_by_service.emplace(m_manifest.m_services[index].m_service, index);
  RecordDropped(former);
  return true;
}

void RouteTable::RecordDropped(const Manifest& former) {
  if (m_dropped.size() + former.m_routes.size() > kMaximumDropped)
    m_dropped.clear();
  for (const Route& route : former.m_routes)
    m_dropped.insert(route.m_address);
  for (const Route& route : m_manifest.m_routes)
    m_dropped.erase(route.m_address);
}

}  // namespace steering
