// One flow of the emulated service: an opening and the one request that it
// carries.

#ifndef SERVICE_EMULATOR_EMULATED_FLOW_H_
#define SERVICE_EMULATOR_EMULATED_FLOW_H_

#include <cstdint>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace service_emulator {

struct EmulatedFlow {
  std::uint64_t m_key = 0;
  std::uint32_t m_home = 0;
  bool m_is_feed = false;
  // A request runs alone on a warm server for this time; a feed lasts so long.
  base::Duration m_service_time{};
  // When the caller sent the opening that is under way.
  base::TimePoint m_opened_at{};
  base::TimePoint m_started_at{};
  bool m_has_started = false;
  // The caller left before the request ran; nobody told the server.
  bool m_is_abandoned = false;
  std::uint32_t m_caller_retries_left = 0;
  std::vector<base::BackendServerId> m_order;
};

}  // namespace service_emulator

#endif  // SERVICE_EMULATOR_EMULATED_FLOW_H_
