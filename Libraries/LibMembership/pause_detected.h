// Effect: this process did not run for a while, so its knowledge is old.

#ifndef LIBMEMBERSHIP_PAUSE_DETECTED_H_
#define LIBMEMBERSHIP_PAUSE_DETECTED_H_

#include "LibBase/time.h"

namespace membership {

struct PauseDetected {
  base::Duration m_duration{};
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_PAUSE_DETECTED_H_
