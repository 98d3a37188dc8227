#include "LibAdmission/back_off.h"

#include <algorithm>

namespace admission {

base::Duration BackOff::Ceiling(std::uint32_t retry) const {
  base::Duration ceiling = m_settings.m_base;
  for (std::uint32_t doubling = 1; doubling < retry; ++doubling) {
    if (ceiling >= m_settings.m_maximum)
      break;
    ceiling *= 2;
  }
  return std::min(ceiling, m_settings.m_maximum);
}

base::Duration BackOff::Wait(std::uint32_t retry, base::Random& random) const {
  return std::chrono::duration_cast<base::Duration>(Ceiling(retry) *
                                                    random.Unit());
}

}  // namespace admission
