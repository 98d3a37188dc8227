// Looks up the routes in force by the address that callers send to.

#ifndef LIBSTEERING_ROUTE_TABLE_H_
#define LIBSTEERING_ROUTE_TABLE_H_

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

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
  // The path at which the servers of `service` answer health checks; empty if
  // the manifest has none.
  std::string HealthPath(std::string_view service) const;
  // Null if the manifest has no options of `service`. Valid until the next
  // manifest is applied.
  const ServiceOptions* OptionsOf(std::string_view service) const;
  // Whether a route with `address` was in force and is not any more. False for
  // an address that may belong to a route of a manifest still to come.
  bool WasDropped(base::Endpoint address) const {
    return m_dropped.contains(address);
  }
  base::ConfigurationVersion Version() const { return m_manifest.m_version; }
  const Manifest& manifest() const { return m_manifest; }
  std::size_t size() const { return m_by_address.size(); }

  // Commands.
  // Puts `manifest` in force. Returns false and changes nothing if the manifest
  // in force has the same or a newer version.
  bool Replace(Manifest manifest);

 private:
  // More dropped addresses are forgotten; their open flows then continue.
  static constexpr std::size_t kMaximumDropped = 20'000;

  // Allows look-ups without a copy of the name.
  struct NameHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const noexcept {
      return std::hash<std::string_view>()(name);
    }
  };

  void RecordDropped(const Manifest& former);

  Manifest m_manifest;
  std::unordered_map<base::Endpoint, std::size_t> m_by_address;
  // The positions in the manifest's list of services.
  std::unordered_map<std::string, std::size_t, NameHash, std::equal_to<>>
      m_by_service;
  std::unordered_set<base::Endpoint> m_dropped;
};

}  // namespace steering

#endif  // LIBSTEERING_ROUTE_TABLE_H_
