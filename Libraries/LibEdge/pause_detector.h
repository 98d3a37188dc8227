// Detects that the process was paused, for example because its VM was
// suspended. Uses the boot-time clock, which advances while the VM is
// suspended; the steady clock stops.

#ifndef LIBEDGE_PAUSE_DETECTOR_H_
#define LIBEDGE_PAUSE_DETECTOR_H_

#include <chrono>
#include <optional>

#include "LibBase/time.h"

namespace edge {

class PauseDetector {
 public:
  // The event loop calls DetectPause every 100 ms. An interval of this length
  // is too long for a loop that is only slow.
  static constexpr base::Duration kMinimumPause =
      std::chrono::milliseconds(1000);

  // Returns the time since the previous call if the process was paused in
  // between. `boot_time` is the time since the machine booted, including
  // suspension.
  std::optional<base::Duration> DetectPause(base::Duration boot_time) {
    const auto previous = m_last_boot_time;
    m_last_boot_time = boot_time;
    if (!previous || boot_time - *previous < kMinimumPause)
      return std::nullopt;
    return boot_time - *previous;
  }

 private:
  std::optional<base::Duration> m_last_boot_time;
};

}  // namespace edge

#endif  // LIBEDGE_PAUSE_DETECTOR_H_
