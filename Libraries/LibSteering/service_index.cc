#include "LibSteering/service_index.h"

#include <algorithm>

#include "LibSteering/known_server.h"

namespace steering {

ServiceTotals ServiceIndex::Totals(const DataCentres& evacuated) const {
  ServiceTotals totals;
  for (const auto& [data_centre, servers] : m_data_centres) {
    const bool is_evacuated = evacuated.contains(data_centre);
    totals.m_registered += servers.Registered();
    totals.m_registered_evacuated += is_evacuated ? servers.Registered() : 0;
    totals.m_ready += servers.Ready();
    totals.m_ready_evacuated += is_evacuated ? servers.Ready() : 0;
    totals.m_requests += servers.Requests();
    totals.m_reachable_requests += servers.ReachableRequests();
    totals.m_slots += servers.Slots();
  }
  return totals;
}

bool ServiceIndex::HasPlaceableOutside(const base::DataCentreId& own,
                                       const DataCentres& evacuated) const {
  return std::ranges::any_of(m_data_centres, [&](const auto& entry) {
    return entry.first != own && entry.second.Placeable() > 0 &&
           !evacuated.contains(entry.first);
  });
}

std::vector<KnownServer*> ServiceIndex::Sample(const SampleOptions& options,
                                               const DataCentres& evacuated,
                                               base::Random& random) const {
  std::vector<KnownServer*> sample;
  std::vector<const DataCentreServers*> shared;
  std::size_t shared_servers = 0;
  for (const auto& [data_centre, servers] : m_data_centres) {
    if (servers.Placeable() == 0 ||
        (!options.m_includes_evacuated && evacuated.contains(data_centre)))
      continue;
    if (!options.m_is_even && data_centre == options.m_own) {
      servers.Sample(kSampleSize / 2, random, sample);
      continue;
    }
    shared.push_back(&servers);
    shared_servers += servers.Placeable();
  }
  const std::size_t shared_size =
      options.m_is_even ? kSampleSize : kSampleSize / 2;
  for (const DataCentreServers* servers : shared)
    servers->Sample(
        std::max(kLeastOfDataCentre,
                 shared_size * servers->Placeable() / shared_servers),
        random, sample);
  return sample;
}

void ServiceIndex::AddRegistered(
    std::map<base::DataCentreId, std::size_t>& counts) const {
  for (const auto& [data_centre, servers] : m_data_centres)
    counts[data_centre] += servers.Registered();
}

void ServiceIndex::Add(KnownServer& server) {
  m_data_centres[server.m_record.m_data_centre].Add(server);
}

void ServiceIndex::Remove(KnownServer& server) {
  const auto found = m_data_centres.find(server.m_record.m_data_centre);
  if (found == m_data_centres.end())
    return;
  found->second.Remove(server);
  if (found->second.Registered() == 0)
    m_data_centres.erase(found);
}

}  // namespace steering
