// What a balancer knows and counts for its extra work against slow answers: the
// budget, the handshake times and the slow servers. Does nothing if the budget
// is zero. See docs/design/slow-answers.md.

#ifndef LIBSTEERING_EXTRA_OPENINGS_H_
#define LIBSTEERING_EXTRA_OPENINGS_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "LibBase/time.h"
#include "LibSteering/extra_budget.h"
#include "LibSteering/extra_reason.h"
#include "LibSteering/recent_times.h"
#include "LibSteering/slow_servers.h"

namespace steering {

// Extra openings of one reason since the start.
struct ExtraOpeningCounts {
  std::uint64_t m_sent = 0;
  // The caller's first packet after the opening had the token of the server of
  // the extra opening.
  std::uint64_t m_acknowledged = 0;
  std::uint64_t m_refused = 0;
};

class ExtraOpenings {
 public:
  // A copy is sent when the handshake takes longer than this percentage of the
  // handshakes.
  static constexpr double kCopyPercentile = 95;
  // A shorter delay would be within the delays of a busy balancer.
  static constexpr base::Duration kMinimumCopyDelay =
      std::chrono::milliseconds(5);
  // With 128 times, the 95th percentile has six times above it.
  static constexpr std::size_t kHandshakeTimes = 128;

  // `percent` is the budget in percent of the openings.
  explicit ExtraOpenings(double percent) : m_budget(percent) {}

  // Queries.
  bool IsEnabled() const { return m_budget.IsEnabled(); }
  const ExtraOpeningCounts& CountsOf(ExtraReason reason) const {
    return m_counts[static_cast<std::size_t>(reason)];
  }
  const SlowServers& slow_servers() const { return m_slow_servers; }
  // How long to wait for a handshake before a copy is sent: from
  // kMinimumCopyDelay to `longest`, which is also the result without enough
  // handshake times.
  base::Duration CopyDelay(base::Duration longest, base::TimePoint now) const;

  // Commands.
  SlowServers& slow_servers() { return m_slow_servers; }
  void CountOpening(base::TimePoint now) { m_budget.CountOpening(now); }
  // Charges the budget and counts the result. `load` is that of the service, in
  // requests in progress per slot.
  bool Take(ExtraReason reason, double load, base::TimePoint now);
  void RecordAcknowledged(ExtraReason reason) {
    ++MutableCountsOf(reason).m_acknowledged;
  }
  // `handshake_time` is the time from the first placement of an opening to the
  // caller's acknowledgement.
  void RecordHandshake(base::Duration handshake_time, base::TimePoint now) {
    m_handshakes.Add(handshake_time, now);
  }

 private:
  ExtraOpeningCounts& MutableCountsOf(ExtraReason reason) {
    return m_counts[static_cast<std::size_t>(reason)];
  }

  ExtraBudget m_budget;
  RecentTimes m_handshakes{kHandshakeTimes};
  SlowServers m_slow_servers;
  std::array<ExtraOpeningCounts, kExtraReasonNames.size()> m_counts{};
};

}  // namespace steering

#endif  // LIBSTEERING_EXTRA_OPENINGS_H_
