// One balancer's view of the load on the backend servers of one service in its
// data centre. Events update the view; placement policies query it. The view
// reads no clock: its owner passes the time to each call and calls Advance at
// least every 250 ms.

#ifndef LIBPLACEMENT_LOAD_VIEW_H_
#define LIBPLACEMENT_LOAD_VIEW_H_

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibPlacement/load_event.h"
#include "LibPlacement/load_settings.h"
#include "LibPlacement/outlier_detector.h"
#include "LibPlacement/report_lag_estimator.h"
#include "LibPlacement/server_index.h"
#include "LibPlacement/server_load.h"
#include "LibPlacement/server_status.h"

namespace placement {

// The load on a service: sums over the servers that are not draining.
struct ServiceLoad {
  double m_estimated_requests = 0.0;
  double m_connections = 0.0;
  std::uint32_t m_slots = 0;
};

class LoadView {
 public:
  explicit LoadView(LoadSettings settings) : m_settings(settings) {}

  // Queries.
  // All servers in the order in which they were added.
  std::span<const ServerStatus> Servers() const { return m_statuses; }
  // Returns null for an unknown server. Allocates no memory.
  const ServerStatus* Find(base::BackendServerId server) const {
    const std::uint32_t position = m_index.Find(server);
    return position == ServerIndex::kAbsent ? nullptr : &m_statuses[position];
  }
  // Estimated time by which load reports are older than their measured age.
  base::Duration EstimatedReportLag() const {
    return m_report_lag_estimator.Estimate();
  }
  // Estimated number of requests running and queued at the server now; empty
  // for an unknown server.
  std::optional<double> EstimatedRequests(base::BackendServerId server) const;
  // Number of requests at which the server is full; empty for an unknown
  // server.
  std::optional<double> Bound(base::BackendServerId server) const;
  // Openings minus ends of flows that this balancer counted. The balancer sends
  // this count to its peers. Zero for an unknown server.
  std::int64_t OwnOpenFlows(base::BackendServerId server) const;
  // Estimated number of connections that the server holds; zero for an unknown
  // server.
  double EstimatedConnections(base::BackendServerId server) const;
  ServiceLoad TotalLoad() const;

  // Commands.
  // Ignores events about unknown servers, except ServerAdded.
  void Apply(const LoadEvent& event, base::TimePoint now);
  // Applies the settings to every server immediately and keeps the recorded
  // state of the servers.
  void SetSettings(const LoadSettings& settings, base::TimePoint now);
  // Advances slow starts, ends ejections whose time has passed and ejects
  // outliers.
  void Advance(base::TimePoint now, base::Random& random);

 private:
  void On(const ServerAdded& event, base::TimePoint now);
  void On(const ServerDraining& event, base::TimePoint now);
  void On(const ServerDrainCancelled& event, base::TimePoint now);
  void On(const ServerRemoved& event, base::TimePoint now);
  void On(const LoadReported& event, base::TimePoint now);
  void On(const HealthReported& event, base::TimePoint now);
  void On(const OpeningSent& event, base::TimePoint now);
  void On(const OpeningAccepted& event, base::TimePoint now);
  void On(const AnswerStarted& event, base::TimePoint now);
  void On(const OpeningRefused& event, base::TimePoint now);
  void On(const FlowEnded& event, base::TimePoint now);
  void On(const PeerOpenFlowCounts& event, base::TimePoint now);

  ServerLoad* FindLoad(base::BackendServerId server);
  void RebuildIndex();
  // Recompute the status of one server or of all servers.
  void Refresh(base::BackendServerId server, base::TimePoint now);
  void RefreshAll(base::TimePoint now);
  void RefreshPosition(std::size_t position, base::TimePoint now);
  void RefreshServiceStatistics(base::TimePoint now);
  // Whether health probes report no more than the maximum share of the servers
  // as unhealthy.
  bool AreHealthProbesCredible() const;

  LoadSettings m_settings;
  // Parallel vectors: position n in each belongs to the same server.
  std::vector<base::BackendServerId> m_ids;
  std::vector<ServerLoad> m_loads;
  std::vector<ServerStatus> m_statuses;
  ServerIndex m_index;
  ServiceStatistics m_service_statistics;
  std::optional<base::TimePoint> m_peer_counts_at;
  bool m_are_health_probes_credible = true;
  // Median of the servers' mean answer delays in seconds.
  double m_median_delay = 0.0;
  OutlierDetector m_outlier_detector;
  ReportLagEstimator m_report_lag_estimator;
  std::vector<double> m_scratch;
};

}  // namespace placement

#endif  // LIBPLACEMENT_LOAD_VIEW_H_
