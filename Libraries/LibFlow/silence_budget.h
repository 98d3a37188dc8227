// Limits the control traffic of the detection of silent flows. A mass loss
// slows the detection down and does not increase the traffic.

#ifndef LIBFLOW_SILENCE_BUDGET_H_
#define LIBFLOW_SILENCE_BUDGET_H_

#include <cstddef>

#include "LibBase/time.h"

namespace flow {

class SilenceBudget {
 public:
  SilenceBudget(double bytes_per_second,
                double burst_bytes,
                base::TimePoint now)
      : m_bytes_per_second(bytes_per_second),
        m_burst_bytes(burst_bytes),
        m_bytes(burst_bytes),
        m_refilled(now) {}

  // How many of `wanted` streams a request to `peers` balancers may contain
  // now.
  std::size_t AffordableStreams(std::size_t wanted, std::size_t peers) const;
  bool CanReply(std::size_t streams) const;

  void Refill(base::TimePoint now);
  void SpendOnRequest(std::size_t streams, std::size_t peers);
  void SpendOnReply(std::size_t streams);

 private:
  double m_bytes_per_second;
  double m_burst_bytes;
  double m_bytes;
  base::TimePoint m_refilled;
};

}  // namespace flow

#endif  // LIBFLOW_SILENCE_BUDGET_H_
