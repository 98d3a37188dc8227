// Whether a backend server, or a whole data centre, can be reached from this
// balancer, judged from what callers acknowledge.
//
// Answers go from server to caller directly, so silence shows as callers that
// repeat themselves. One caller may be at fault itself; several in a row
// without any progress are evidence against the server.

#ifndef LIBSTEERING_SERVER_SIGHT_H_
#define LIBSTEERING_SERVER_SIGHT_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "LibBase/time.h"

namespace steering {

class ServerSight {
 public:
  // Flows in a row that were silent before a server is suspected. With 0.1% of
  // packets lost, two losses in a row at one server are one in a million.
  static constexpr std::uint32_t kSilentFlows = 2;
  // A suspected server gets one opening in this time, so that its return
  // shows.
  static constexpr base::Duration kProbeInterval =
      std::chrono::milliseconds(500);

  // Queries.
  bool IsSuspect() const { return m_silent_flows >= kSilentFlows; }
  bool IsProbeDue(base::TimePoint now) const {
    return !m_probed_at || now - *m_probed_at >= kProbeInterval;
  }
  std::optional<base::TimePoint> LastProgress() const { return m_progress_at; }
  std::uint32_t SilentFlows() const { return m_silent_flows; }

  // Commands.
  // Return whether the judgement changed.
  bool RecordProgress(base::TimePoint now) {
    const bool was_suspect = IsSuspect();
    m_progress_at = now;
    m_silent_flows = 0;
    return was_suspect;
  }
  // `waiting_since` is when the flow sent what stayed without an answer;
  // silence older than the last progress says nothing.
  bool RecordSilence(base::TimePoint waiting_since, base::TimePoint now) {
    if (m_progress_at && *m_progress_at > waiting_since)
      return false;
    const bool was_suspect = IsSuspect();
    ++m_silent_flows;
    if (!was_suspect)
      m_probed_at = now;
    return !was_suspect && IsSuspect();
  }
  void RecordProbe(base::TimePoint now) { m_probed_at = now; }

 private:
  std::uint32_t m_silent_flows = 0;
  std::optional<base::TimePoint> m_progress_at;
  std::optional<base::TimePoint> m_probed_at;
};

}  // namespace steering

#endif  // LIBSTEERING_SERVER_SIGHT_H_
