// The configuration document in force on this balancer. A new document is
// applied in full or rejected.

#ifndef SERVICES_COLTSFOOTDALE_ACTIVE_CONFIGURATION_H_
#define SERVICES_COLTSFOOTDALE_ACTIVE_CONFIGURATION_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibConfiguration/document.h"
#include "LibConfiguration/settings.h"
#include "load_poller.h"

namespace flow {
class RoutingTable;
}  // namespace flow

namespace service {

class TrafficLoop;

class ActiveConfiguration {
 public:
  // New versions are posted to `traffic`, which must outlive the object.
  ActiveConfiguration(const configuration::Settings& settings,
                      TrafficLoop& traffic);

  // Queries.
  // The version in force; zero if no document is in force.
  base::ConfigurationVersion version() const { return m_version; }
  // The number of documents that were rejected because they are malformed.
  std::uint64_t refused() const { return m_refused; }
  // The text of the document in force, as the platform stores it.
  const std::string& body() const { return m_body; }
  const configuration::Document& document() const { return m_document; }
  // The backend servers of this data centre, in all services of the document.
  std::vector<PolledServer> PolledServers() const;

  // Commands.
  // Puts the document in force and returns true. Returns false and keeps the
  // previous document if `body` is malformed or `version` is not greater than
  // the version in force. An address that belonged to another server becomes
  // usable only after the address hold, which starts at `now`.
  bool Apply(base::ConfigurationVersion version,
             const std::string& body,
             base::TimePoint now);

 private:
  base::DataCentreId m_data_centre;
  configuration::PlacementPolicy m_placement;
  // Zero if the address hold is disabled.
  base::Duration m_hold_duration;
  TrafficLoop& m_traffic;
  base::ConfigurationVersion m_version;
  std::uint64_t m_refused = 0;
  std::string m_body;
  configuration::Document m_document;
  std::shared_ptr<const flow::RoutingTable> m_routing;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_ACTIVE_CONFIGURATION_H_
