#include "LibFlow/routing_table.h"

#include "LibFlow/routing_table_builder.h"

namespace flow {

std::shared_ptr<const RoutingTable> RoutingTable::Build(
    base::ConfigurationVersion version,
    std::span<const ServiceDefinition> services,
    const RoutingTable* previous,
    base::TimePoint now,
    base::Duration hold) {
  const RoutingTable empty;
  RoutingTableBuilder builder(previous == nullptr ? empty : *previous, now,
                              hold);
  return builder.Build(version, services);
}

const ServiceRouting* RoutingTable::FindService(base::Endpoint address) const {
  const auto* found = m_services.Find(address);
  return found == nullptr ? nullptr : found->get();
}

}  // namespace flow
