// All data centres of one user with their own platform, and the load on them.

#ifndef UTILITIES_LOCALDEPLOYMENT_USER_DEPLOYMENT_H_
#define UTILITIES_LOCALDEPLOYMENT_USER_DEPLOYMENT_H_

#include <memory>
#include <string>
#include <vector>

#include "LibBase/ipv4.h"
#include "document_model.h"
#include "load_result.h"
#include "platform_control.h"
#include "user_profile.h"

namespace integration {
class ChildProcess;
class Deployment;
struct CallerOptions;
}  // namespace integration

namespace local_deployment {

class UserDeployment {
 public:
  // Starts all processes and waits until the configuration is in force on all
  // balancers. Throws an integration::HarnessError if that fails.
  explicit UserDeployment(const UserProfile& profile);
  ~UserDeployment();
  UserDeployment(const UserDeployment&) = delete;
  UserDeployment& operator=(const UserDeployment&) = delete;

  // Queries.
  const UserProfile& profile() const { return m_profile; }
  // Admin address of the first balancer of a data centre, IP:PORT.
  std::string ConsoleEndpoint(std::size_t data_centre);
  // Address of the platform's object API, IP:PORT.
  std::string PlatformEndpoint() const {
    return base::ToString(m_platform.endpoint());
  }

  // Commands.
  // Starts the callers of all data centres.
  void StartLoad();
  // Returns the sum of the callers' last reported counts, which are at most a
  // second old.
  FlowCounts PollLoad();
  // Stops the openings, waits until every flow has ended, and requests the
  // reports of all servers.
  LoadResult StopLoad();

 private:
  // A caller process and its last reported counts.
  struct LoadCaller {
    std::unique_ptr<integration::ChildProcess> m_process;
    FlowCounts m_counts;
  };

  void AddDataCentre(std::size_t index);
  void AddServers(integration::Deployment& deployment,
                  const std::string& data_centre,
                  const std::string& service,
                  int count);
  void StartBalancers(integration::Deployment& deployment,
                      const std::string& data_centre);
  void StartCallers(integration::Deployment& deployment);
  // Raises m_imbalance of `result` to the imbalance of the data centre.
  void UpdateImbalance(integration::Deployment& deployment,
                       const std::string& data_centre,
                       LoadResult& result);

  UserProfile m_profile;
  integration::PlatformControl m_platform;
  integration::DocumentModel m_document;
  std::vector<std::unique_ptr<integration::Deployment>> m_deployments;
  std::vector<LoadCaller> m_callers;
};

}  // namespace local_deployment

#endif  // UTILITIES_LOCALDEPLOYMENT_USER_DEPLOYMENT_H_
