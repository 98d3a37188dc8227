// Tracks whether a backend server can be reached from this balancer.
//
// Answers go from the server to the caller directly. When a server fails or is
// cut off, the balancer only sees that callers retransmit, and callers also
// retransmit to a server that is merely slow. A retransmission therefore makes
// a server suspected. A probe of the server, or progress of any of its flows,
// decides whether the server is reachable.

#ifndef LIBSTEERING_SERVER_REACHABILITY_H_
#define LIBSTEERING_SERVER_REACHABILITY_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "LibBase/enum_table.h"
#include "LibBase/time.h"

namespace steering {

enum class ProbeResult {
  // A server accepted the connection. The server may be too busy to respond.
  kAnswered,
  // No server accepted the connection in time. Inconclusive if the balancer's
  // own link carried a bulk transfer meanwhile.
  kSilent,
  // Another server responds at the address, so the probed server has ended.
  kOtherServer,
  // The balancer could not send the probe.
  kNotSent,
};

inline constexpr base::EnumTable<ProbeResult, 4> kProbeResultNames{{
    {ProbeResult::kAnswered, "answered"},
    {ProbeResult::kSilent, "silent"},
    {ProbeResult::kOtherServer, "other_server"},
    {ProbeResult::kNotSent, "not_sent"},
}};

class ServerReachability {
 public:
  // Consecutive failed probes after which a server counts as unreachable. A
  // single probe may be lost (0.1% to 2.5% of packets on the observed links).
  static constexpr std::uint32_t kUnreachableThreshold = 2;
  // How long a probe waits for a connection: several round trips between data
  // centres, of about 11 ms each.
  static constexpr base::Duration kProbeTimeout = std::chrono::milliseconds(80);
  // The same for a probe after a failed one. A queue on the balancer's link or
  // at a busy server delays a connection by up to 200 ms, and consecutive
  // probes then fail together. Two probes still end before the caller's second
  // retransmission, which is 600 ms after its request.
  static constexpr base::Duration kConfirmingProbeTimeout =
      std::chrono::milliseconds(280);
  // The least time from a successful probe to the next probe. Probes cost
  // processor time, and a slow server is suspected often.
  static constexpr base::Duration kReachableProbeInterval =
      std::chrono::milliseconds(1000);
  // The time between probes of an unreachable server. The probes find out when
  // the server is reachable again.
  static constexpr base::Duration kUnreachableProbeInterval =
      std::chrono::milliseconds(400);

  // A bulk transfer on the balancer's link delays a connection by more than a
  // probe waits. A probe without a connection is inconclusive if the balancer
  // received at least this much of response bodies meanwhile: a link of
  // 10 Mbit/s carries it in 50 ms.
  static constexpr std::uint64_t kBulkTransferBytes = 64UL * 1024UL;
  // Failed probes count again this long after the server became suspected, so
  // that a transfer without end does not keep a dead server in use. The bound
  // covers a manifest of 0.9 MB, which takes 1.2 s at 10 Mbit/s.
  static constexpr base::Duration kMaximumInconclusiveTime =
      std::chrono::milliseconds(2000);

  // Queries.
  bool IsUnreachable() const {
    return m_failed_probes >= kUnreachableThreshold;
  }
  // The last probe failed, and no flow has made progress since. Such a server
  // gets an opening only if there is no other server.
  bool HasFailedProbe() const { return m_failed_probes > 0; }
  // A probe is in progress or necessary.
  bool NeedsProbing() const {
    return m_suspected_since || m_is_probe_in_progress || m_failed_probes > 0;
  }
  bool IsProbeDue(base::TimePoint now) const {
    const bool has_reason = m_suspected_since || m_failed_probes > 0;
    return has_reason && !m_is_probe_in_progress && now >= m_next_probe_at;
  }
  std::optional<base::TimePoint> LastProgress() const {
    return m_last_progress_at;
  }
  std::uint32_t FailedProbes() const { return m_failed_probes; }
  // Nothing if the server is not suspected.
  std::optional<base::TimePoint> SuspectedSince() const {
    return m_suspected_since;
  }
  // How long the next probe waits for a connection. The longer wait after an
  // inconclusive probe leaves the probe budget to more servers.
  base::Duration NextProbeTimeout() const {
    return HasFailedProbe() || m_was_inconclusive ? kConfirmingProbeTimeout
                                                  : kProbeTimeout;
  }
  // Whether a probe that ended with `result` at `now` proves nothing.
  // `received_bytes` are the bytes of response bodies that the balancer
  // received during the probe.
  bool IsInconclusive(ProbeResult result,
                      std::uint64_t received_bytes,
                      base::TimePoint now) const {
    return result == ProbeResult::kSilent &&
           received_bytes >= kBulkTransferBytes &&
           (!m_suspected_since ||
            now - *m_suspected_since < kMaximumInconclusiveTime);
  }

  // Commands. Those with a result return whether IsUnreachable changed.
  // Records that a caller received an answer of the server.
  bool RecordProgress(base::TimePoint now) {
    m_last_progress_at = now;
    return MarkReachable();
  }
  // Records that a caller has waited for an answer since `waiting_since`. A
  // wait that began before the last progress does not make the server
  // suspected.
  void RecordSuspicion(base::TimePoint waiting_since, base::TimePoint now) {
    const bool is_new =
        !m_last_progress_at || *m_last_progress_at <= waiting_since;
    if (is_new && !m_suspected_since)
      m_suspected_since = now;
  }
  // The owner must report the probe's result with RecordProbeResult.
  void RecordProbeStart() { m_is_probe_in_progress = true; }
  // An inconclusive probe is repeated, and the server stays suspected. A failed
  // probe before it no longer counts.
  bool RecordProbeResult(ProbeResult result,
                         base::TimePoint now,
                         std::uint64_t received_bytes = 0) {
    m_is_probe_in_progress = false;
    if (result == ProbeResult::kNotSent) {
      m_next_probe_at = now + kUnreachableProbeInterval;
      return false;
    }
    if (result == ProbeResult::kAnswered) {
      m_next_probe_at = now + kReachableProbeInterval;
      return MarkReachable();
    }
    const bool was_unreachable = IsUnreachable();
    m_was_inconclusive = IsInconclusive(result, received_bytes, now);
    if (m_was_inconclusive) {
      // Progress during the probe may have ended the suspicion. The bound on
      // the inconclusive probes needs a start.
      m_suspected_since = m_suspected_since.value_or(now);
      // The transfer may also have caused the failure of the probe before, so
      // that only probes in a row count.
      if (was_unreachable)
        m_next_probe_at = now + kUnreachableProbeInterval;
      else
        m_failed_probes = 0;
      return false;
    }
    // A response of another server can't be a lost probe, so one is enough.
    m_failed_probes +=
        result == ProbeResult::kSilent ? 1 : kUnreachableThreshold;
    if (IsUnreachable())
      m_next_probe_at = now + kUnreachableProbeInterval;
    return IsUnreachable() != was_unreachable;
  }

 private:
  // Returns whether the server was unreachable.
  bool MarkReachable() {
    const bool was_unreachable = IsUnreachable();
    m_suspected_since.reset();
    m_was_inconclusive = false;
    m_failed_probes = 0;
    return was_unreachable;
  }

  std::optional<base::TimePoint> m_suspected_since;
  bool m_is_probe_in_progress = false;
  // The last probe was inconclusive.
  bool m_was_inconclusive = false;
  std::uint32_t m_failed_probes = 0;
  // The earliest time of the next probe.
  base::TimePoint m_next_probe_at;
  std::optional<base::TimePoint> m_last_progress_at;
};

}  // namespace steering

#endif  // LIBSTEERING_SERVER_REACHABILITY_H_
