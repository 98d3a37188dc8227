// How many flows were open at a server in the last few seconds, so that an old
// load report can be compared with what was known when it was measured.

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
  // The count recorded last at or before `time`. Times before the oldest
  // record get the oldest; zero if nothing is recorded.
  std::int64_t CountAt(base::TimePoint time) const;

  // Commands.
  // Records the count that holds from `now` on; times never decrease. Counts
  // closer than kResolution to the last record replace it.
  void Record(base::TimePoint now, std::int64_t count);

 private:
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
