#include "LibFlow/token_bucket.h"

#include <algorithm>
#include <chrono>

namespace flow {

bool TokenBucket::Take(base::TimePoint now) {
  const std::chrono::duration<double> elapsed = now - m_refilled;
  m_refilled = now;
  m_tokens = std::min(m_tokens_per_second,
                      m_tokens + elapsed.count() * m_tokens_per_second);
  if (m_tokens < 1)
    return false;
  m_tokens -= 1;
  return true;
}

}  // namespace flow
