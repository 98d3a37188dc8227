// The routes that an operator put in force, as one versioned whole.

#ifndef LIBSTEERING_MANIFEST_H_
#define LIBSTEERING_MANIFEST_H_

#include <chrono>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"
#include "LibSteering/route.h"

namespace steering {

struct Manifest {
  // Grows with each manifest, in steps of any size. Zero means none.
  base::ConfigurationVersion m_version;
  std::vector<Route> m_routes;
  // A flow without a packet for this long may be forgotten.
  base::Duration m_idle_timeout = std::chrono::seconds(15);
};

}  // namespace steering

#endif  // LIBSTEERING_MANIFEST_H_
