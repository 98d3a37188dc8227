// Counts the answered and the unanswered requests of one backend server among
// the flows of this balancer's callers. Older requests count less. A server can
// pass its health checks and still leave requests unanswered (a grey failure;
// Huang et al., HotOS 2017).

#ifndef LIBSTEERING_ANSWER_STATISTICS_H_
#define LIBSTEERING_ANSWER_STATISTICS_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "LibBase/time.h"

namespace steering {

class AnswerStatistics {
 public:
  // The weight of a request halves after this time. The time is long enough to
  // cover several requests to one server of a large service, and short enough
  // that a server that recovered gets openings again within seconds.
  static constexpr base::Duration kHalfLife = std::chrono::seconds(2);
  // Answered requests that are added to those of every server. They keep the
  // share small while few requests have been counted.
  static constexpr double kPriorAnswers = 2;

  // Queries.
  // The share of requests that were not answered, from 0 to 1.
  double UnansweredShare(base::TimePoint now) const {
    // Called for every server on every opening. Most servers have no
    // unanswered request and need no exponential.
    if (m_unanswered == 0)
      return 0;
    const double factor = DecayFactor(now);
    const double unanswered = m_unanswered * factor;
    return unanswered / (unanswered + m_answered * factor + kPriorAnswers);
  }

  // The decayed numbers of requests.
  double Unanswered(base::TimePoint now) const {
    return m_unanswered == 0 ? 0 : m_unanswered * DecayFactor(now);
  }
  double Answered(base::TimePoint now) const {
    return m_answered == 0 ? 0 : m_answered * DecayFactor(now);
  }

  // Commands.
  void RecordAnswer(base::TimePoint now) {
    Decay(now);
    m_answered += 1;
  }
  void RecordUnanswered(base::TimePoint now) {
    Decay(now);
    m_unanswered += 1;
  }
  // The server refused a request, for example because its queue was full. The
  // caller's next attempt costs a fraction of a request without an answer.
  void RecordRefusal(base::TimePoint now) {
    Decay(now);
    m_unanswered += kRefusalWeight;
  }
  // A request that was recorded as unanswered got its answer later.
  void RecordLateAnswer(base::TimePoint now) {
    RecordAnswer(now);
    m_unanswered = std::max(0.0, m_unanswered - 1);
  }

 private:
  // Makes a server that refuses half of its requests cost about as much as two
  // more requests per slot.
  static constexpr double kRefusalWeight = 0.25;

  // The factor by which the counts have decayed since m_counted_at.
  double DecayFactor(base::TimePoint now) const {
    return std::exp2(-std::chrono::duration<double>(now - m_counted_at) /
                     kHalfLife);
  }
  // Scales the counts to their values at `now`.
  void Decay(base::TimePoint now) {
    const double factor = DecayFactor(now);
    m_answered *= factor;
    m_unanswered *= factor;
    m_counted_at = now;
  }

  base::TimePoint m_counted_at;
  // The decayed counts as of m_counted_at.
  double m_answered = 0;
  double m_unanswered = 0;
};

}  // namespace steering

#endif  // LIBSTEERING_ANSWER_STATISTICS_H_
