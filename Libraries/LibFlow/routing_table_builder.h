// Makes a routing table from the one before: only services that changed, lost
// an address or have servers to forget are made anew.

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
  // `previous` outlives the builder.
  RoutingTableBuilder(const RoutingTable& previous,
                      base::TimePoint now,
                      base::Duration hold);

  // Called once.
  std::shared_ptr<const RoutingTable> Build(
      base::ConfigurationVersion version,
      std::span<const ServiceDefinition> services);

 private:
  // The service of the same id and address before, or null.
  const ServiceRouting* FindPrevious(const ServiceDefinition& service) const;
  bool IsUnchanged(const ServiceDefinition& service,
                   const ServiceRouting& former) const;
  bool HasRetentionEnded(const RoutedServer& server) const;

  void RemoveMissingServices(std::span<const ServiceDefinition> services);
  // Gives up the addresses of all servers of a service.
  void ReleaseAddresses(const ServiceRouting& routing);
  // Puts the service in force with the servers of the document.
  void ReplaceService(const ServiceDefinition& service);
  // Since when the server's address is no other's.
  base::TimePoint UsableFrom(const ServiceDefinition& service,
                             const RoutedServer& server) const;
  void AssignAddress(base::ServiceId service, const RoutedServer& server);
  // Appends the retired servers that the former version leaves to a service.
  void AddRetiredServers(const ServiceDefinition& service);
  // Takes from a service that did not change the retired servers whose
  // addresses are another server's now.
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
