#include "data_centre.h"

#include <utility>

#include "scenario.h"

namespace integration {

DataCentre::DataCentre(PlatformControl& platform,
                       DocumentModel& document,
                       Options options)
    : m_options(std::move(options)),
      m_document(document),
      m_deployment(platform,
                   document,
                   {.m_data_centre = m_options.m_name,
                    .m_number = m_options.m_number,
                    .m_seed = m_options.m_seed,
                    .m_settings = m_options.m_settings,
                    .m_has_peer_proxies = m_options.m_has_peer_proxies}) {
  for (int i = 1; i <= m_options.m_servers; ++i)
    m_deployment.AddServer(kPortal,
                           m_options.m_name + "-portal-" + std::to_string(i));
}

void DataCentre::StartBalancers() {
  for (int i = 1; i <= m_options.m_balancers; ++i)
    m_deployment.StartBalancer(m_options.m_name + "-entry-" +
                               std::to_string(i));
  for (const std::string& name : m_deployment.BalancerNames())
    m_deployment.AnnounceBalancer(name);
  for (const std::string& name : m_deployment.BalancerNames())
    m_deployment.AwaitReady(name);
}

bool DataCentre::StopBalancers() {
  return m_deployment.StopBalancers(m_deployment.BalancerNames());
}

void DataCentre::SetDraining(bool is_draining) {
  for (auto& [name, server] : m_document.m_services.at(kPortal).m_servers) {
    if (server.m_data_centre == m_options.m_name)
      server.m_is_draining = is_draining;
  }
}

DocumentModel MakePortalDocument() {
  DocumentModel document;
  document.m_services[kPortal].m_address =
      *base::ParseEndpoint("127.48.0.1:443");
  return document;
}

}  // namespace integration
