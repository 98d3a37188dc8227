// All services of one data centre at one version of the configuration. A table
// is immutable. The table of a new version is built from the previous table and
// shares the unchanged services with it.

#ifndef LIBFLOW_ROUTING_TABLE_H_
#define LIBFLOW_ROUTING_TABLE_H_

#include <chrono>
#include <cstddef>
#include <memory>
#include <span>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibFlow/copy_on_write_map.h"
#include "LibFlow/service_routing.h"

namespace flow {

// A service as the configuration document defines it for one data centre.
struct ServiceDefinition {
  base::ServiceId m_id;
  base::Endpoint m_address;
  // Active and draining servers only.
  std::vector<RoutedServer> m_servers;
};

// The server that holds an address, and its service.
struct AddressOwner {
  base::ServiceId m_service;
  base::BackendServerId m_server;
};

// How long a server that left the document keeps its flows. A flow that lives
// longer on such a server is lost.
inline constexpr base::Duration kRetiredRetention = std::chrono::hours(24);

class RoutingTable {
 public:
  // Builds the table of `version`. Servers of `previous` (may be null) that the
  // document no longer has stay as retired for kRetiredRetention, unless their
  // address belongs to another server now. A server whose address belonged to
  // another server is usable only from `now + hold`.
  static std::shared_ptr<const RoutingTable> Build(
      base::ConfigurationVersion version,
      std::span<const ServiceDefinition> services,
      const RoutingTable* previous,
      base::TimePoint now,
      base::Duration hold);

  base::ConfigurationVersion version() const { return m_version; }

  // Null if no service has the address.
  const ServiceRouting* FindService(base::Endpoint address) const;

  // The server that holds an address, or null. A retired server holds its
  // address until another server gets the address or the retention ends.
  const AddressOwner* FindServerAt(base::Ipv4Address address) const {
    return m_owners.Find(address);
  }

  std::size_t service_count() const { return m_services.size(); }

 private:
  friend class RoutingTableBuilder;

  RoutingTable() = default;
  RoutingTable(const RoutingTable&) = default;

  base::ConfigurationVersion m_version;
  CopyOnWriteMap<base::Endpoint, std::shared_ptr<const ServiceRouting>>
      m_services;
  CopyOnWriteMap<base::Ipv4Address, AddressOwner> m_owners;
};

}  // namespace flow

#endif  // LIBFLOW_ROUTING_TABLE_H_
