// Decides when a balancer tells its peers of its counts of open flows: at once
// after a change, but not more often than an interval and a budget of bytes
// permit, and from time to time without a change, so that a lost message is
// made good.

#ifndef LIBPLACEMENT_COUNT_PUBLISHER_H_
#define LIBPLACEMENT_COUNT_PUBLISHER_H_

#include <chrono>
#include <cstddef>
#include <optional>

#include "LibBase/time.h"

namespace placement {

struct CountPublisherSettings {
  // Changes within this time go into one message.
  base::Duration m_minimum_interval = std::chrono::milliseconds(50);
  // Counts are told again after this time without a change.
  base::Duration m_refresh_interval = std::chrono::seconds(1);
  // Mean bytes a second that may be sent, over all peers together.
  double m_bytes_per_second = 2000.0;
  // Bytes that may be sent ahead of the budget.
  double m_burst_bytes = 2000.0;
};

class CountPublisher {
 public:
  explicit CountPublisher(CountPublisherSettings settings)
      : m_settings(settings) {}

  // Queries.
  // When to publish next; a time that has passed means now. Nothing before the
  // first change.
  std::optional<base::TimePoint> NextDue() const;

  // Commands.
  void RecordChange(base::TimePoint now);
  // The counts have been sent; `bytes` is the sum over all peers.
  void RecordPublished(std::size_t bytes, base::TimePoint now);

 private:
  // For how long the budget pays for this.
  base::Duration TimeToPay(double bytes) const;

  CountPublisherSettings m_settings;
  std::optional<base::TimePoint> m_changed_at;
  std::optional<base::TimePoint> m_published_at;
  // When the budget has paid for everything sent so far.
  base::TimePoint m_paid_at = base::TimePoint::min();
};

}  // namespace placement

#endif  // LIBPLACEMENT_COUNT_PUBLISHER_H_
