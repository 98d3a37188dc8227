// Limits how often an event is logged for each key and counts the suppressed
// lines. The caller chooses the keys, for example the names of services. The
// class does no I/O and reads no clock: the caller passes the time in and
// writes the summaries.

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
    // Once this many keys are stored, all new keys of an event share one entry
    // with an empty key.
    std::size_t m_max_keys = 1024;
  };

  struct Summary {
    Event m_event;
    std::string m_key;
    std::uint64_t m_suppressed;
  };

  RateLimiter() = default;
  explicit RateLimiter(const Limits& limits) : m_limits(limits) {}

  // Counts one occurrence of `event` for `key` and returns whether to log it:
  // true for the first m_lines_per_window occurrences of each window.
  bool Admit(Event event, std::string_view key, base::TimePoint now);

  // Removes the windows that ended by `now` and returns a summary of each
  // removed window with suppressed lines.
  std::vector<Summary> CollectSummaries(base::TimePoint now);

 private:
  using Key = std::pair<Event, std::string>;
  struct Window {
    base::TimePoint m_start;
    std::uint64_t m_occurrences = 0;
    // Suppressed in this window and in earlier windows that no summary has
    // reported.
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
