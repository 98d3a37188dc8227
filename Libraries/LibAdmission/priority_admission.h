// Decides which openings of one service a balancer admits while the service is
// overloaded, by the priorities of the routes.
//
// Each priority has a limit on the balancer's requests in progress, or none.
// While answers show an overload, the limit of the least urgent priority is
// lowered; the next one follows only when the former admits no more than its
// floor. Limits are raised in the reverse order and removed once they refuse
// nothing. Each balancer decides from its own observations, so that an overload
// of a few seconds needs no exchange.

#ifndef LIBADMISSION_PRIORITY_ADMISSION_H_
#define LIBADMISSION_PRIORITY_ADMISSION_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "LibAdmission/admission_verdict.h"
#include "LibAdmission/decayed_count.h"
#include "LibAdmission/overload_detector.h"
#include "LibAdmission/refused_callers.h"
#include "LibBase/ipv4.h"
#include "LibBase/random.h"
#include "LibBase/time.h"

namespace admission {

// What the manifest says about a route of the service.
struct RouteGoal {
  // The address that callers send to.
  base::Endpoint m_address;
  std::uint32_t m_priority = 0;
  std::optional<base::Duration> m_target;

  friend bool operator==(const RouteGoal&, const RouteGoal&) = default;
};

class PriorityAdmission {
 public:
  // The share of the admitted openings that each priority keeps.
  static constexpr double kFloorShare = 0.1;
  // The share of the admitted openings that retries may have at a priority with
  // a limit.
  static constexpr double kRetryShare = 0.1;

  // The half-life of the counts that these shares refer to. With a longer one,
  // a priority that had most openings before an overload would get none for
  // seconds.
  static constexpr base::Duration kShareHalfLife =
      std::chrono::milliseconds(300);

  explicit PriorityAdmission(std::vector<RouteGoal> routes);

  // Queries.
  // Whether at least two of `routes` have targets and different priorities.
  // Otherwise, nothing is ever refused.
  static bool Applies(const std::vector<RouteGoal>& routes);
  const std::vector<RouteGoal>& routes() const { return m_routes; }
  // Whether any priority has a limit.
  bool HasLimit() const;
  // The limit of `priority`; nothing if it has none.
  std::optional<double> LimitOf(std::uint32_t priority) const;
  OverloadSigns SignsAt(base::TimePoint now) const {
    return m_detector.SignsAt(now);
  }

  // Commands.
  // Sets how long an overload must last before the first limit. With servers in
  // other data centres, openings are first placed there.
  void SetFirstLimitDelay(base::Duration delay) { m_first_limit_delay = delay; }
  // Decides about an opening of `caller` on the route with `address`, and
  // records the opening. `in_progress` is the number of this balancer's
  // requests in progress at the service; it has no effect without HasLimit. A
  // retransmission of an opening is no opening. `random` is used only while the
  // priority has a limit.
  AdmissionVerdict Decide(base::Endpoint address,
                          base::Ipv4Address caller,
                          std::uint32_t in_progress,
                          base::Random& random,
                          base::TimePoint now);
  // Records the time from an opening to the end of its handshake.
  void RecordHandshake(base::Duration time, base::TimePoint now) {
    m_detector.RecordHandshake(time, now);
  }
  // Returns whether the answer counts as served; otherwise, a server with a
  // full queue refused the request.
  bool RecordAnswer(base::Endpoint address,
                    const AnswerSample& sample,
                    std::uint32_t in_progress,
                    base::TimePoint now);

 private:
  struct Level {
    std::uint32_t m_priority = 0;
    std::optional<double> m_limit;
    DecayedCount m_admitted{kShareHalfLife};
    // Whether an opening was refused since the last adjustment of the limits.
    bool m_was_refused = false;
    base::TimePoint m_last_refusal;
    // When the level last admitted clearly more than its floor.
    base::TimePoint m_above_floor_at;
  };

  std::optional<std::size_t> IndexOf(base::Endpoint address) const;
  Level& LevelOf(std::uint32_t priority);
  AdmissionBasis BasisFor(const Level& level,
                          bool is_retry,
                          std::uint32_t in_progress,
                          base::Random& random,
                          base::TimePoint now) const;
  // Adjusts the limits if they are due.
  void Adjust(base::TimePoint now);
  void LowerLimits(const OverloadSigns& signs, base::TimePoint now);
  void RaiseLimits(const OverloadSigns& signs, base::TimePoint now);
  // Whether an overload is strong enough to lower a limit in force.
  static bool IsAboveSetPoint(const OverloadSigns& signs);

  std::vector<RouteGoal> m_routes;
  // The most urgent priority first.
  std::vector<Level> m_levels;
  OverloadDetector m_detector;
  RefusedCallers m_refused_callers;
  DecayedCount m_admitted;
  DecayedCount m_retries_admitted;
  // The moving average of the requests in progress.
  double m_mean_in_progress = 0;
  base::TimePoint m_adjusted_at;
  // Since when the signs have shown an overload without a break.
  std::optional<base::TimePoint> m_overloaded_since;
  base::Duration m_first_limit_delay{};
  base::TimePoint m_lowered_at;
};

}  // namespace admission

#endif  // LIBADMISSION_PRIORITY_ADMISSION_H_
