// Polls the health and load endpoints of the backend servers and passes their
// reports to a handler.

#ifndef SERVICES_COLTSFOOTDALE_LOAD_POLLER_H_
#define SERVICES_COLTSFOOTDALE_LOAD_POLLER_H_

#include <functional>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "LibHttp/client.h"
#include "LibPlacement/load_event.h"

namespace service {

// A backend server that is polled for one of its services.
struct PolledServer {
  base::ServiceId m_service;
  base::BackendServerId m_server;
  // The HTTP endpoint that serves /health and /load.
  base::Endpoint m_health;
};

class LoadPoller {
 public:
  using ReportHandler = std::function<void(base::ServiceId service,
                                           const placement::LoadEvent& event)>;

  LoadPoller(asio::io_context& context, ReportHandler on_report);

  // Sets the servers to poll.
  void SetServers(std::vector<PolledServer> servers);
  // Sends requests to the next of kPollGroups groups of servers. To be called
  // kPollGroups times in each polling interval, so that the requests are spread
  // over the interval.
  void Poll();

  static constexpr std::size_t kPollGroups = 5;

 private:
  void RequestHealth(const PolledServer& server);
  void RequestLoad(const PolledServer& server);
  void ReportHealth(const PolledServer& server,
                    const base::Outcome<http::Response>& outcome);
  void ReportLoad(const PolledServer& server,
                  base::TimePoint requested_at,
                  const base::Outcome<http::Response>& outcome);

  http::Client m_client;
  ReportHandler m_on_report;
  std::vector<PolledServer> m_servers;
  std::size_t m_next_group = 0;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_LOAD_POLLER_H_
