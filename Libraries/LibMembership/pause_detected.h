// Effect: this process was paused for a while, so its view is out of date.

#ifndef LIBMEMBERSHIP_PAUSE_DETECTED_H_
#define LIBMEMBERSHIP_PAUSE_DETECTED_H_

#include "LibBase/time.h"

namespace membership {

struct PauseDetected {
  base::Duration m_duration{};
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_PAUSE_DETECTED_H_
