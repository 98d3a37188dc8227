// Tracks whether the balancer is cut off from the backend servers of all other
// data centres. With hundreds of servers there, it takes seconds until the
// probes have found each of them unreachable.

#ifndef LIBSTEERING_REMOTE_REACHABILITY_H_
#define LIBSTEERING_REMOTE_REACHABILITY_H_

#include <chrono>
#include <cstdint>

#include "LibBase/time.h"

namespace steering {

class RemoteReachability {
 public:
  // Failed probes, without a sign of any server in between, after which all
  // other data centres count as cut off. A few servers may fail at once.
  static constexpr std::uint32_t kFailedProbesForCut = 4;
  // The same sign arrives from a reachable server within this time: flows to
  // other data centres make progress several times a second.
  static constexpr base::Duration kSilenceForCut =
      std::chrono::milliseconds(200);

  // Queries.
  bool IsCutOff(base::TimePoint now) const {
    return m_failed_probes >= kFailedProbesForCut &&
           now - m_failing_since >= kSilenceForCut;
  }

  // Commands.
  // A server of another data centre answered a request or a probe that was sent
  // at `asked_at`. Callers acknowledge answers late, often with their next
  // request, so an answer to a request from before the failed probes may have
  // arrived before the data centre was cut off.
  void RecordSign(base::TimePoint asked_at) {
    if (m_failed_probes > 0 && asked_at < m_failing_since)
      return;
    m_failed_probes = 0;
  }
  void RecordFailedProbe(base::TimePoint now) {
    if (m_failed_probes == 0)
      m_failing_since = now;
    ++m_failed_probes;
  }

 private:
  std::uint32_t m_failed_probes = 0;
  // When the first of these probes failed. Used only if there is one.
  base::TimePoint m_failing_since;
};

}  // namespace steering

#endif  // LIBSTEERING_REMOTE_REACHABILITY_H_
