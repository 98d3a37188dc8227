// The evidence that one backend server answers slowly, from the answers to this
// balancer's callers. A balancer sends a server of a large service a request
// every few seconds, so a mean or a percentile for each server would take
// minutes. The evidence is a sequential test instead (a cumulative sum of log
// likelihood ratios; Page, Continuous Inspection Schemes, Biometrika 1954),
// which needs three slow answers in a row.

#ifndef LIBSTEERING_SLOW_ANSWER_EVIDENCE_H_
#define LIBSTEERING_SLOW_ANSWER_EVIDENCE_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "LibBase/time.h"

namespace steering {

class SlowAnswerEvidence {
 public:
  // The share of the answers of a slow server that are slow.
  static constexpr double kSlowShareOfSlowServer = 0.9;
  // The least share of slow answers that is assumed for sound servers. It is
  // above the 3% of requests that take long on any server.
  static constexpr double kMinimumUsualShare = 0.05;
  // Three slow answers in a row reach it, also with 5 s between them, and two
  // never do. With 3% of slow answers, a sound server gives three in a row
  // once in 37,000 answers.
  static constexpr double kSlowAt = 7.5;
  // A server found slow is sound again at this evidence.
  static constexpr double kSoundAt = 4;
  // Evidence halves in this time. Without new answers, a slow server counts as
  // sound after 27 s, so no server is avoided for longer on old evidence.
  static constexpr base::Duration kHalfLife = std::chrono::seconds(30);

  // Queries.
  // Whether the server is to be avoided.
  bool IsSlow(base::TimePoint now) const {
    return m_was_slow && EvidenceAt(now) > kSoundAt;
  }

  // Commands.
  // Records an answer. `usual_share` is the share of slow answers in the whole
  // service: where many answers are slow, one of them says little about its
  // server.
  void Record(bool is_slow, double usual_share, base::TimePoint now) {
    const bool was_slow = IsSlow(now);
    const double usual =
        std::clamp(usual_share, kMinimumUsualShare, kSlowShareOfSlowServer);
    const double ratio = is_slow ? kSlowShareOfSlowServer / usual
                                 : (1 - kSlowShareOfSlowServer) / (1 - usual);
    m_evidence = std::clamp(EvidenceAt(now) + std::log(ratio), 0.0, kSlowAt);
    m_at = now;
    m_was_slow = was_slow ? m_evidence > kSoundAt : m_evidence >= kSlowAt;
  }

 private:
  double EvidenceAt(base::TimePoint now) const {
    if (m_evidence == 0)
      return 0;
    return m_evidence *
           std::exp2(-std::chrono::duration<double>(now - m_at) / kHalfLife);
  }

  // The evidence as of m_at, from 0 to kSlowAt.
  double m_evidence = 0;
  base::TimePoint m_at;
  // The evidence has reached kSlowAt and not fallen to kSoundAt at m_at.
  bool m_was_slow = false;
};

}  // namespace steering

#endif  // LIBSTEERING_SLOW_ANSWER_EVIDENCE_H_
