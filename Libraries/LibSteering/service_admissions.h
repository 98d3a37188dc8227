// The admission by priority of each service to which it applies.

#ifndef LIBSTEERING_SERVICE_ADMISSIONS_H_
#define LIBSTEERING_SERVICE_ADMISSIONS_H_

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "LibAdmission/admission_verdict.h"
#include "LibAdmission/priority_admission.h"
#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibFlow/flow_key.h"
#include "LibSteering/flow_tracker.h"
#include "LibSteering/manifest.h"
#include "LibSteering/remote_share.h"
#include "LibSteering/server_directory.h"

namespace steering {

class ServiceAdmissions {
 public:
  struct Service {
    admission::PriorityAdmission m_admission;
    RemoteShare m_remote_share;
  };
  using Services = std::map<std::string, Service, std::less<>>;

  ServiceAdmissions(const ServerDirectory& directory, base::DataCentreId own)
      : m_directory(directory), m_own_data_centre(std::move(own)) {}

  // The time in which most openings go to other data centres if that helps,
  // see RemoteShare, and in which they answer.
  static constexpr base::Duration kOverflowTime =
      std::chrono::milliseconds(600);

  // Queries.
  const Services& services() const { return m_services; }
  // The share of the openings to `service` that are to be placed without regard
  // to the data centre of the servers.
  double RemoteShareOf(std::string_view service) const;

  // Commands.
  // Applies the routes of a manifest. A service whose routes have the same
  // addresses, targets and priorities as before keeps its state.
  void SetRoutes(const Manifest& manifest);
  // Decides about an opening to `service`; nothing if the service has no
  // admission by priority. `random` is used only during an overload.
  std::optional<admission::AdmissionVerdict> Decide(std::string_view service,
                                                    const flow::FlowKey& flow,
                                                    base::Random& random,
                                                    base::TimePoint now);
  // Records what a packet of a flow to `server` showed. Returns whether it
  // showed that the server refused a request.
  bool Record(const flow::FlowKey& flow,
              const KnownServer& server,
              const Observation& observation,
              base::TimePoint now);

 private:
  // This balancer's requests in progress at the service. Requests at
  // unreachable servers do not count: they end only with their time limits,
  // and their number says nothing about the other servers.
  std::uint32_t InProgressOf(std::string_view service) const;
  // Whether an opening may go to a server of `service` in another data centre.
  bool HasRemoteServer(std::string_view service) const;

  const ServerDirectory& m_directory;
  base::DataCentreId m_own_data_centre;
  Services m_services;
};

}  // namespace steering

#endif  // LIBSTEERING_SERVICE_ADMISSIONS_H_
