// The routes in force, looked up by the address that callers send to.

#ifndef LIBSTEERING_ROUTE_TABLE_H_
#define LIBSTEERING_ROUTE_TABLE_H_

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibSteering/manifest.h"
#include "LibSteering/route.h"

namespace steering {

class RouteTable {
 public:
  // Queries.
  // Null if no route has the address.
  const Route* Find(base::Endpoint address) const;
  // Where the servers of `service` answer health checks; empty if unknown.
  std::string HealthPath(std::string_view service) const;
  base::ConfigurationVersion Version() const { return m_manifest.m_version; }
  const Manifest& manifest() const { return m_manifest; }
  std::size_t size() const { return m_by_address.size(); }

  // Commands.
  // Puts `manifest` in force; false if it is not newer than the one in force.
  bool Replace(Manifest manifest);

 private:
  Manifest m_manifest;
  std::unordered_map<base::Endpoint, std::size_t> m_by_address;
};

}  // namespace steering

#endif  // LIBSTEERING_ROUTE_TABLE_H_
