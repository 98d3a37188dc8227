// A ping that this balancer has sent and whose Ack is outstanding.

#ifndef LIBMEMBERSHIP_PENDING_PING_H_
#define LIBMEMBERSHIP_PENDING_PING_H_

#include <cstdint>
#include <variant>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"

namespace membership {

struct PendingPing {
  // Ping of a known member, to check whether the member is alive.
  struct Probe {
    base::BalancerId m_target;
    bool m_is_repeated = false;
  };
  // Ping on behalf of another member that sent a PingRequest.
  struct IndirectProbe {
    base::Endpoint m_requester;
    std::uint32_t m_requester_sequence = 0;
  };
  // Ping of an endpoint, independent of which balancer uses the endpoint.
  struct Contact {
    bool m_wants_record = false;
  };

  std::variant<Probe, IndirectProbe, Contact> m_purpose;
  base::Endpoint m_endpoint;
  base::TimePoint m_sent_at;
  base::TimePoint m_deadline;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_PENDING_PING_H_
