// A ping that this balancer has sent and that waits for its Ack.

#ifndef LIBMEMBERSHIP_PENDING_PING_H_
#define LIBMEMBERSHIP_PENDING_PING_H_

#include <cstdint>
#include <variant>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"
#include "LibBase/time.h"

namespace membership {

struct PendingPing {
  // The ping of a known member, for judging whether it is alive.
  struct Probe {
    base::BalancerId m_target;
    bool m_is_repeated = false;
  };
  // The ping made for another member that sent a PingRequest.
  struct IndirectProbe {
    base::Endpoint m_requester;
    std::uint32_t m_requester_sequence = 0;
  };
  // The ping of an endpoint, whoever may answer there.
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
