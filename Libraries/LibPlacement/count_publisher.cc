#include "LibPlacement/count_publisher.h"

#include <algorithm>

namespace placement {

std::optional<base::TimePoint> CountPublisher::NextDue() const {
  if (!m_published_at)
    return m_changed_at;
  const base::TimePoint earliest =
      std::max(m_paid_at - TimeToPay(m_settings.m_burst_bytes),
               *m_published_at + m_settings.m_minimum_interval);
  if (m_changed_at)
    return std::max(*m_changed_at, earliest);
  return std::max(*m_published_at + m_settings.m_refresh_interval, earliest);
}

base::Duration CountPublisher::TimeToPay(double bytes) const {
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(bytes / m_settings.m_bytes_per_second));
}

void CountPublisher::RecordChange(base::TimePoint now) {
  if (!m_changed_at)
    m_changed_at = now;
}

void CountPublisher::RecordPublished(std::size_t bytes, base::TimePoint now) {
  m_paid_at = std::max(m_paid_at, now) + TimeToPay(static_cast<double>(bytes));
  m_published_at = now;
  m_changed_at.reset();
}

}  // namespace placement
