// The state of one backend server on which placement policies decide.

#ifndef LIBPLACEMENT_SERVER_STATUS_H_
#define LIBPLACEMENT_SERVER_STATUS_H_

#include "LibBase/ids.h"

namespace placement {

struct ServerStatus {
  base::BackendServerId m_server;
  // Estimated number of requests running and queued now.
  double m_estimated_requests = 0.0;
  // m_estimated_requests rounded to a whole number, so that servers whose
  // estimates differ only by noise compare equal.
  double m_rounded_requests = 0.0;
  // Requests running and queued in the last load report, without correction.
  double m_reported_requests = 0.0;
  // Number of requests at which the server is full; above zero.
  double m_bound = 1.0;
  // Reciprocal of m_bound, precomputed to avoid divisions per choice.
  double m_inverse_bound = 1.0;
  // A draining server is never chosen.
  bool m_is_draining = false;
  // An ejected or unhealthy server is chosen only if no server of the flow's
  // order is healthy.
  bool m_is_ejected_or_unhealthy = false;
  // The server recently refused an opening or has reached its connection limit.
  bool m_is_refusing = false;

  // Estimated requests as a share of the bound; the server is full from 1.
  double Utilisation() const { return m_rounded_requests * m_inverse_bound; }
  bool IsFull() const { return m_is_refusing || m_rounded_requests >= m_bound; }
};

}  // namespace placement

#endif  // LIBPLACEMENT_SERVER_STATUS_H_
