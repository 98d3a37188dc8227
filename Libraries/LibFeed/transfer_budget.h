// Limits the bytes of large transfers to peers, so that they leave the link to
// the packets of callers. Load: after a restart of a fleet, some 60 followers
// of a reader would each fetch a view of 225 KB over its link of 20 Mbit/s.

#ifndef LIBFEED_TRANSFER_BUDGET_H_
#define LIBFEED_TRANSFER_BUDGET_H_

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "LibBase/time.h"

namespace feed {

class TransferBudget {
 public:
  TransferBudget(double bytes_per_second, base::TimePoint now)
      : m_bytes_per_second(bytes_per_second),
        m_available_bytes(bytes_per_second),
        m_updated_at(now) {}

  // Commands.
  // Returns whether a transfer of `bytes` may start now, and counts it if so. A
  // transfer may exceed the budget, which then recovers before the next one.
  bool Take(std::size_t bytes, base::TimePoint now) {
    const double elapsed_s =
        std::chrono::duration<double>(now - m_updated_at).count();
    m_updated_at = now;
    // One second's worth may be saved up.
    m_available_bytes = std::min(
        m_bytes_per_second, m_available_bytes + elapsed_s * m_bytes_per_second);
    if (m_available_bytes <= 0)
      return false;
    m_available_bytes -= static_cast<double>(bytes);
    return true;
  }

 private:
  double m_bytes_per_second;
  double m_available_bytes;
  base::TimePoint m_updated_at;
};

}  // namespace feed

#endif  // LIBFEED_TRANSFER_BUDGET_H_
