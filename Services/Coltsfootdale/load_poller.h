// Asks the backend servers' health and load endpoints and passes on what they
// report.

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

struct PolledServer {
  base::ServiceId m_service;
  base::BackendServerId m_server;
  base::Endpoint m_health;
};

class LoadPoller {
 public:
  using ReportHandler = std::function<void(base::ServiceId service,
                                           const placement::LoadEvent& event)>;

  LoadPoller(asio::io_context& context, ReportHandler on_report);

  void SetServers(std::vector<PolledServer> servers);
  // Asks the servers that are due; to be called every `period` / kPollGroups,
  // so that the questions are spread over the period.
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
