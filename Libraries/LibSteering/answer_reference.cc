#include "LibSteering/answer_reference.h"

#include <algorithm>
#include <cmath>

namespace steering {

namespace {

base::Duration SlowLimit(base::Duration median) {
  const auto factored = std::chrono::duration_cast<base::Duration>(
      AnswerReference::kSlowFactor * median);
  return std::max(factored, median + AnswerReference::kSlowMargin);
}

}  // namespace

std::optional<bool> AnswerReference::IsSlow(base::Duration answer_time) const {
  if (!m_median)
    return std::nullopt;
  return answer_time > SlowLimit(*m_median);
}

double AnswerReference::Load() const {
  if (!m_median || m_unloaded <= base::Duration::zero())
    return 0;
  return std::chrono::duration<double>(*m_median) / m_unloaded;
}

void AnswerReference::Add(base::Duration answer_time, base::TimePoint now) {
  m_times.Add(answer_time, now);
  m_last_answer = now;
  if (m_answers_until_update > 0) {
    --m_answers_until_update;
    return;
  }
  Update(now);
  m_answers_until_update = kAnswersPerUpdate - 1;
}

void AnswerReference::Update(base::TimePoint now) {
  constexpr double kMedian = 50;
  const auto elapsed = std::chrono::duration<double>(now - m_updated_at);
  m_updated_at = now;
  m_median = m_times.Percentile(kMedian, now);
  if (!m_median)
    return;
  m_slow_share = m_times.ShareAbove(SlowLimit(*m_median), now).value_or(0);
  // A median of a few microseconds would be a fault of the measurement.
  const base::Duration median =
      std::max<base::Duration>(*m_median, std::chrono::milliseconds(1));
  if (m_unloaded == base::Duration::zero()) {
    m_unloaded = median;
    return;
  }
  const double growth = std::exp2(std::min(1.0, elapsed / kUnloadedDoubling));
  m_unloaded = std::min(
      median, std::chrono::duration_cast<base::Duration>(growth * m_unloaded));
}

}  // namespace steering
