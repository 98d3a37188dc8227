// The number of flows open at one server over the last few seconds. An old load
// report is compared with the number at the time when the report was measured.

#ifndef LIBPLACEMENT_OPEN_FLOW_HISTORY_H_
#define LIBPLACEMENT_OPEN_FLOW_HISTORY_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

#include "LibBase/time.h"

namespace placement {

class OpenFlowHistory {
 public:
  // Queries.
  // Returns the last count recorded at or before `time`. Returns the oldest
  // record for an earlier time, and zero if there are no records.
  std::int64_t CountAt(base::TimePoint time) const;

  // Commands.
  // Records the count that is valid from `now` on. `now` never decreases
  // between calls. A count less than kResolution after the last record replaces
  // that record's count.
  void Record(base::TimePoint now, std::int64_t count);

 private:
  // Number of samples kept; at kResolution they cover at least 2.5 s.
  static constexpr std::size_t kCapacity = 128;
  static constexpr base::Duration kResolution = std::chrono::milliseconds(20);

  struct Sample {
    base::TimePoint m_from;
    std::int64_t m_count = 0;
  };

  std::array<Sample, kCapacity> m_samples{};
  std::size_t m_newest = 0;
  std::size_t m_size = 0;
};

}  // namespace placement

#endif  // LIBPLACEMENT_OPEN_FLOW_HISTORY_H_
