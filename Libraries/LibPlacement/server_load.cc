#include "LibPlacement/server_load.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace placement {

namespace {

// A reported number of slots above this is reduced to it.
constexpr std::uint32_t kMaximumReportedSlots = 1024;
// Limits how far the estimate follows a report away from the number of requests
// that the open flows suggest. The upper limit is this number times the factor
// plus the server's slots. The lower limit is this number divided by the
// factor, minus one. Both limits apply only while the peers' counts are known.
constexpr double kMaximumReportFactor = 2.0;
// A bound is at least one request.
constexpr double kMinimumBound = 1.0;

}  // namespace

ServerLoad::ServerLoad(const ServerAdded& added, base::TimePoint now)
    : m_slow_start_from(
          added.m_start == ServerStart::kCold ? now : base::TimePoint::min()) {
  SetCapacity(added);
  m_open_flow_history.Record(now, 0);
}

void ServerLoad::SetCapacity(const ServerAdded& added) {
  m_are_slots_configured = added.m_slots > 0;
  m_slots = std::max(1U, added.m_slots);
  m_connection_limit = added.m_connection_limit;
}

void ServerLoad::RecordReport(const LoadReported& report,
                              const ServiceStatistics& service,
                              base::TimePoint now) {
  const base::Duration age = std::max(report.m_age, base::Duration::zero());
  if (m_has_report && now - age < m_reported_at)
    return;
  m_reported_at = now - age;
  const base::TimePoint measured_at = m_reported_at - service.m_report_lag;
  m_has_report = true;
  m_reported_requests = static_cast<double>(report.m_busy) + report.m_queued;
  m_reported_connections = report.m_connections;
  m_open_flows_at_report = m_open_flow_history.CountAt(measured_at);
  if (!m_are_slots_configured)
    m_slots = std::clamp(report.m_slots, 1U, kMaximumReportedSlots);
  if (m_connection_limit == 0)
    m_connection_limit = report.m_connection_limit;
  const bool is_at_connection_limit =
      m_connection_limit > 0 && report.m_connections >= m_connection_limit;
  m_health_statistics.RecordReport(m_reported_requests < m_slots &&
                                   !is_at_connection_limit);
  if (measured_at > m_refused_at)
    m_refusing_until = base::TimePoint::min();
}

void ServerLoad::RecordOpeningSent(base::TimePoint now) {
  ++m_own_open_flows;
  m_open_flow_history.Record(now, OpenFlows());
}

void ServerLoad::RecordFlowEnded(base::TimePoint now) {
  --m_own_open_flows;
  m_open_flow_history.Record(now, OpenFlows());
}

void ServerLoad::RecordOpeningRefused(base::TimePoint hold_until,
                                      base::TimePoint now) {
  RecordFlowEnded(now);
  m_health_statistics.RecordOpeningRefused();
  m_refused_at = now;
  m_refusing_until = hold_until;
}

void ServerLoad::SetPeerOpenFlows(std::int32_t open_flows,
                                  base::TimePoint now) {
  m_peer_open_flows = open_flows;
  m_open_flow_history.Record(now, OpenFlows());
}

std::optional<ReportLagEstimator::PerCandidate>
ServerLoad::CompareWithPreviousReport(const ServiceStatistics& service) {
  ReportLagEstimator::PerCandidate changes{};
  for (std::size_t candidate = 0; candidate < changes.size(); ++candidate) {
    const std::int64_t open_flows = m_open_flow_history.CountAt(
        m_reported_at - ReportLagEstimator::kCandidates[candidate]);
    const double excess = m_reported_requests - static_cast<double>(open_flows);
    changes[candidate] = excess - m_excess_by_candidate[candidate];
    m_excess_by_candidate[candidate] = excess;
  }
  const std::uint32_t peers =
      service.m_are_peer_counts_known ? service.m_peers : 0;
  const bool is_comparable = peers > 0 && peers == m_peers_at_last_report;
  m_peers_at_last_report = peers;
  if (!is_comparable)
    return std::nullopt;
  return changes;
}

double ServerLoad::EstimatedConnections() const {
  if (!m_has_report)
    return std::max(0.0, static_cast<double>(OpenFlows()));
  const auto change_since_report =
      static_cast<double>(OpenFlows() - m_open_flows_at_report);
  return std::max(0.0, m_reported_connections + change_since_report);
}

double ServerLoad::RequestsPerOpenFlow() const {
  if (!m_has_report || m_open_flows_at_report <= 0)
    return -1.0;
  return m_reported_requests / static_cast<double>(m_open_flows_at_report);
}

bool ServerLoad::IsInSlowStart(const LoadSettings& settings,
                               base::TimePoint now) const {
  return m_slow_start_from != base::TimePoint::min() &&
         now < m_slow_start_from + settings.m_slow_start_window;
}

double ServerLoad::ExpectedRequests(const ServiceStatistics& service) const {
  const double open_flows = std::max(0.0, static_cast<double>(OpenFlows()));
  return open_flows * service.m_requests_per_open_flow;
}

double ServerLoad::MinimumPlausibleRequests(
    const ServiceStatistics& service) const {
  if (!service.m_are_peer_counts_known)
    return 0.0;
  return std::max(0.0, ExpectedRequests(service) / kMaximumReportFactor - 1.0);
}

bool ServerLoad::IsReportImplausible(const ServiceStatistics& service) const {
  const auto change_since_report =
      static_cast<double>(OpenFlows() - m_open_flows_at_report);
  return m_has_report && m_reported_requests + change_since_report <
                             MinimumPlausibleRequests(service);
}

double ServerLoad::EstimatedRequests(const ServiceStatistics& service) const {
  const double expected = ExpectedRequests(service);
  if (!m_has_report)
    return expected;
  const auto change_since_report =
      static_cast<double>(OpenFlows() - m_open_flows_at_report);
  double requests = std::max(MinimumPlausibleRequests(service),
                             m_reported_requests + change_since_report);
  if (service.m_are_peer_counts_known)
    requests = std::min(requests, expected * kMaximumReportFactor + m_slots);
  const double credibility = m_health_statistics.ReportCredibility();
  return credibility * requests +
         (1.0 - credibility) * std::max(requests, expected);
}

double ServerLoad::Bound(const LoadSettings& settings,
                         base::TimePoint now) const {
  const double full_bound = m_slots * settings.m_bound_factor;
  if (!IsInSlowStart(settings, now))
    return std::max(kMinimumBound, full_bound);
  const auto elapsed =
      std::max(base::Duration::zero(), now - m_slow_start_from);
  const double progress =
      std::chrono::duration<double>(elapsed) / settings.m_slow_start_window;
  const double share = settings.m_slow_start_share +
                       (1.0 - settings.m_slow_start_share) * progress;
  return std::max(kMinimumBound, full_bound * share);
}

ServerStatus ServerLoad::MakeStatus(base::BackendServerId server,
                                    const LoadSettings& settings,
                                    const ServiceStatistics& service,
                                    base::TimePoint now) const {
  ServerStatus status;
  status.m_server = server;
  status.m_estimated_requests = EstimatedRequests(service);
  status.m_rounded_requests = std::round(status.m_estimated_requests);
  status.m_reported_requests = m_reported_requests;
  status.m_bound = Bound(settings, now);
  status.m_inverse_bound = 1.0 / status.m_bound;
  status.m_is_draining = IsDraining();
  const bool is_at_connection_limit =
      m_connection_limit > 0 && EstimatedConnections() >= m_connection_limit;
  status.m_is_refusing = now < m_refusing_until || is_at_connection_limit;
  return status;
}

}  // namespace placement
