#include "scenario.h"

#include <iostream>

#include "harness_error.h"

namespace integration {

Scenario::Scenario(const Options& options)
    : m_deployment(
          m_platform,
          m_document,
          {.m_seed = options.m_seed,
           .m_settings = options.m_settings,
           .m_server_connections = options.m_server_connections,
           .m_has_fault_proxies = options.m_has_fault_proxies,
           .m_fabric_polls_readiness = options.m_fabric_polls_readiness,
           .m_has_peer_proxies = options.m_has_peer_proxies}) {
  m_document.m_services[kPortal].m_address =
      *base::ParseEndpoint("127.48.0.1:443");
  m_document.m_services[kArchive].m_address =
      *base::ParseEndpoint("127.48.0.2:443");
  for (int i = 1; i <= options.m_portal_servers; ++i)
    m_deployment.AddServer(kPortal, "portal-" + std::to_string(i),
                           options.m_server_options);
  for (int i = 1; i <= options.m_archive_servers; ++i)
    m_deployment.AddServer(kArchive, "archive-" + std::to_string(i),
                           options.m_server_options);
  Publish("first");
  for (int i = 1; i <= options.m_balancers; ++i)
    m_deployment.StartBalancer("entry-" + std::to_string(i));
  for (const std::string& name : m_deployment.BalancerNames())
    m_deployment.AnnounceBalancer(name);
  for (const std::string& name : m_deployment.BalancerNames())
    m_deployment.AwaitReady(name);
  m_deployment.AwaitInForce(m_version);
}

std::uint64_t Scenario::Publish(const std::string& submission) {
  m_version = m_platform.PutDocument(m_document.Render(submission), m_version);
  Require(m_version > 0,
          "the platform refused the document of submission " + submission);
  return m_version;
}

void Scenario::PublishAndAwait(const std::string& submission) {
  m_deployment.AwaitInForce(Publish(submission));
}

void PrintFigures(const std::string& title,
                  std::uint64_t seed,
                  const JsonLine& report) {
  std::cout << title << ": seed " << seed << ", flows "
            << report.get("flows", 0) << ", whole " << report.get("whole", 0)
            << ", broken " << report.get("broken", 0) << ", refused "
            << report.get("refused", 0) << ", unanswered openings "
            << report.get("unanswered_openings", 0) << ", wrong bytes "
            << report.get("wrong_bytes", 0) << ", crossed answers "
            << report.get("crossed_answers", 0) << ", wait p99 "
            << report.get("wait_p99_ms", 0.0) << " ms, resets "
            << report.get("reset", 0) << ", silent " << report.get("silent", 0)
            << "\n";
}

}  // namespace integration
