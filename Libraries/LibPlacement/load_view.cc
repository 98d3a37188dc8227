#include "LibPlacement/load_view.h"

#include <algorithm>
#include <chrono>
#include <variant>

#include "LibPlacement/median.h"

namespace placement {

std::optional<double> LoadView::EstimatedRequests(
    base::BackendServerId server) const {
  const ServerStatus* status = Find(server);
  if (status == nullptr)
    return std::nullopt;
  return status->m_estimated_requests;
}

std::optional<double> LoadView::Bound(base::BackendServerId server) const {
  const ServerStatus* status = Find(server);
  if (status == nullptr)
    return std::nullopt;
  return status->m_bound;
}

std::int64_t LoadView::OwnOpenFlows(base::BackendServerId server) const {
  const std::uint32_t position = m_index.Find(server);
  if (position == ServerIndex::kAbsent)
    return 0;
  return m_loads[position].OwnOpenFlows();
}

double LoadView::EstimatedConnections(base::BackendServerId server) const {
  const std::uint32_t position = m_index.Find(server);
  if (position == ServerIndex::kAbsent)
    return 0.0;
  return m_loads[position].EstimatedConnections();
}

ServiceLoad LoadView::TotalLoad() const {
  ServiceLoad total;
  for (std::size_t position = 0; position < m_loads.size(); ++position) {
    const ServerLoad& load = m_loads[position];
    if (load.IsDraining())
      continue;
    total.m_estimated_requests += m_statuses[position].m_estimated_requests;
    total.m_connections += load.EstimatedConnections();
    total.m_slots += load.Slots();
  }
  return total;
}

void LoadView::Apply(const LoadEvent& event, base::TimePoint now) {
  std::visit([this, now](const auto& typed) { On(typed, now); }, event);
}

void LoadView::SetSettings(const LoadSettings& settings, base::TimePoint now) {
  m_settings = settings;
  RefreshAll(now);
}

void LoadView::Advance(base::TimePoint now, base::Random& random) {
  RefreshServiceStatistics(now);
  m_outlier_detector.EjectOutliers(m_settings, m_loads, now, random);
  RefreshAll(now);
}

void LoadView::On(const ServerAdded& event, base::TimePoint now) {
  if (ServerLoad* existing = FindLoad(event.m_server)) {
    existing->SetCapacity(event);
    Refresh(event.m_server, now);
    return;
  }
  m_ids.push_back(event.m_server);
  m_loads.emplace_back(event, now);
  m_statuses.emplace_back();
  RebuildIndex();
  RefreshAll(now);
}

void LoadView::On(const ServerDraining& event, base::TimePoint now) {
  if (ServerLoad* load = FindLoad(event.m_server))
    load->SetDraining(true);
  Refresh(event.m_server, now);
}

void LoadView::On(const ServerDrainCancelled& event, base::TimePoint now) {
  if (ServerLoad* load = FindLoad(event.m_server))
    load->SetDraining(false);
  Refresh(event.m_server, now);
}

void LoadView::On(const ServerRemoved& event, base::TimePoint now) {
  const std::uint32_t position = m_index.Find(event.m_server);
  if (position == ServerIndex::kAbsent)
    return;
  m_ids.erase(m_ids.begin() + position);
  m_loads.erase(m_loads.begin() + position);
  m_statuses.erase(m_statuses.begin() + position);
  RebuildIndex();
  RefreshAll(now);
}

void LoadView::On(const LoadReported& event, base::TimePoint now) {
  ServerLoad* load = FindLoad(event.m_server);
  if (load == nullptr)
    return;
  load->RecordReport(event, m_service_statistics, now);
  if (load->IsReportImplausible(m_service_statistics))
    load->MutableHealthStatistics().RecordEvidenceOfLoad();
  if (const auto changes =
          load->CompareWithPreviousReport(m_service_statistics))
    m_report_lag_estimator.Record(*changes);
  Refresh(event.m_server, now);
}

void LoadView::On(const HealthReported& event, base::TimePoint now) {
  if (ServerLoad* load = FindLoad(event.m_server))
    load->SetHealth(event.m_health);
  RefreshAll(now);
}

void LoadView::On(const OpeningSent& event, base::TimePoint now) {
  if (ServerLoad* load = FindLoad(event.m_server))
    load->RecordOpeningSent(now);
  Refresh(event.m_server, now);
}

void LoadView::On(const OpeningAccepted& event, base::TimePoint) {
  if (ServerLoad* load = FindLoad(event.m_server))
    load->MutableHealthStatistics().RecordOpeningAccepted();
}

void LoadView::On(const AnswerStarted& event, base::TimePoint now) {
  ServerLoad* load = FindLoad(event.m_server);
  if (load == nullptr)
    return;
  load->MutableHealthStatistics().RecordDelay(event.m_delay);
  const double slow_threshold = std::max(
      std::chrono::duration<double>(m_settings.m_outlier.m_slow_delay_minimum)
          .count(),
      m_median_delay * m_settings.m_outlier.m_slow_delay_factor);
  const double delay = std::chrono::duration<double>(event.m_delay).count();
  if (delay > slow_threshold && !load->IsInSlowStart(m_settings, now))
    load->MutableHealthStatistics().RecordEvidenceOfLoad();
}

void LoadView::On(const OpeningRefused& event, base::TimePoint now) {
  if (ServerLoad* load = FindLoad(event.m_server))
    load->RecordOpeningRefused(now + m_settings.m_refusal_hold, now);
  Refresh(event.m_server, now);
}

void LoadView::On(const FlowEnded& event, base::TimePoint now) {
  if (ServerLoad* load = FindLoad(event.m_server))
    load->RecordFlowEnded(now);
  Refresh(event.m_server, now);
}

void LoadView::On(const PeerOpenFlowCounts& event, base::TimePoint now) {
  m_peer_counts_at = now;
  m_service_statistics.m_peers = event.m_peers;
  for (std::size_t position = 0; position < m_loads.size(); ++position) {
    const auto found = std::ranges::find(event.m_counts, m_ids[position],
                                         &OpenFlowCount::m_server);
    const bool is_listed = found != event.m_counts.end();
    m_loads[position].SetPeerOpenFlows(is_listed ? found->m_open_flows : 0,
                                       now);
  }
  RefreshServiceStatistics(now);
  RefreshAll(now);
}

ServerLoad* LoadView::FindLoad(base::BackendServerId server) {
  const std::uint32_t position = m_index.Find(server);
  return position == ServerIndex::kAbsent ? nullptr : &m_loads[position];
}

void LoadView::RebuildIndex() {
  m_index.Rebuild(m_ids);
}

void LoadView::Refresh(base::BackendServerId server, base::TimePoint now) {
  const std::uint32_t position = m_index.Find(server);
  if (position != ServerIndex::kAbsent)
    RefreshPosition(position, now);
}

void LoadView::RefreshAll(base::TimePoint now) {
  m_are_health_probes_credible = AreHealthProbesCredible();
  for (std::size_t position = 0; position < m_loads.size(); ++position)
    RefreshPosition(position, now);
}

void LoadView::RefreshPosition(std::size_t position, base::TimePoint now) {
  const ServerLoad& load = m_loads[position];
  ServerStatus status =
      load.MakeStatus(m_ids[position], m_settings, m_service_statistics, now);
  const bool is_unhealthy =
      m_are_health_probes_credible && load.LastHealth() == Health::kUnhealthy;
  status.m_is_ejected_or_unhealthy =
      is_unhealthy || load.HealthStatistics().IsEjected(now);
  m_statuses[position] = status;
}

void LoadView::RefreshServiceStatistics(base::TimePoint now) {
  m_scratch.clear();
  for (const ServerLoad& load : m_loads) {
    const double ratio = load.RequestsPerOpenFlow();
    if (ratio >= 0.0 && !load.IsDraining())
      m_scratch.push_back(ratio);
  }
  m_service_statistics.m_requests_per_open_flow =
      Median(m_scratch).value_or(1.0);
  m_service_statistics.m_report_lag = m_report_lag_estimator.Estimate();
  m_service_statistics.m_are_peer_counts_known =
      m_peer_counts_at &&
      now - *m_peer_counts_at <= m_settings.m_peer_counts_lifetime;

  m_scratch.clear();
  for (const ServerLoad& load : m_loads) {
    if (load.HealthStatistics().DelaySamples() > 0 && !load.IsDraining())
      m_scratch.push_back(load.HealthStatistics().MeanDelay());
  }
  m_median_delay = Median(m_scratch).value_or(0.0);
}

bool LoadView::AreHealthProbesCredible() const {
  const auto unhealthy =
      std::ranges::count(m_loads, Health::kUnhealthy, &ServerLoad::LastHealth);
  const double permitted = m_settings.m_maximum_unhealthy_share *
                           static_cast<double>(m_loads.size());
  return static_cast<double>(unhealthy) <= permitted;
}

}  // namespace placement
