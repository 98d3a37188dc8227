#include "LibPlacement/outlier_detector.h"

#include <algorithm>
#include <chrono>

#include "LibPlacement/median.h"

namespace placement {

namespace {

// Scores how much worse a server is than its peers; zero if it is no outlier.
// Any refusal outlier scores above any delay outlier, because a refusal is
// explicit.
double OutlierScore(const OutlierSettings& settings,
                    const ServerHealthStatistics& statistics,
                    double median_refused,
                    double median_delay) {
  constexpr double kRefusalScoreOffset = 1000.0;
  const double excess = statistics.RefusedShare() - median_refused;
  if (statistics.OpeningSamples() >= settings.m_minimum_samples &&
      excess > settings.m_refused_share_margin)
    return kRefusalScoreOffset + excess;
  if (statistics.DelaySamples() < settings.m_minimum_samples)
    return 0.0;
  const double slow_minimum =
      std::chrono::duration<double>(settings.m_slow_delay_minimum).count();
  const double slow_threshold =
      std::max(slow_minimum, median_delay * settings.m_slow_delay_factor);
  return statistics.MeanDelay() > slow_threshold
             ? statistics.MeanDelay() / slow_threshold
             : 0.0;
}

}  // namespace

std::size_t OutlierDetector::MaximumEjectedServers(
    const OutlierSettings& settings,
    std::size_t servers) {
  const double share = std::clamp(settings.m_maximum_ejected_share, 0.0, 1.0);
  const auto permitted =
      static_cast<std::size_t>(static_cast<double>(servers) * share);
  return servers == 0 ? 0 : std::min(permitted, servers - 1);
}

double OutlierDetector::MedianRefusedShare(
    const std::vector<ServerLoad>& servers) {
  m_scratch.clear();
  for (const ServerLoad& server : servers) {
    // A server without opening samples counts with a refused share of zero.
    if (!server.IsDraining())
      m_scratch.push_back(server.HealthStatistics().RefusedShare());
  }
  return Median(m_scratch).value_or(0.0);
}

double OutlierDetector::MedianDelay(const std::vector<ServerLoad>& servers) {
  m_scratch.clear();
  for (const ServerLoad& server : servers) {
    if (!server.IsDraining() && server.HealthStatistics().DelaySamples() > 0)
      m_scratch.push_back(server.HealthStatistics().MeanDelay());
  }
  return Median(m_scratch).value_or(0.0);
}

void OutlierDetector::EjectOutliers(const LoadSettings& settings,
                                    std::vector<ServerLoad>& servers,
                                    base::TimePoint now,
                                    base::Random& random) {
  const double median_refused = MedianRefusedShare(servers);
  const double median_delay = MedianDelay(servers);
  std::size_t ejected = 0;
  for (const ServerLoad& server : servers)
    ejected += server.HealthStatistics().IsEjected(now) ? 1 : 0;

  const std::size_t permitted =
      MaximumEjectedServers(settings.m_outlier, servers.size());
  for (; ejected < permitted; ++ejected) {
    ServerLoad* worst = nullptr;
    double worst_score = 0.0;
    for (ServerLoad& server : servers) {
      if (server.IsDraining() || server.IsInSlowStart(settings, now) ||
          server.HealthStatistics().IsEjected(now))
        continue;
      const double score =
          OutlierScore(settings.m_outlier, server.HealthStatistics(),
                       median_refused, median_delay);
      if (score > worst_score) {
        worst_score = score;
        worst = &server;
      }
    }
    if (worst == nullptr)
      return;
    worst->MutableHealthStatistics().Eject(settings.m_outlier, now, random);
    // After the ejection the server restarts with a small bound, so that new
    // flows do not all go to it at once.
    worst->RestartSlowStart(worst->HealthStatistics().EjectedUntil());
  }
}

}  // namespace placement
