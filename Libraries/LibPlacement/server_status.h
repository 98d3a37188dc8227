// What a placement policy sees of one backend server.

#ifndef LIBPLACEMENT_SERVER_STATUS_H_
#define LIBPLACEMENT_SERVER_STATUS_H_

#include "LibBase/ids.h"

namespace placement {

struct ServerStatus {
  base::BackendServerId m_server;
  // Requests running and queued now, by estimate.
  double m_estimated_requests = 0.0;
  // The same as a whole number, so that servers whose estimates differ by noise
  // alone are equals.
  double m_rounded_requests = 0.0;
  // Requests running and queued in the last report, as it stands.
  double m_reported_requests = 0.0;
  // Requests at which the server counts as full; above zero.
  double m_bound = 1.0;
  // Reciprocal of m_bound, so that a choice divides nothing.
  double m_inverse_bound = 1.0;
  // The server is leaving: it is never chosen.
  bool m_is_draining = false;
  // Ejected, or unhealthy: chosen only if there is nothing else.
  bool m_is_ejected_or_unhealthy = false;
  // It has refused an opening a moment ago, or is at its connection limit.
  bool m_is_refusing = false;

  // Estimated share of the bound that is taken; 1 and above is full.
  double Utilisation() const { return m_rounded_requests * m_inverse_bound; }
  bool IsFull() const { return m_is_refusing || m_rounded_requests >= m_bound; }
};

}  // namespace placement

#endif  // LIBPLACEMENT_SERVER_STATUS_H_
