#include "LibLoadExchange/load_aggregator.h"

#include <algorithm>
#include <map>
#include <utility>

#include "LibLoadExchange/limits.h"

namespace load_exchange {

namespace {

void BoundNumbers(LoadReport& report) {
  for (ServiceLoad& service : report.m_services) {
    service.m_requests_in_progress =
        std::min(service.m_requests_in_progress, kMaximumRequestsInProgress);
    service.m_openings_per_second =
        std::min(service.m_openings_per_second, kMaximumOpeningsPerSecond);
  }
  for (ServerEvidence& server : report.m_servers) {
    const double requests = server.m_unanswered + server.m_answered;
    if (requests <= kMaximumEvidence)
      continue;
    server.m_unanswered *= kMaximumEvidence / requests;
    server.m_answered *= kMaximumEvidence / requests;
  }
}

// A repeated entry must not add to the weight of a balancer.
void RemoveRepeated(LoadReport& report) {
  const auto remove = [](auto& list, auto key) {
    std::ranges::stable_sort(list, {}, key);
    list.erase(std::unique(list.begin(), list.end(),
                           [key](const auto& left, const auto& right) {
                             return left.*key == right.*key;
                           }),
               list.end());
  };
  remove(report.m_services, &ServiceLoad::m_service);
  remove(report.m_servers, &ServerEvidence::m_token);
}

}  // namespace

ReportResult LoadAggregator::Accept(base::Ipv4Address address,
                                    LoadReport report,
                                    base::TimePoint now) {
  if (report.m_data_centre != m_data_centre)
    return ReportResult::kOtherDataCentre;
  const auto found = m_reports.find(address.value());
  if (found == m_reports.end() && m_reports.size() >= kMaximumBalancers)
    return ReportResult::kTooMany;
  // A balancer that has restarted may count from the start again, so the
  // sequence counts only while the previous report does.
  if (found != m_reports.end() &&
      report.m_sequence <= found->second.m_report.m_sequence &&
      now - found->second.m_received_at < kReportLifetime)
    return ReportResult::kOutdated;
  RemoveRepeated(report);
  BoundNumbers(report);
  m_reports[address.value()] = {std::move(report), now};
  return ReportResult::kAccepted;
}

bool LoadAggregator::Counts(base::Ipv4Address address,
                            base::TimePoint now) const {
  const auto found = m_reports.find(address.value());
  return found != m_reports.end() &&
         now - found->second.m_received_at < kReportLifetime;
}

void LoadAggregator::RemoveExpired(base::TimePoint now) {
  std::erase_if(m_reports, [now](const auto& entry) {
    return now - entry.second.m_received_at >= kReportLifetime;
  });
}

DataCentreLoad LoadAggregator::Sum(base::TimePoint now) const {
  DataCentreLoad load;
  load.m_data_centre = m_data_centre;
  std::map<std::uint32_t, ServiceLoad> services;
  std::map<std::uint32_t, ServerEvidence> servers;
  for (const auto& [address, entry] : m_reports) {
    if (now - entry.m_received_at >= kReportLifetime)
      continue;
    ++load.m_balancers;
    for (const ServiceLoad& service : entry.m_report.m_services) {
      ServiceLoad& sum = services[service.m_service];
      sum.m_service = service.m_service;
      sum.m_requests_in_progress += service.m_requests_in_progress;
      sum.m_openings_per_second += service.m_openings_per_second;
    }
    for (const ServerEvidence& server : entry.m_report.m_servers) {
      ServerEvidence& sum = servers[server.m_token];
      sum.m_token = server.m_token;
      sum.m_unanswered += server.m_unanswered;
      sum.m_answered += server.m_answered;
      sum.m_largest_unanswered =
          std::max(sum.m_largest_unanswered, server.m_unanswered);
    }
  }
  for (const auto& [key, service] : services)
    load.m_services.push_back(service);
  // The smallest count that is exchanged.
  constexpr double kLeastUnanswered = 0.1;
  for (const auto& [token, server] : servers) {
    if (server.m_unanswered >= kLeastUnanswered)
      load.m_servers.push_back(server);
  }
  return load;
}

}  // namespace load_exchange
