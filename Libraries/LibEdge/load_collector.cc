#include "LibEdge/load_collector.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace edge {

namespace {

using load_exchange::FleetLoad;
using load_exchange::LoadReport;
using load_exchange::ServerEvidence;
using load_exchange::ServiceLoad;

std::uint32_t TokenOf(const steering::KnownServer& server) {
  return server.m_tokens.front().value();
}

bool HasPriorities(const steering::Manifest& manifest) {
  std::optional<std::uint32_t> priority;
  for (const steering::Route& route : manifest.m_routes) {
    if (!route.m_target_latency)
      continue;
    if (priority && *priority != route.m_priority)
      return true;
    priority = route.m_priority;
  }
  return false;
}

}  // namespace

bool ExchangesLoad(const EdgeSettings& settings,
                   const steering::Manifest& manifest) {
  return settings.m_evacuation_bound || HasPriorities(manifest) ||
         std::ranges::any_of(manifest.m_services, [](const auto& options) {
           return options.m_warm_up_requests_per_second > 0;
         });
}

const LoadReport& LoadCollector::Report(const steering::Steering& steering,
                                        const FleetLoad& fleet,
                                        base::TimePoint now) {
  if (m_reported_at && now - *m_reported_at < kReportInterval)
    return m_report;
  m_reported_at = now;
  m_report = {};
  // The clock starts with the machine, so the number also increases when the
  // process restarts.
  m_report.m_sequence = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch())
          .count());
  m_report.m_data_centre = m_data_centre;
  std::set<std::uint32_t> watched;
  for (const ServerEvidence& evidence : fleet.Evidence(now))
    watched.insert(evidence.m_token);
  std::map<std::uint32_t, double> former_unanswered;
  former_unanswered.swap(m_unanswered);
  while (m_samples.size() > 1 && now - m_samples[1].first >= kCountingTime)
    m_samples.pop_front();
  for (const auto& [service, servers] : steering.directory().ByService()) {
    ServiceLoad load;
    load.m_service = load_exchange::KeyOf(service);
    load.m_openings_per_second =
        OpeningsPerSecond(service, steering.openings(), now);
    for (const steering::KnownServer* server : servers) {
      load.m_requests_in_progress += server->m_requests_in_progress;
      const auto& statistics = server->m_answer_statistics;
      double unanswered = statistics.Unanswered(now);
      if (unanswered > 0) {
        m_unanswered[TokenOf(*server)] = unanswered;
        const auto former = former_unanswered.find(TokenOf(*server));
        unanswered = former == former_unanswered.end()
                         ? 0
                         : std::min(unanswered, former->second);
      }
      if (unanswered >= kLeastUnanswered || watched.contains(TokenOf(*server)))
        m_report.m_servers.push_back(
            {TokenOf(*server), unanswered, statistics.Answered(now), 0});
    }
    m_report.m_services.push_back(load);
  }
  m_samples.emplace_back(now, steering.openings());
  return m_report;
}

std::uint32_t LoadCollector::OpeningsPerSecond(const std::string& service,
                                               const Openings& openings,
                                               base::TimePoint now) const {
  const auto current = openings.find(service);
  if (m_samples.empty() || current == openings.end())
    return 0;
  const auto& [sampled_at, sample] = m_samples.front();
  const auto former = sample.find(service);
  const std::uint64_t count =
      current->second - (former == sample.end() ? 0 : former->second);
  const double seconds =
      std::chrono::duration<double>(now - sampled_at).count();
  return static_cast<std::uint32_t>(
      std::lround(static_cast<double>(count) / seconds));
}

void LoadCollector::Apply(const FleetLoad& fleet,
                          steering::Steering& steering,
                          base::TimePoint now) {
  steering.warm_up().SetBalancers(fleet.LargestBalancers(now));
  for (const ServerEvidence& evidence : fleet.Evidence(now)) {
    steering::KnownServer* server =
        steering.directory().FindByToken(steering::FlowToken(evidence.m_token));
    if (server == nullptr || TokenOf(*server) != evidence.m_token)
      continue;
    server->m_shared_evidence.Set(
        FleetLoad::UnansweredShare(evidence),
        now + kLeastHoldTime +
            std::chrono::duration_cast<base::Duration>(
                (kLongestHoldTime - kLeastHoldTime) * m_random.Unit()),
        now);
  }
}

}  // namespace edge
