// The estimate of how busy one backend server is. A report says how busy the
// server was some time ago; the openings and ends of flows since then, as far
// as this balancer and its peers know them, carry it forward to now.

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

// What is known about the service as a whole, for judging one server's report.
struct ServiceStatistics {
  // Median over the servers of reported requests per open flow.
  double m_requests_per_open_flow = 1.0;
  // The other balancers' counts are recent.
  bool m_are_peer_counts_known = false;
  // How many other balancers they come from.
  std::uint32_t m_peers = 0;
  // By how much reports are older than their measured age.
  base::Duration m_report_lag{};
};

class ServerLoad {
 public:
  ServerLoad(const ServerAdded& added, base::TimePoint now);

  // Queries.
  const ServerHealthStatistics& HealthStatistics() const {
    return m_health_statistics;
  }
  // By the configuration, or as the server itself says.
  bool IsDraining() const {
    return m_is_draining || m_health == Health::kDraining;
  }
  Health LastHealth() const { return m_health; }
  std::uint32_t Slots() const { return m_slots; }
  // This balancer's openings less the ends that it saw; may be negative.
  std::int64_t OwnOpenFlows() const { return m_own_open_flows; }
  // All balancers' openings less ends, as far as known here.
  std::int64_t OpenFlows() const {
    return m_own_open_flows + m_peer_open_flows;
  }
  // Connections held, by the last report carried forward.
  double EstimatedConnections() const;
  // The report claims far fewer requests than the open flows suggest.
  bool IsReportImplausible(const ServiceStatistics& service) const;
  // Reported requests per open flow known at that time; negative if unknown.
  double RequestsPerOpenFlow() const;
  bool IsInSlowStart(const LoadSettings& settings, base::TimePoint now) const;
  // Everything but m_is_suspect.
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
  void SetCapacity(const ServerAdded& added);
  void RecordReport(const LoadReported& report,
                    const ServiceStatistics& service,
                    base::TimePoint now);
  // Compares the last report with the one before, for estimating their lag.
  // Nothing unless both were measured with the same peers' counts known.
  std::optional<ReportLagEstimator::PerCandidate> CompareWithPreviousReport(
      const ServiceStatistics& service);
  void RecordOpeningSent(base::TimePoint now);
  void RecordFlowEnded(base::TimePoint now);
  void RecordOpeningRefused(base::TimePoint hold_until, base::TimePoint now);
  void SetPeerOpenFlows(std::int32_t open_flows, base::TimePoint now);
  void RestartSlowStart(base::TimePoint at) { m_slow_start_from = at; }

 private:
  // Requests that the open flows suggest, and the fewest that a report may
  // claim in view of that.
  double ExpectedRequests(const ServiceStatistics& service) const;
  double MinimumPlausibleRequests(const ServiceStatistics& service) const;
  double EstimatedRequests(const ServiceStatistics& service) const;
  double Bound(const LoadSettings& settings, base::TimePoint now) const;

  std::uint32_t m_slots = 1;
  bool m_are_slots_configured = true;
  std::uint32_t m_connection_limit = 0;
  bool m_is_draining = false;
  Health m_health = Health::kHealthy;

  bool m_has_report = false;
  double m_reported_requests = 0.0;
  std::uint32_t m_reported_connections = 0;
  // The time of the report by its measured age.
  base::TimePoint m_reported_at{};
  // Open flows known here at the time the report was measured.
  std::int64_t m_open_flows_at_report = 0;
  // Requests in the report less the flows open at its time, for each lag that
  // reports may have, and the number of peers whose counts that includes.
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
