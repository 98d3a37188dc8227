#include "LibObservability/rate_limiter.h"

namespace observability {

bool RateLimiter::Admit(Event event,
                        std::string_view key,
                        base::TimePoint now) {
  Window& window = FindOrCreateWindow(event, key, now);
  if (now - window.m_start >= m_limits.m_window) {
    window.m_start = now;
    window.m_occurrences = 0;
  }
  ++window.m_occurrences;
  if (window.m_occurrences <= m_limits.m_lines_per_window)
    return true;
  ++window.m_suppressed;
  return false;
}

std::vector<RateLimiter::Summary> RateLimiter::CollectSummaries(
    base::TimePoint now) {
  std::vector<Summary> summaries;
  for (auto entry = m_windows.begin(); entry != m_windows.end();) {
    const auto& [key, window] = *entry;
    if (now - window.m_start < m_limits.m_window) {
      ++entry;
      continue;
    }
    if (window.m_suppressed > 0)
      summaries.push_back({key.first, key.second, window.m_suppressed});
    entry = m_windows.erase(entry);
  }
  return summaries;
}

RateLimiter::Window& RateLimiter::FindOrCreateWindow(Event event,
                                                     std::string_view key,
                                                     base::TimePoint now) {
  const Key exact{event, std::string(key)};
  const auto known = m_windows.find(exact);
  if (known != m_windows.end())
    return known->second;
  const bool full = m_windows.size() >= m_limits.m_max_keys;
  const Key& used = full ? Key{event, std::string()} : exact;
  return m_windows.try_emplace(used, Window{now}).first->second;
}

}  // namespace observability
