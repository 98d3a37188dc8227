// The pages and metrics of a balancer's admin server.

#include "balancer_process.h"
#include "traffic_metrics.h"

namespace service {

AdminConsole::Sources BalancerProcess::MakeAdminSources() {
  AdminConsole::Sources sources;
  sources.m_status = [this] { return MakeStatus(); };
  sources.m_metrics = [this] { return RenderMetrics(); };
  sources.m_report =
      [this](const console::ConsoleCallbacks::ReportCallback& callback) {
        m_burn_collector.CollectTotal(
            [this, callback](const observability::CombinedBurnReport& burn) {
              callback(RenderBurnReport(burn));
            });
      };
  sources.m_document_in_force = [this] {
    return console::DocumentInForce{m_configuration->version(),
                                    m_configuration->document()};
  };
  return sources;
}

StatusView BalancerProcess::MakeStatus() const {
  StatusView status;
  status.m_name = m_settings.m_name;
  status.m_data_centre = m_settings.m_data_centre;
  status.m_id = m_id;
  status.m_phase = base::NameOf(kProcessPhaseNames, m_phase);
  status.m_is_ready = IsReady();
  status.m_version = m_configuration->version();
  status.m_submission = m_configuration->document().m_submission.m_id;
  status.m_traffic = m_traffic->LocalEndpoint();
  status.m_peer = m_peer_link->LocalEndpoint();
  for (const auto& [id, entry] : m_membership->Peers().Entries())
    status.m_peers.push_back(
        {entry.m_record.m_name,
         std::string(
             base::NameOf(peer::kMemberStateNames, entry.m_record.m_state))});
  return status;
}

std::string BalancerProcess::RenderMetrics() {
  UpdateTrafficMetrics(m_traffic->counters(), m_metrics);
  const PeerLinkCounters& peers = m_peer_link->counters();
  m_metrics
      .CounterOf("coltsfootdale_peer_bytes_total",
                 "Bytes of peer datagrams with their IP and UDP headers.",
                 {{"direction", "sent"}})
      .RaiseTo(peers.m_bytes_sent);
  m_metrics
      .CounterOf("coltsfootdale_peer_bytes_total",
                 "Bytes of peer datagrams with their IP and UDP headers.",
                 {{"direction", "received"}})
      .RaiseTo(peers.m_bytes_received);
  m_metrics
      .CounterOf("coltsfootdale_configuration_refused_total",
                 "Documents that could not be put in force.", {})
      .RaiseTo(m_configuration->refused());
  return m_metrics.RenderPrometheus();
}

}  // namespace service
