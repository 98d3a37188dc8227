// What one balancer counts of one service since it started, for the service's
// objectives.

#ifndef LIBBALANCER_SERVICE_COUNTS_H_
#define LIBBALANCER_SERVICE_COUNTS_H_

#include <cstdint>

namespace balancer {

struct ServiceCounts {
  // Openings decided here, and those of them that were refused.
  std::uint64_t m_openings = 0;
  std::uint64_t m_refused = 0;
  // Flows whose first answer was seen here, and those that waited too long.
  std::uint64_t m_answered = 0;
  std::uint64_t m_slow = 0;
  // Flows that no server had any more, so that their caller was reset.
  std::uint64_t m_broken = 0;
};

}  // namespace balancer

#endif  // LIBBALANCER_SERVICE_COUNTS_H_
