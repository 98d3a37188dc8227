// One counter of the service-level burn report. The key's meaning belongs to
// the report.

#ifndef LIBPEER_BURN_COUNTER_H_
#define LIBPEER_BURN_COUNTER_H_

#include <cstdint>

namespace peer {

struct BurnCounter {
  std::uint64_t m_key = 0;
  std::uint64_t m_value = 0;

  friend bool operator==(const BurnCounter&, const BurnCounter&) = default;
};

}  // namespace peer

#endif  // LIBPEER_BURN_COUNTER_H_
