// Whether a backend server can be reached from this balancer.
//
// Answers go from server to caller directly, so a server that died or was cut
// off shows only as callers that repeat themselves, as they also do while a
// living server is slow. Repetition therefore only raises a doubt; a probe of
// the server settles it, and any progress of a flow settles it too.

#ifndef LIBSTEERING_SERVER_REACHABILITY_H_
#define LIBSTEERING_SERVER_REACHABILITY_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "LibBase/enum_table.h"
#include "LibBase/time.h"

namespace steering {

enum class ProbeResult {
  // Something answers at the server's address; it may be busy.
  kAnswered,
  kSilent,
  // Another server answers there: this one has ended.
  kOtherServer,
};

inline constexpr base::EnumTable<ProbeResult, 3> kProbeResultNames{{
    {ProbeResult::kAnswered, "answered"},
    {ProbeResult::kSilent, "silent"},
    {ProbeResult::kOtherServer, "other_server"},
}};

class ServerReachability {
 public:
  // Probes in a row that fail before a server counts as unreachable: one may
  // be lost on the way (0.1% to 2.5% of packets on the links seen).
  static constexpr std::uint32_t kUnreachableThreshold = 2;
  // After a probe that succeeded, doubts wait this long for the next one.
  // Probes have a price, and a slow server raises many doubts.
  static constexpr base::Duration kReachableProbeInterval =
      std::chrono::milliseconds(1000);
  // How often an unreachable server is probed, so that its return shows.
  static constexpr base::Duration kUnreachableProbeInterval =
      std::chrono::milliseconds(400);

  // Queries.
  bool IsUnreachable() const {
    return m_failed_probes >= kUnreachableThreshold;
  }
  // A probe failed or is due: no place for an opening if there is another.
  bool HasFailedProbe() const { return m_failed_probes > 0; }
  // A probe is open or still to come.
  bool NeedsProbing() const {
    return m_is_suspected || m_is_probe_in_progress || m_failed_probes > 0;
  }
  bool IsProbeDue(base::TimePoint now) const {
    const bool has_reason = m_is_suspected || m_failed_probes > 0;
    return has_reason && !m_is_probe_in_progress && now >= m_next_probe_at;
  }
  std::optional<base::TimePoint> LastProgress() const {
    return m_last_progress_at;
  }
  std::uint32_t FailedProbes() const { return m_failed_probes; }

  // Commands. They return whether IsUnreachable changed.
  // A caller got something from the server that it had waited for.
  bool RecordProgress(base::TimePoint now) {
    m_last_progress_at = now;
    return MarkReachable();
  }
  // A caller waits in vain since `waiting_since`. Silence that began before
  // the last progress says nothing.
  void RecordSuspicion(base::TimePoint waiting_since) {
    if (!m_last_progress_at || *m_last_progress_at <= waiting_since)
      m_is_suspected = true;
  }
  void RecordProbeStart() { m_is_probe_in_progress = true; }
  bool RecordProbeResult(ProbeResult result, base::TimePoint now) {
    m_is_probe_in_progress = false;
    if (result == ProbeResult::kAnswered) {
      m_next_probe_at = now + kReachableProbeInterval;
      return MarkReachable();
    }
    const bool was_unreachable = IsUnreachable();
    // An answer of another server is no loss on the way.
    m_failed_probes +=
        result == ProbeResult::kSilent ? 1 : kUnreachableThreshold;
    if (IsUnreachable())
      m_next_probe_at = now + kUnreachableProbeInterval;
    return IsUnreachable() != was_unreachable;
  }

 private:
  bool MarkReachable() {
    const bool was_unreachable = IsUnreachable();
    m_is_suspected = false;
    m_failed_probes = 0;
    return was_unreachable;
  }

  bool m_is_suspected = false;
  bool m_is_probe_in_progress = false;
  std::uint32_t m_failed_probes = 0;
  base::TimePoint m_next_probe_at;
  std::optional<base::TimePoint> m_last_progress_at;
};

}  // namespace steering

#endif  // LIBSTEERING_SERVER_REACHABILITY_H_
