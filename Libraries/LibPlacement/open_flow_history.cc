#include "LibPlacement/open_flow_history.h"

namespace placement {

std::int64_t OpenFlowHistory::CountAt(base::TimePoint time) const {
  std::int64_t count = 0;
  for (std::size_t back = 0; back < m_size; ++back) {
    const Sample& sample = m_samples[(m_newest + kCapacity - back) % kCapacity];
    count = sample.m_count;
    if (sample.m_from <= time)
      break;
  }
  return count;
}

void OpenFlowHistory::Record(base::TimePoint now, std::int64_t count) {
  if (m_size > 0) {
    Sample& newest = m_samples[m_newest];
    if (newest.m_count == count)
      return;
    if (now - newest.m_from < kResolution) {
      newest.m_count = count;
      return;
    }
    m_newest = (m_newest + 1) % kCapacity;
  }
  m_samples[m_newest] = Sample{now, count};
  if (m_size < kCapacity)
    ++m_size;
}

}  // namespace placement
