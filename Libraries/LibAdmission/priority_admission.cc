#include "LibAdmission/priority_admission.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace admission {

namespace {

using std::chrono::milliseconds;

constexpr base::Duration kRaiseInterval = milliseconds(100);
// A lowered limit shows in the answers after the queues have become shorter,
// which takes up to 150 ms, and after the half-life of the short sums.
constexpr base::Duration kLowerInterval = milliseconds(300);
// A limit that refused nothing for this long is removed.
constexpr base::Duration kUnusedLimitTime = std::chrono::seconds(1);
// A more urgent priority gets a limit only after the less urgent ones admitted
// hardly more than their floor for this long. Requests on their open flows end
// only with the flows.
constexpr base::Duration kEscalationDelay = std::chrono::seconds(1);
// A weaker overload is left to the less urgent limits of all balancers.
constexpr double kMinimumEscalationCut = 0.16;
constexpr double kNearFloorShare = 0.2;
// The limits are held while the share of refusals is between these two. The
// lower one keeps the slots busy, the upper one keeps refusals below a tenth of
// the answers.
constexpr double kRaiseBelowShare = 0.05;
constexpr double kLowerAboveShare = 0.075;
// Fewer recent answers than this are no reason to lower a limit.
constexpr double kMinimumAnswers = 6;
constexpr double kMinimumSlowdown = 1.2;
constexpr double kMinimumCut = 0.15;
constexpr double kMaximumCut = 0.45;
// Limits are raised by steps and lowered by factors, so that the limits of all
// balancers approach each other (Chiu and Jain, 1989). Raised by factors, some
// balancers limited urgent priorities while others admitted all.
constexpr double kRaiseStep = 0.12;
// With hardly any refusals, a part of the slots is idle, as after servers have
// returned.
constexpr double kIdleRefusedShare = 0.02;
constexpr double kIdleRaiseStep = 0.3;
// Many requests in progress need a step in proportion: by steps alone, a data
// centre with 8 times its usual traffic needed 3 s to use idle servers.
constexpr double kIdleRaiseFactor = 1.15;
// Answers without queues and refusals show that the overload has ended. The
// limits then leave within half a second.
constexpr double kEndedRefusedShare = 0.02;
constexpr double kEndedRaiseFactor = 1.5;
// A limit below this admits an opening only while nothing is in progress.
constexpr double kSmallestLimit = 1.0;
// A limit of this many times the requests in progress refuses nothing.
constexpr double kRemovalFactor = 4;
constexpr double kInProgressGain = 0.1;

std::vector<std::optional<base::Duration>> TargetsOf(
    const std::vector<RouteGoal>& routes) {
  std::vector<std::optional<base::Duration>> targets;
  targets.reserve(routes.size());
  for (const RouteGoal& route : routes)
    targets.push_back(route.m_target);
  return targets;
}

}  // namespace

PriorityAdmission::PriorityAdmission(std::vector<RouteGoal> routes)
    : m_routes(std::move(routes)),
      m_detector(TargetsOf(m_routes)),
      m_admitted(kShareHalfLife),
      m_retries_admitted(kShareHalfLife) {
  std::set<std::uint32_t> priorities;
  for (const RouteGoal& route : m_routes)
    priorities.insert(route.m_priority);
  for (const std::uint32_t priority : priorities)
    m_levels.emplace_back().m_priority = priority;
}

bool PriorityAdmission::Applies(const std::vector<RouteGoal>& routes) {
  std::set<std::uint32_t> priorities;
  for (const RouteGoal& route : routes)
    if (route.m_target)
      priorities.insert(route.m_priority);
  return priorities.size() >= 2;
}

std::optional<double> PriorityAdmission::LimitOf(std::uint32_t priority) const {
  for (const Level& level : m_levels)
    if (level.m_priority == priority)
      return level.m_limit;
  return std::nullopt;
}

AdmissionVerdict PriorityAdmission::Decide(base::Endpoint address,
                                           base::Ipv4Address caller,
                                           std::uint32_t in_progress,
                                           base::Random& random,
                                           base::TimePoint now) {
  AdmissionVerdict verdict;
  verdict.m_in_progress = in_progress;
  const auto route = IndexOf(address);
  if (!route)
    return verdict;
  Level& level = LevelOf(m_routes[*route].m_priority);
  const RefusedCallers::Key key{caller, address};
  const bool is_retry =
      level.m_limit.has_value() && m_refused_callers.IsRetry(key, now);
  verdict.m_basis = BasisFor(level, is_retry, in_progress, random, now);
  if (level.m_limit) {
    const double admitted = m_admitted.ValueAt(now);
    verdict.m_limit = *level.m_limit;
    verdict.m_admitted_share =
        admitted > 0 ? level.m_admitted.ValueAt(now) / admitted : 0;
    verdict.m_signs = m_detector.SignsAt(now);
  }
  if (is_retry)
    m_refused_callers.RecordRetry(key);
  if (!verdict.IsAdmitted()) {
    level.m_was_refused = true;
    level.m_last_refusal = now;
    if (!is_retry)
      m_refused_callers.RecordRefusal(key, now);
    return verdict;
  }
  m_admitted.Add(1, now);
  level.m_admitted.Add(1, now);
  if (is_retry)
    m_retries_admitted.Add(1, now);
  return verdict;
}

AdmissionBasis PriorityAdmission::BasisFor(const Level& level,
                                           bool is_retry,
                                           std::uint32_t in_progress,
                                           base::Random& random,
                                           base::TimePoint now) const {
  if (!level.m_limit)
    return AdmissionBasis::kUnlimited;
  const double admitted = m_admitted.ValueAt(now);
  if (is_retry && m_retries_admitted.ValueAt(now) >= kRetryShare * admitted)
    return AdmissionBasis::kRetryShareUsed;
  // The fraction of the limit is the probability of one more request, since a
  // balancer has only a few in progress.
  if (in_progress + random.Unit() < *level.m_limit)
    return AdmissionBasis::kWithinLimit;
  if (level.m_admitted.ValueAt(now) < kFloorShare * admitted)
    return AdmissionBasis::kFloor;
  return AdmissionBasis::kOverLimit;
}

bool PriorityAdmission::RecordAnswer(base::Endpoint address,
                                     const AnswerSample& sample,
                                     std::uint32_t in_progress,
                                     base::TimePoint now) {
  const auto route = IndexOf(address);
  if (!route)
    return true;
  const bool is_served =
      m_detector.RecordAnswer(*route, sample, !HasLimit(), now);
  m_mean_in_progress += kInProgressGain * (in_progress - m_mean_in_progress);
  Adjust(now);
  return is_served;
}

std::optional<std::size_t> PriorityAdmission::IndexOf(
    base::Endpoint address) const {
  for (std::size_t index = 0; index < m_routes.size(); ++index)
    if (m_routes[index].m_address == address)
      return index;
  return std::nullopt;
}

PriorityAdmission::Level& PriorityAdmission::LevelOf(std::uint32_t priority) {
  return *std::find_if(
      m_levels.begin(), m_levels.end(),
      [priority](const Level& level) { return level.m_priority == priority; });
}

bool PriorityAdmission::HasLimit() const {
  return std::any_of(m_levels.begin(), m_levels.end(), [](const Level& level) {
    return level.m_limit.has_value();
  });
}

bool PriorityAdmission::IsAboveSetPoint(const OverloadSigns& signs) {
  if (signs.m_misses_target)
    return true;
  return signs.m_answers >= kMinimumAnswers &&
         signs.m_slowdown >= kMinimumSlowdown &&
         signs.m_refused_share > kLowerAboveShare;
}

void PriorityAdmission::Adjust(base::TimePoint now) {
  if (now - m_adjusted_at < kRaiseInterval)
    return;
  m_adjusted_at = now;
  const double admitted = m_admitted.ValueAt(now);
  for (Level& level : m_levels)
    if (level.m_admitted.ValueAt(now) > kNearFloorShare * admitted)
      level.m_above_floor_at = now;
  const OverloadSigns signs = m_detector.SignsAt(now);
  const bool is_overloaded =
      HasLimit() ? IsAboveSetPoint(signs) : m_detector.IsOverloaded(now);
  if (!is_overloaded)
    m_overloaded_since.reset();
  else if (!m_overloaded_since)
    m_overloaded_since = now;
  if (!is_overloaded)
    RaiseLimits(signs, now);
  else if (HasLimit() || now - *m_overloaded_since >= m_first_limit_delay)
    LowerLimits(signs, now);
  for (Level& level : m_levels)
    level.m_was_refused = false;
}

void PriorityAdmission::LowerLimits(const OverloadSigns& signs,
                                    base::TimePoint now) {
  if (now - m_lowered_at < kLowerInterval)
    return;
  m_lowered_at = now;
  const double cut =
      std::clamp(signs.m_refused_share, kMinimumCut, kMaximumCut);
  for (auto level = m_levels.rbegin(); level != m_levels.rend(); ++level) {
    if (!level->m_limit) {
      if (level != m_levels.rbegin() && cut < kMinimumEscalationCut)
        return;
      level->m_limit = std::max(kSmallestLimit, m_mean_in_progress * (1 - cut));
      level->m_above_floor_at = now;
      level->m_last_refusal = now;
      return;
    }
    const bool is_at_floor = now - level->m_above_floor_at >= kEscalationDelay;
    const double lowered =
        std::max(kSmallestLimit,
                 std::min(*level->m_limit, m_mean_in_progress) * (1 - cut));
    level->m_limit = lowered;
    if (!is_at_floor)
      return;
  }
}

void PriorityAdmission::RaiseLimits(const OverloadSigns& signs,
                                    base::TimePoint now) {
  const bool has_ended = signs.m_slowdown < kMinimumSlowdown &&
                         signs.m_refused_share < kEndedRefusedShare;
  const bool is_idle = signs.m_refused_share < kIdleRefusedShare;
  for (Level& level : m_levels) {
    if (!level.m_limit)
      continue;
    if (has_ended) {
      level.m_limit = *level.m_limit * kEndedRaiseFactor + 1;
      if (*level.m_limit > kRemovalFactor * (m_mean_in_progress + 1))
        level.m_limit.reset();
      continue;
    }
    // Without its last limit, a balancer would detect only an overload stronger
    // than the one that the limits of all balancers maintain, and would admit
    // more than its part.
    const bool may_remove = is_idle || &level != &m_levels.back();
    if (may_remove && now - level.m_last_refusal >= kUnusedLimitTime) {
      level.m_limit.reset();
      continue;
    }
    if (!level.m_was_refused || signs.m_refused_share > kRaiseBelowShare)
      continue;
    level.m_limit = is_idle ? *level.m_limit * kIdleRaiseFactor + kIdleRaiseStep
                            : *level.m_limit + kRaiseStep;
    // Less urgent priorities wait until this one needs no higher limit.
    return;
  }
}

}  // namespace admission
