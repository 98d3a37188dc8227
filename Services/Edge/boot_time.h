// The time since the machine booted, including suspension. The steady clock
// does not count suspension.

#ifndef SERVICES_EDGE_BOOT_TIME_H_
#define SERVICES_EDGE_BOOT_TIME_H_

#include <time.h>

#include <chrono>

#include "LibBase/time.h"

namespace edge {

inline base::Duration BootTime() {
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::seconds(time.tv_sec) +
      std::chrono::nanoseconds(time.tv_nsec));
}

// The time for which the machine has been suspended since it booted.
inline base::Duration SuspendedTime() {
  const base::Duration boot_time = BootTime();
  return boot_time - base::Clock::now().time_since_epoch();
}

}  // namespace edge

#endif  // SERVICES_EDGE_BOOT_TIME_H_
