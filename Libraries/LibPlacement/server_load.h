// Estimates the current load of one backend server. A load report states the
// server's load at some time in the past. The estimate adds the openings and
// subtracts the ends of flows since that time that this balancer and its peers
// have counted.

#ifndef LIBPLACEMENT_SERVER_LOAD_H_
#define LIBPLACEMENT_SERVER_LOAD_H_

#include <cstdint>
#include <optional>

#include "LibBase/time.h"
#include "LibPlacement/load_event.h"
#include "LibPlacement/load_settings.h"
#include "LibPlacement/open_flow_history.h"
#include "LibPlacement/report_lag_estimator.h"
#include "LibPlacement/server_health_statistics.h"
#include "LibPlacement/server_status.h"

namespace placement {

// Statistics over the servers of a service, against which the report of one
// server is checked.
struct ServiceStatistics {
  // Median over the servers of the reported requests per open flow.
  double m_requests_per_open_flow = 1.0;
  // Whether the other balancers' counts are recent enough to use.
  bool m_are_peer_counts_known = false;
  // Number of other balancers whose counts are summed.
  std::uint32_t m_peers = 0;
  // Time by which reports are older than their measured age.
  base::Duration m_report_lag{};
};

class ServerLoad {
 public:
  ServerLoad(const ServerAdded& added, base::TimePoint now);

  // Queries.
  const ServerHealthStatistics& HealthStatistics() const {
    return m_health_statistics;
  }
  // Whether the configuration drains the server or its health probe reports
  // that it is draining.
  bool IsDraining() const {
    return m_is_draining || m_health == Health::kDraining;
  }
  Health LastHealth() const { return m_health; }
  std::uint32_t Slots() const { return m_slots; }
  // Openings minus ends of flows that this balancer counted; may be negative.
  std::int64_t OwnOpenFlows() const { return m_own_open_flows; }
  // Openings minus ends of flows, summed over the counts of this balancer and
  // the last counts of the other balancers; may be negative.
  std::int64_t OpenFlows() const {
    return m_own_open_flows + m_peer_open_flows;
  }
  // Connections in the last report, corrected by the openings and ends of flows
  // since the report was measured. Without a report, the open flows.
  double EstimatedConnections() const;
  // Whether the last report claims far fewer requests than the open flows
  // suggest.
  bool IsReportImplausible(const ServiceStatistics& service) const;
  // Requests in the last report per flow open when it was measured; negative if
  // unknown.
  double RequestsPerOpenFlow() const;
  bool IsInSlowStart(const LoadSettings& settings, base::TimePoint now) const;
  // Returns the status of the server with every field set except
  // m_is_ejected_or_unhealthy, which LoadView sets.
  ServerStatus MakeStatus(base::BackendServerId server,
                          const LoadSettings& settings,
                          const ServiceStatistics& service,
                          base::TimePoint now) const;

  // Commands.
  ServerHealthStatistics& MutableHealthStatistics() {
    return m_health_statistics;
  }
  void SetDraining(bool is_draining) { m_is_draining = is_draining; }
  void SetHealth(Health health) { m_health = health; }
  // Sets the slots and the connection limit; ignores the other fields.
  void SetCapacity(const ServerAdded& added);
  void RecordReport(const LoadReported& report,
                    const ServiceStatistics& service,
                    base::TimePoint now);
  // Compares the last report with the previous one for ReportLagEstimator.
  // Returns nothing unless counts of peers were known at both comparisons and
  // came from the same number of peers.
  std::optional<ReportLagEstimator::PerCandidate> CompareWithPreviousReport(
      const ServiceStatistics& service);
  void RecordOpeningSent(base::TimePoint now);
  void RecordFlowEnded(base::TimePoint now);
  // Records a refusal. The server counts as full until `hold_until` or until a
  // report that was measured after `now`.
  void RecordOpeningRefused(base::TimePoint hold_until, base::TimePoint now);
  void SetPeerOpenFlows(std::int32_t open_flows, base::TimePoint now);
  // Restarts the slow start of the server's bound at the time `at`.
  void RestartSlowStart(base::TimePoint at) { m_slow_start_from = at; }

 private:
  // Number of requests that the open flows suggest, and the smallest number of
  // requests in a report that is plausible for them.
  double ExpectedRequests(const ServiceStatistics& service) const;
  double MinimumPlausibleRequests(const ServiceStatistics& service) const;
  double EstimatedRequests(const ServiceStatistics& service) const;
  double Bound(const LoadSettings& settings, base::TimePoint now) const;

  std::uint32_t m_slots = 1;
  // Whether m_slots is from the configuration, not from load reports.
  bool m_are_slots_configured = true;
  std::uint32_t m_connection_limit = 0;
  bool m_is_draining = false;
  Health m_health = Health::kHealthy;

  bool m_has_report = false;
  double m_reported_requests = 0.0;
  std::uint32_t m_reported_connections = 0;
  // Time of the last report according to its measured age.
  base::TimePoint m_reported_at{};
  // Open flows counted at the time when the last report was measured.
  std::int64_t m_open_flows_at_report = 0;
  // Requests in the last report minus the flows open at its time, for each
  // candidate lag, and the number of peers whose counts are included.
  ReportLagEstimator::PerCandidate m_excess_by_candidate{};
  std::uint32_t m_peers_at_last_report = 0;

  std::int64_t m_own_open_flows = 0;
  std::int64_t m_peer_open_flows = 0;
  OpenFlowHistory m_open_flow_history;

  base::TimePoint m_slow_start_from;
  base::TimePoint m_refused_at = base::TimePoint::min();
  base::TimePoint m_refusing_until = base::TimePoint::min();
  ServerHealthStatistics m_health_statistics;
};

}  // namespace placement

#endif  // LIBPLACEMENT_SERVER_LOAD_H_
