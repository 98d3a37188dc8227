// Finds out that the process stood still, from two clocks: the steady clock
// stops while a VM is suspended, the boot-time clock goes on.

#ifndef LIBEDGE_PAUSE_DETECTOR_H_
#define LIBEDGE_PAUSE_DETECTOR_H_

#include <chrono>
#include <optional>

#include "LibBase/time.h"

namespace edge {

class PauseDetector {
 public:
  // A loop that sweeps every 100 ms and takes this long between two looks has
  // not merely been slow.
  static constexpr base::Duration kMinimumPause =
      std::chrono::milliseconds(1000);

  // The time that passed unnoticed since the last look, if it was a pause.
  // `boot_time` is the time since the machine's start, suspension included.
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
