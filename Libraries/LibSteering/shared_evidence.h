// The share of requests that a server leaves unanswered, summed over balancers.

#ifndef LIBSTEERING_SHARED_EVIDENCE_H_
#define LIBSTEERING_SHARED_EVIDENCE_H_

#include <algorithm>

#include "LibBase/time.h"

namespace steering {

class SharedEvidence {
 public:
  // A share up to this one is not held against a server. Where 3% of the
  // requests take seven times as long as others, some of them are overdue
  // before they are answered.
  static constexpr double kToleratedShare = 0.15;

  // Queries.
  // The share that counts against the server, from 0 to 1.
  double UnansweredShare(base::TimePoint now) const {
    // Called for every server on every opening.
    if (m_share <= kToleratedShare || now >= m_valid_until)
      return 0;
    return (m_share - kToleratedShare) / (1 - kToleratedShare);
  }

  // Commands.
  // Records a share that counts until `valid_until`, unless a greater one
  // counts now.
  void Set(double share, base::TimePoint valid_until, base::TimePoint now) {
    if (share <= kToleratedShare || (now < m_valid_until && share < m_share))
      return;
    m_share = std::min(share, 1.0);
    m_valid_until = valid_until;
  }

 private:
  double m_share = 0;
  base::TimePoint m_valid_until;
};

}  // namespace steering

#endif  // LIBSTEERING_SHARED_EVIDENCE_H_
