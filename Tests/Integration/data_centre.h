// One data centre with the portal's backend servers and balancers, for tests
// with several data centres on one platform.

#ifndef TESTS_INTEGRATION_DATA_CENTRE_H_
#define TESTS_INTEGRATION_DATA_CENTRE_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "deployment.h"

namespace integration {

class DataCentre {
 public:
  struct Options {
    std::string m_name = "a";
    // Differs between data centres.
    int m_number = 1;
    std::uint64_t m_seed = 1;
    int m_servers = 3;
    int m_balancers = 3;
    std::string m_settings;
    // See Deployment::Options.
    bool m_has_peer_proxies = false;
  };

  // Starts the servers and adds them to the portal in `document`, which must
  // have the portal.
  DataCentre(PlatformControl& platform,
             DocumentModel& document,
             Options options);

  const std::string& name() const { return m_options.m_name; }
  Deployment& deployment() { return m_deployment; }

  // Starts all balancers and waits until they serve.
  void StartBalancers();
  // Sends SIGTERM to all running balancers. Returns whether all ended with exit
  // code 0.
  bool StopBalancers();
  // Sets the state of all servers of this data centre in the document model,
  // without publishing the document.
  void SetDraining(bool is_draining);

 private:
  Options m_options;
  DocumentModel& m_document;
  Deployment m_deployment;
};

// Returns a document model with the portal and no servers.
DocumentModel MakePortalDocument();

}  // namespace integration

#endif  // TESTS_INTEGRATION_DATA_CENTRE_H_
