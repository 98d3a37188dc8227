// Builds a routing table from the previous one. Only services that changed,
// lost an address or have retired servers whose retention has ended are
// rebuilt.

#ifndef LIBFLOW_ROUTING_TABLE_BUILDER_H_
#define LIBFLOW_ROUTING_TABLE_BUILDER_H_

#include <memory>
#include <span>
#include <unordered_set>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibFlow/routing_table.h"
#include "LibFlow/service_routing.h"

namespace flow {

class RoutingTableBuilder {
 public:
  // `previous` must outlive the builder.
  RoutingTableBuilder(const RoutingTable& previous,
                      base::TimePoint now,
                      base::Duration hold);

  // Must be called only once.
  std::shared_ptr<const RoutingTable> Build(
      base::ConfigurationVersion version,
      std::span<const ServiceDefinition> services);

 private:
  // The service of the same id and address in the previous table, or null.
  const ServiceRouting* FindPrevious(const ServiceDefinition& service) const;
  bool IsUnchanged(const ServiceDefinition& service,
                   const ServiceRouting& former) const;
  bool HasRetentionEnded(const RoutedServer& server) const;

  void RemoveMissingServices(std::span<const ServiceDefinition> services);
  // Removes the owners of the addresses of all servers of a service.
  void ReleaseAddresses(const ServiceRouting& routing);
  // Replaces a service by one that has the servers of the document.
  void ReplaceService(const ServiceDefinition& service);
  // The time from which packets may go to the server, as its address no longer
  // counts as another server's.
  base::TimePoint UsableFrom(const ServiceDefinition& service,
                             const RoutedServer& server) const;
  void AssignAddress(base::ServiceId service, const RoutedServer& server);
  // Appends to a service the servers of the previous table that are retired
  // now.
  void AddRetiredServers(const ServiceDefinition& service);
  // Removes from an unchanged service the retired servers whose addresses
  // belong to another server now.
  void RemoveDisplacedServers(const ServiceDefinition& service);

  const RoutingTable& m_previous;
  base::TimePoint m_now;
  base::Duration m_hold;
  std::shared_ptr<RoutingTable> m_table;
  // The services that lost an address to another server.
  std::unordered_set<base::ServiceId> m_services_losing_addresses;
};

}  // namespace flow

#endif  // LIBFLOW_ROUTING_TABLE_BUILDER_H_
