// One flow of the emulated service: an opening and the single request on the
// flow.

#ifndef SERVICE_EMULATOR_EMULATED_FLOW_H_
#define SERVICE_EMULATOR_EMULATED_FLOW_H_

#include <cstdint>
#include <vector>

#include "LibBase/ids.h"
#include "LibBase/time.h"

namespace service_emulator {

struct EmulatedFlow {
  // Determines the rendezvous order of the servers.
  std::uint64_t m_key = 0;
  // Index of the balancer that decides about the flow.
  std::uint32_t m_home = 0;
  // Whether the flow is a feed: a long flow that occupies no slot.
  bool m_is_feed = false;
  // Run time of the request on a warm server, or the duration of a feed.
  base::Duration m_service_time{};
  // When the caller sent the current opening.
  base::TimePoint m_opened_at{};
  // When the server started to run the request.
  base::TimePoint m_started_at{};
  bool m_has_started = false;
  // The caller gave up before the request ran. The server is not informed and
  // still runs the request.
  bool m_is_abandoned = false;
  std::uint32_t m_caller_retries_left = 0;
  // The active servers in the flow's rendezvous order.
  std::vector<base::BackendServerId> m_order;
};

}  // namespace service_emulator

#endif  // SERVICE_EMULATOR_EMULATED_FLOW_H_
