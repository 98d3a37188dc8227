#include "LibSteering/warm_up_budget.h"

#include <algorithm>
#include <cmath>

namespace steering {

namespace {

// A phase that was drawn for another interval is kept if the intervals differ
// by less than this factor. The estimates behind it vary a little.
constexpr double kSameInterval = 1.25;
// An interval of this length or more means that the server gets no openings.
constexpr double kLongestIntervalSeconds = 3600;
constexpr base::Duration kShortestInterval = std::chrono::milliseconds(1);

}  // namespace

bool WarmUpBudget::IsCold(const KnownServer& server,
                          const ServiceOptions& options,
                          base::TimePoint now) {
  return now < server.m_warm_up_ends_at ||
         (server.m_started_at &&
          now < *server.m_started_at + options.m_warm_up) ||
         (server.m_cold_until && now < *server.m_cold_until);
}

double WarmUpBudget::RequestsOfFlow(const ServiceOptions& options) const {
  const auto found = m_requests_per_flow.find(options.m_service);
  if (found == m_requests_per_flow.end())
    return 1;
  const double cold_seconds =
      std::chrono::duration<double>(options.m_warm_up).count();
  const double most = cold_seconds > 0
                          ? 1 + kRequestsPerSecondOfFlow * cold_seconds
                          : found->second.Mean();
  // Where flows have one request, a few repeated ones make the mean greater.
  constexpr double kOneRequest = 1.2;
  const double mean = found->second.Mean();
  return mean < kOneRequest ? 1 : std::min(mean, most);
}

void WarmUpBudget::RecordFlow(std::string_view service, base::TimePoint now) {
  m_requests_per_flow[std::string(service)].RecordOpening(now);
}

void WarmUpBudget::RecordRequest(std::string_view service,
                                 base::TimePoint now) {
  m_requests_per_flow[std::string(service)].RecordRequest(now);
}

double WarmUpBudget::SharedRate(const ServiceOptions& options,
                                std::uint32_t balancers) const {
  const double rate = options.m_warm_up_requests_per_second;
  const double bound = rate * m_limits.m_overrun + m_limits.m_slack;
  // The greatest mean m with m + z * sqrt(m) <= bound: the variance of the sum
  // of many rare events is their mean.
  const double root =
      (std::sqrt(kTailDeviations * kTailDeviations + 4 * bound) -
       kTailDeviations) /
      2;
  const double for_many = root * root;
  // Each balancer sends at regular times, so its count in a second has a
  // variance of a quarter at most.
  const double real_balancers = balancers / kLeastEstimateRatio;
  const double for_few =
      bound - kTailDeviations * std::sqrt(real_balancers / 4);
  const double mean = std::max(for_many, for_few);
  return std::min(rate, mean * kLeastEstimateRatio);
}

base::Duration WarmUpBudget::IntervalOf(const ServiceOptions& options,
                                        std::uint32_t balancers) const {
  const double rate = SharedRate(options, balancers) / RequestsOfFlow(options);
  const double seconds =
      std::min(balancers / std::max(rate, 1e-9), kLongestIntervalSeconds);
  return std::max(kShortestInterval,
                  std::chrono::duration_cast<base::Duration>(
                      std::chrono::duration<double>(seconds)));
}

bool WarmUpBudget::MayOpen(WarmUpShare& share,
                           const ServiceOptions& options,
                           bool has_warm,
                           base::Random& random,
                           base::TimePoint now) const {
  if (!m_balancers && has_warm)
    return false;
  const base::Duration interval = IntervalOf(
      options, std::max(1U, m_balancers.value_or(kAssumedBalancers)));
  const double ratio = std::chrono::duration<double>(interval) /
                       std::max(std::chrono::duration<double>(share.m_interval),
                                std::chrono::duration<double>(1e-9));
  const bool is_same_interval =
      ratio < kSameInterval && ratio > 1 / kSameInterval;
  // A phase of a shorter interval is not uniform in the longer one: balancers
  // that start together would send together again.
  if (!share.m_next_window_at || !is_same_interval) {
    share.m_next_window_at = now + std::chrono::duration_cast<base::Duration>(
                                       interval * random.Unit());
    share.m_interval = interval;
  }
  const base::Duration window = std::min(
      share.m_interval, std::clamp(base::Duration(share.m_interval / 4),
                                   base::Duration(kShortestWindow),
                                   base::Duration(kLongestWindow)));
  base::TimePoint& next = *share.m_next_window_at;
  if (now >= next + window)
    next += share.m_interval * ((now - next) / share.m_interval +
                                ((now - next) % share.m_interval >= window));
  return now >= next;
}

std::vector<KnownServer*> WarmUpBudget::Permitted(
    std::span<KnownServer* const> servers,
    const ServiceOptions& options,
    const KnownServer* placed,
    base::Random& random,
    base::TimePoint now) const {
  std::vector<KnownServer*> permitted;
  std::vector<KnownServer*> cold;
  bool has_warm = false;
  for (KnownServer* server : servers) {
    if (server != placed && IsCold(*server, options, now)) {
      cold.push_back(server);
      continue;
    }
    permitted.push_back(server);
    has_warm = has_warm || (server->AcceptsOpenings() &&
                            !server->m_reachability.IsUnreachable());
  }
  for (KnownServer* server : cold) {
    if (MayOpen(server->m_warm_up_share, options, has_warm, random, now))
      permitted.push_back(server);
  }
  return permitted;
}

}  // namespace steering
