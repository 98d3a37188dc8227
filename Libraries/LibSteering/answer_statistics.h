// How many of the requests that went to one backend server were answered, as
// this balancer's callers saw it of late. A server may answer health checks and
// still leave requests unanswered (a grey failure; Huang et al., HotOS 2017).

#ifndef LIBSTEERING_ANSWER_STATISTICS_H_
#define LIBSTEERING_ANSWER_STATISTICS_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "LibBase/time.h"

namespace steering {

class AnswerStatistics {
 public:
  // What was seen counts half after this time: long enough to see several
  // requests at a server of a large service, short enough that a server that
  // recovered is tried again within seconds.
  static constexpr base::Duration kHalfLife = std::chrono::seconds(2);
  // Requests that a server is taken to have answered besides, so that little
  // evidence weighs little.
  static constexpr double kPriorAnswers = 2;

  // Queries.
  // The share of requests that stay unanswered, from 0 to 1.
  double UnansweredShare(base::TimePoint now) const {
    // Asked of every server for every opening; most leave nothing unanswered.
    if (m_unanswered == 0)
      return 0;
    const double remains = DecayFactor(now);
    const double unanswered = m_unanswered * remains;
    return unanswered / (unanswered + m_answered * remains + kPriorAnswers);
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
  // A request recorded as unanswered was answered after all.
  void RecordLateAnswer(base::TimePoint now) {
    RecordAnswer(now);
    m_unanswered = std::max(0.0, m_unanswered - 1);
  }

 private:
  double DecayFactor(base::TimePoint now) const {
    return std::exp2(-std::chrono::duration<double>(now - m_counted_at) /
                     kHalfLife);
  }
  void Decay(base::TimePoint now) {
    const double remains = DecayFactor(now);
    m_answered *= remains;
    m_unanswered *= remains;
    m_counted_at = now;
  }

  base::TimePoint m_counted_at;
  double m_answered = 0;
  double m_unanswered = 0;
};

}  // namespace steering

#endif  // LIBSTEERING_ANSWER_STATISTICS_H_
