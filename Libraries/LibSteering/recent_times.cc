#include "LibSteering/recent_times.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace steering {

std::vector<base::Duration> RecentTimes::Valid(base::TimePoint now) const {
  std::vector<base::Duration> times;
  times.reserve(m_entries.size());
  for (const Entry& entry : m_entries) {
    if (now - entry.m_at <= kMaximumAge)
      times.push_back(entry.m_time);
  }
  if (times.size() < kMinimumTimes)
    times.clear();
  return times;
}

std::optional<base::Duration> RecentTimes::Percentile(
    double percent,
    base::TimePoint now) const {
  std::vector<base::Duration> times = Valid(now);
  if (times.empty())
    return std::nullopt;
  const double rank =
      std::ceil(percent / 100 * static_cast<double>(times.size()));
  const auto index = std::clamp<std::ptrdiff_t>(
      static_cast<std::ptrdiff_t>(rank) - 1, 0, std::ssize(times) - 1);
  std::nth_element(times.begin(), times.begin() + index, times.end());
  return times[static_cast<std::size_t>(index)];
}

std::optional<double> RecentTimes::ShareAbove(base::Duration limit,
                                              base::TimePoint now) const {
  const std::vector<base::Duration> times = Valid(now);
  if (times.empty())
    return std::nullopt;
  const auto above = std::ranges::count_if(
      times, [limit](base::Duration time) { return time > limit; });
  return static_cast<double>(above) / static_cast<double>(times.size());
}

void RecentTimes::Add(base::Duration time, base::TimePoint now) {
  if (m_entries.size() < m_capacity) {
    m_entries.push_back({now, time});
    return;
  }
  m_entries[m_next] = {now, time};
  m_next = (m_next + 1) % m_capacity;
}

}  // namespace steering
