#include "active_configuration.h"

#include <utility>
#include <variant>

#include "LibBase/hash.h"
#include "LibConfiguration/document_reader.h"
#include "LibFlow/routing_table.h"
#include "LibObservability/log.h"
#include "configuration_mapping.h"
#include "traffic_loop.h"

namespace service {

ActiveConfiguration::ActiveConfiguration(
    const configuration::Settings& settings,
    TrafficLoop& traffic)
    : m_data_centre(settings.m_data_centre),
      m_placement(settings.m_control.m_placement),
      m_hold_duration(settings.m_mechanisms.m_address_hold
                          ? base::Duration(settings.m_control.m_hold)
                          : base::Duration::zero()),
      m_traffic(traffic) {}

std::vector<PolledServer> ActiveConfiguration::PolledServers() const {
  std::vector<PolledServer> servers;
  for (const configuration::Service& service : m_document.m_services) {
    for (const auto& server : service.m_backend_servers) {
      if (server.m_data_centre != m_data_centre)
        continue;
      servers.push_back(
          {base::MakeServiceId(service.m_name),
           base::MakeBackendServerId(service.m_name, server.m_name,
                                     server.m_incarnation),
           server.m_health});
    }
  }
  return servers;
}

bool ActiveConfiguration::Apply(base::ConfigurationVersion version,
                                const std::string& body,
                                base::TimePoint now) {
  if (version <= m_version)
    return false;
  auto reading = configuration::ReadDocument(body);
  if (const auto* problems = std::get_if<configuration::Problems>(&reading)) {
    ++m_refused;
    observability::WriteLog(
        observability::Severity::kError,
        observability::Event::kConfigurationRefused,
        {{"version", version.value()},
         {"errors", problems->size()},
         {"first",
          problems->empty() ? std::string() : ToString(problems->front())}});
    return false;
  }
  m_document = std::get<configuration::Document>(std::move(reading));
  m_version = version;
  m_body = body;
  m_routing =
      flow::RoutingTable::Build(version, MapServices(m_document, m_data_centre),
                                m_routing.get(), now, m_hold_duration);
  m_traffic.Post(
      [routing = m_routing,
       profiles = MapProfiles(m_document, m_data_centre, m_placement)](
          balancer::TrafficCore& core, base::TimePoint applied_at) {
        core.SetConfiguration(routing, profiles, applied_at);
      });
  observability::WriteLog(observability::Severity::kInfo,
                          observability::Event::kConfigurationInForce,
                          {{"version", version.value()},
                           {"submission", m_document.m_submission.m_id},
                           {"services", m_document.m_services.size()}});
  return true;
}

}  // namespace service
