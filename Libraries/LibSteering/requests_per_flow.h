// The mean number of requests on a flow of a service, among this balancer's
// callers. Older flows count less.

#ifndef LIBSTEERING_REQUESTS_PER_FLOW_H_
#define LIBSTEERING_REQUESTS_PER_FLOW_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "LibBase/time.h"

namespace steering {

class RequestsPerFlow {
 public:
  // Long enough for some hundred openings of a service on one balancer.
  static constexpr base::Duration kHalfLife = std::chrono::seconds(10);

  // Queries.
  // At least 1, and 1 before the first request.
  double Mean() const {
    // A flow and its request, which keep the mean stable after the start.
    constexpr double kPrior = 1;
    return std::max(1.0, (m_requests + kPrior) / (m_openings + kPrior));
  }

  // Commands.
  void RecordOpening(base::TimePoint now) {
    Decay(now);
    m_openings += 1;
  }
  void RecordRequest(base::TimePoint now) {
    Decay(now);
    m_requests += 1;
  }

 private:
  void Decay(base::TimePoint now) {
    const double factor = std::exp2(
        -std::chrono::duration<double>(now - m_counted_at) / kHalfLife);
    m_openings *= factor;
    m_requests *= factor;
    m_counted_at = now;
  }

  base::TimePoint m_counted_at;
  double m_openings = 0;
  double m_requests = 0;
};

}  // namespace steering

#endif  // LIBSTEERING_REQUESTS_PER_FLOW_H_
