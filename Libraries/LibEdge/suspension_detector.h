// Detects that the machine was suspended. The steady clock stops meanwhile, so
// to other machines its times seem more recent than they are.

#ifndef LIBEDGE_SUSPENSION_DETECTOR_H_
#define LIBEDGE_SUSPENSION_DETECTOR_H_

#include <chrono>

#include "LibBase/time.h"

namespace edge {

class SuspensionDetector {
 public:
  // The thread may have to wait for a processor between the readings of the two
  // clocks whose difference is the suspended time.
  static constexpr base::Duration kTolerance = std::chrono::milliseconds(2);

  // `suspended` is the time for which the machine has been suspended since it
  // booted.
  explicit SuspensionDetector(base::Duration suspended)
      : m_suspended(suspended) {}

  // Queries.
  // Whether the machine was suspended since the start or the last Reset.
  bool WasSuspended(base::Duration suspended) const {
    return suspended - m_suspended > kTolerance;
  }

  // Commands.
  void Reset(base::Duration suspended) { m_suspended = suspended; }

 private:
  base::Duration m_suspended;
};

}  // namespace edge

#endif  // LIBEDGE_SUSPENSION_DETECTOR_H_
