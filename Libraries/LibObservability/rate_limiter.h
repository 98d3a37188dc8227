// Limits how often one event is logged for one key, and counts what was left
// out. Pure: the time is passed in, and the owner writes the summaries.

#ifndef LIBOBSERVABILITY_RATE_LIMITER_H_
#define LIBOBSERVABILITY_RATE_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibBase/time.h"
#include "LibObservability/event.h"

namespace observability {

class RateLimiter {
 public:
  struct Limits {
    std::uint64_t m_lines_per_window = 5;
    base::Duration m_window = std::chrono::seconds(10);
    // Keys beyond this number share one entry with an empty key.
    std::size_t m_max_keys = 1024;
  };

  struct Summary {
    Event m_event;
    std::string m_key;
    std::uint64_t m_suppressed;
  };

  RateLimiter() = default;
  explicit RateLimiter(const Limits& limits) : m_limits(limits) {}

  // Counts one occurrence and returns whether to log it: true for the first
  // lines of each window.
  bool Admit(Event event, std::string_view key, base::TimePoint now);

  // Removes the windows that have ended and returns one summary for each that
  // left something out.
  std::vector<Summary> CollectSummaries(base::TimePoint now);

 private:
  using Key = std::pair<Event, std::string>;
  struct Window {
    base::TimePoint m_start;
    std::uint64_t m_occurrences = 0;
    // Left out in this window and in earlier ones not yet reported.
    std::uint64_t m_suppressed = 0;
  };

  Window& FindOrCreateWindow(Event event,
                             std::string_view key,
                             base::TimePoint now);

  Limits m_limits;
  std::map<Key, Window> m_windows;
};

}  // namespace observability

#endif  // LIBOBSERVABILITY_RATE_LIMITER_H_
