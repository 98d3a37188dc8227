// Effect: this process did not run for a while, so its knowledge is old.

#ifndef LIBMEMBERSHIP_PAUSED_H_
#define LIBMEMBERSHIP_PAUSED_H_

#include "LibBase/time.h"

namespace membership {

struct Paused {
  base::Duration m_duration{};
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_PAUSED_H_
