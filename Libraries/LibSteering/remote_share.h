// Decides which share of a service's openings is placed without regard to the
// data centre of the servers. The share grows while requests wait longer in the
// balancer's own data centre than in the others, the way there included.

#ifndef LIBSTEERING_REMOTE_SHARE_H_
#define LIBSTEERING_REMOTE_SHARE_H_

#include <algorithm>
#include <chrono>

#include "LibAdmission/decayed_count.h"
#include "LibBase/time.h"

namespace steering {

class RemoteShare {
 public:
  // Queries.
  double Value() const { return m_share; }
  // Whether requests wait longer in the balancer's own data centre than in the
  // others, so that openings placed there are answered sooner.
  bool AreOthersFaster() const { return m_are_others_faster; }

  // Commands.
  // Records the time to an answer. `is_own` is whether the server is in the
  // balancer's own data centre.
  void RecordAnswer(bool is_own, base::Duration time, base::TimePoint now) {
    Mean& mean = is_own ? m_own : m_other;
    mean.m_answers.Add(1, now);
    mean.m_seconds.Add(std::chrono::duration<double>(time).count(), now);
    if (now - m_adjusted_at < kInterval)
      return;
    m_adjusted_at = now;
    const double own = m_own.ValueAt(now, 0);
    // The other data centres are taken as idle before their first answers and
    // some seconds after their last ones.
    m_other_seconds = m_other.ValueAt(
        now,
        m_other_seconds + kForgetGain * (m_usual_seconds - m_other_seconds));
    if (own > 0) {
      if (m_usual_seconds == 0)
        m_other_seconds = own;
      const double gain = m_usual_seconds == 0    ? 1.0
                          : own < m_usual_seconds ? kDecreaseGain
                                                  : kIncreaseGain;
      m_usual_seconds += gain * (own - m_usual_seconds);
    }
    m_are_others_faster =
        own > kMinimumFactor * (m_other_seconds + kMarginSeconds);
    m_share =
        std::clamp(m_share + (m_are_others_faster ? kRise : -kFall), 0.0, 1.0);
  }

 private:
  static constexpr base::Duration kInterval = std::chrono::milliseconds(100);
  static constexpr base::Duration kHalfLife = std::chrono::milliseconds(300);
  // The share reaches 1 within a second, as a burst needs, and returns to 0
  // within two.
  static constexpr double kRise = 0.1;
  static constexpr double kFall = 0.05;
  // The way to an idle data centre that has had no answers yet, and the factor
  // by which times must differ to exceed the noise of some ten answers.
  static constexpr double kMarginSeconds = 0.005;
  static constexpr double kMinimumFactor = 1.25;
  static constexpr double kMinimumAnswers = 3;
  // The usual time drops fast and rises slowly, so that a lasting queue does
  // not count as usual.
  static constexpr double kDecreaseGain = 0.1;
  static constexpr double kIncreaseGain = 0.001;
  // Half of what is known about the other data centres is forgotten in 3.4 s.
  // Without this memory, openings left a data centre in which waits were the
  // same as elsewhere.
  static constexpr double kForgetGain = 0.02;

  struct Mean {
    admission::DecayedCount m_answers{kHalfLife};
    admission::DecayedCount m_seconds{kHalfLife};
    double ValueAt(base::TimePoint now, double otherwise) const {
      const double answers = m_answers.ValueAt(now);
      return answers < kMinimumAnswers ? otherwise
                                       : m_seconds.ValueAt(now) / answers;
    }
  };

  Mean m_own;
  Mean m_other;
  double m_usual_seconds = 0;
  double m_other_seconds = 0;
  double m_share = 0;
  bool m_are_others_faster = false;
  base::TimePoint m_adjusted_at;
};

}  // namespace steering

#endif  // LIBSTEERING_REMOTE_SHARE_H_
