// The service-level objectives, the time windows over which their burn rates
// are measured, and the event counts of one window.

#ifndef LIBOBSERVABILITY_BURN_WINDOW_H_
#define LIBOBSERVABILITY_BURN_WINDOW_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "LibBase/enum_table.h"
#include "LibBase/time.h"

namespace observability {

// A service-level objective limits the share of flows or openings that are bad
// in one way.
enum class Objective { kBrokenFlows, kRefusedOpenings, kSlowOpenings };

inline constexpr base::EnumTable<Objective, 3> kObjectiveNames{{
    {Objective::kBrokenFlows, "broken flows"},
    {Objective::kRefusedOpenings, "refused openings"},
    {Objective::kSlowOpenings, "openings above the wait bound"},
}};
inline constexpr std::size_t kObjectiveCount = kObjectiveNames.size();

enum class BurnWindow {
  kFiveMinutes,
  kThirtyMinutes,
  kOneHour,
  kSixHours,
  kThreeDays,
};

inline constexpr base::EnumTable<BurnWindow, 5> kBurnWindowNames{{
    {BurnWindow::kFiveMinutes, "5 min"},
    {BurnWindow::kThirtyMinutes, "30 min"},
    {BurnWindow::kOneHour, "1 h"},
    {BurnWindow::kSixHours, "6 h"},
    {BurnWindow::kThreeDays, "3 d"},
}};
inline constexpr std::size_t kBurnWindowCount = kBurnWindowNames.size();

// The lengths of the windows, in the order of BurnWindow.
inline constexpr std::array<base::Duration, kBurnWindowCount>
    kBurnWindowLengths{std::chrono::minutes(5), std::chrono::minutes(30),
                       std::chrono::hours(1), std::chrono::hours(6),
                       std::chrono::hours(72)};

// A number of events, and how many of them were bad for an objective.
struct EventCounts {
  std::uint64_t m_bad = 0;
  std::uint64_t m_total = 0;

  EventCounts& operator+=(const EventCounts& other) {
    m_bad += other.m_bad;
    m_total += other.m_total;
    return *this;
  }
  friend bool operator==(const EventCounts&, const EventCounts&) = default;
};

// The counts of each BurnWindow. Each window ends at the current time of the
// balancer that counted, so the counts of several balancers can be added even
// if their clocks differ.
using WindowCounts = std::array<EventCounts, kBurnWindowCount>;

}  // namespace observability

#endif  // LIBOBSERVABILITY_BURN_WINDOW_H_
