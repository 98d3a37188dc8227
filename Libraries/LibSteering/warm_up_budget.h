// Decides whether this balancer may send an opening to a cold server now, so
// that all balancers together stay within the server's rate.
//
// Each balancer has an equal share of the rate: one opening per interval, in a
// short window at a phase that the balancer draws at random for each server.
// An unused window is lost. Otherwise all balancers could send an opening they
// have saved up at the same moment, when the demand rises.
//
// The windows of independent balancers fall together at random. With a rate of
// 20 per second shared out whole, a Poisson distribution exceeds the bound of
// 35 openings (overrun 1.5, slack 5) in one of 1,200 seconds, and in one of ten
// if the number of balancers is estimated 30% too small. The budget therefore
// shares out only the rate at which the bound is kTailDeviations standard
// deviations above the mean despite such an estimate.

// Callers send further requests on a flow, and an open flow cannot be moved.
// The rate of openings is therefore divided by the requests that a flow brings
// to the server while the server is cold.

#ifndef LIBSTEERING_WARM_UP_BUDGET_H_
#define LIBSTEERING_WARM_UP_BUDGET_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "LibBase/random.h"
#include "LibBase/time.h"
#include "LibSteering/known_server.h"
#include "LibSteering/manifest.h"
#include "LibSteering/requests_per_flow.h"

namespace steering {

struct WarmUpLimits {
  // All balancers together send a cold server in any second at most the
  // service's rate times the overrun plus the slack.
  double m_overrun = 1;
  double m_slack = 0;
};

class WarmUpBudget {
 public:
  // The ratio of the estimated number of balancers to the real one that the
  // bound allows for.
  static constexpr double kLeastEstimateRatio = 0.7;
  // A sum of independent counts exceeds its mean by so much in about one of
  // 200,000 seconds.
  static constexpr double kTailDeviations = 5;
  // Assumed without an estimate if all servers of a service are cold: more
  // balancers than any fleet in operation has.
  static constexpr std::uint32_t kAssumedBalancers = 300;
  // The longest window for an opening. Balancers have 7 to 22 openings per
  // second for a service in the observed fleets.
  static constexpr base::Duration kLongestWindow =
      std::chrono::milliseconds(250);
  // Few balancers have short intervals, and a part of them would often pass
  // without an opening.
  static constexpr base::Duration kShortestWindow =
      std::chrono::milliseconds(50);

  // Callers of long flows pause for about a second between requests, so a flow
  // brings no more requests than this in a second.
  static constexpr double kRequestsPerSecondOfFlow = 1.25;

  // Queries.
  // Whether the service has a figure for its cold servers.
  static bool IsLimited(const ServiceOptions* options) {
    return options != nullptr && options->m_warm_up_requests_per_second > 0;
  }
  static bool IsCold(const KnownServer& server,
                     const ServiceOptions& options,
                     base::TimePoint now);
  // The requests that a flow of the service brings to a server while the server
  // is cold.
  double RequestsOfFlow(const ServiceOptions& options) const;
  // The requests per second that `balancers` balancers share out for one cold
  // server of the service.
  double SharedRate(const ServiceOptions& options,
                    std::uint32_t balancers) const;

  // Commands.
  void SetLimits(WarmUpLimits limits) { m_limits = limits; }
  // Sets the estimated number of live balancers; nothing if it is not known.
  void SetBalancers(std::optional<std::uint32_t> balancers) {
    m_balancers = balancers;
  }
  // A flow of the service was opened, or a caller has begun a request on one.
  void RecordFlow(std::string_view service, base::TimePoint now);
  void RecordRequest(std::string_view service, base::TimePoint now);
  // Whether an opening may go to the cold server with `share` now. Without an
  // estimate of the number of balancers, only if `has_warm` is false: there is
  // no warm server.
  bool MayOpen(WarmUpShare& share,
               const ServiceOptions& options,
               bool has_warm,
               base::Random& random,
               base::TimePoint now) const;
  // An opening goes to the cold server with `share`, for which MayOpen was
  // true.
  static void RecordOpening(WarmUpShare& share) {
    if (share.m_next_window_at)
      *share.m_next_window_at += share.m_interval;
  }
  // The servers of the service that may get an opening now: all warm ones, and
  // the cold ones with an open window. `placed` is the server to which the
  // opening has been sent already, or null; a copy for it is no new request.
  std::vector<KnownServer*> Permitted(std::span<KnownServer* const> servers,
                                      const ServiceOptions& options,
                                      const KnownServer* placed,
                                      base::Random& random,
                                      base::TimePoint now) const;

 private:
  base::Duration IntervalOf(const ServiceOptions& options,
                            std::uint32_t balancers) const;

  WarmUpLimits m_limits;
  std::optional<std::uint32_t> m_balancers;
  // By service.
  std::map<std::string, RequestsPerFlow, std::less<>> m_requests_per_flow;
};

}  // namespace steering

#endif  // LIBSTEERING_WARM_UP_BUDGET_H_
