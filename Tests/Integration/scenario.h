// The deployment that most integration tests use: a portal with several servers
// behind six balancers, as the users run it in one data centre.

#ifndef TESTS_INTEGRATION_SCENARIO_H_
#define TESTS_INTEGRATION_SCENARIO_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "deployment.h"
#include "document_model.h"
#include "platform_control.h"

namespace integration {

inline constexpr const char* kPortal = "portal";
inline constexpr const char* kArchive = "archive";

class Scenario {
 public:
  struct Options {
    int m_portal_servers = 6;
    int m_archive_servers = 0;
    int m_balancers = 6;
    std::uint64_t m_seed = 1;
    std::string m_settings;
    std::vector<std::string> m_server_options;
    int m_server_connections = ServerModel().m_connections;
    bool m_has_fault_proxies = false;
    bool m_fabric_polls_readiness = false;
    bool m_has_peer_proxies = false;
  };

  // Starts all processes and waits until the first document is in force on all
  // balancers.
  explicit Scenario(const Options& options);

  // Publishes the document model and waits until it is in force on all
  // balancers.
  void PublishAndAwait(const std::string& submission);
  // Publishes the document model and returns its version, without waiting.
  std::uint64_t Publish(const std::string& submission);

  PlatformControl& platform() { return m_platform; }
  DocumentModel& document() { return m_document; }
  Deployment& deployment() { return m_deployment; }
  ServerModel& server(const std::string& service, const std::string& name) {
    return m_document.m_services.at(service).m_servers.at(name);
  }

 private:
  PlatformControl m_platform;
  DocumentModel m_document;
  Deployment m_deployment;
  std::uint64_t m_version = 0;
};

// Prints a caller's report as one line of figures.
void PrintFigures(const std::string& title,
                  std::uint64_t seed,
                  const JsonLine& report);

}  // namespace integration

#endif  // TESTS_INTEGRATION_SCENARIO_H_
