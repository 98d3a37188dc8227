// The times at which one balancer may send an opening to one cold server.

#ifndef LIBSTEERING_WARM_UP_SHARE_H_
#define LIBSTEERING_WARM_UP_SHARE_H_

#include <optional>

#include "LibBase/time.h"

namespace steering {

struct WarmUpShare {
  // The start of the next time window for an opening; unset before the server
  // is first seen cold.
  std::optional<base::TimePoint> m_next_window_at;
  // The interval between windows with which m_next_window_at was computed.
  base::Duration m_interval{};
};

}  // namespace steering

#endif  // LIBSTEERING_WARM_UP_SHARE_H_
