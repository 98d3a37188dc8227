// Counts of one service on one balancer since the balancer's start, for the
// service-level objectives.

#ifndef LIBBALANCER_SERVICE_COUNTS_H_
#define LIBBALANCER_SERVICE_COUNTS_H_

#include <cstdint>

namespace balancer {

struct ServiceCounts {
  // Openings decided here, and those of them that were refused.
  std::uint64_t m_openings = 0;
  std::uint64_t m_refused = 0;
  // Flows whose first answer was seen here, and those of them whose caller
  // waited longer than the wait bound.
  std::uint64_t m_answered = 0;
  std::uint64_t m_slow = 0;
  // Flows whose caller was reset because no server had the flow any more or
  // because the flow was silent.
  std::uint64_t m_broken = 0;
};

}  // namespace balancer

#endif  // LIBBALANCER_SERVICE_COUNTS_H_
