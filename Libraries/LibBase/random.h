// A seeded pseudo-random number generator (SplitMix64). Code that needs
// randomness receives one from its caller, so that a run can be repeated from
// its seed.

#ifndef LIBBASE_RANDOM_H_
#define LIBBASE_RANDOM_H_

#include <cstdint>

#include "LibBase/hash.h"
#include "LibBase/verify.h"

namespace base {

class Random {
 public:
  explicit constexpr Random(std::uint64_t seed) : m_state(seed) {}

  // Returns the next pseudo-random number of 64 bits.
  constexpr std::uint64_t Next() {
    m_state += 0x9e3779b97f4a7c15ULL;
    return MixBits(m_state);
  }

  // Returns an integer that is uniformly distributed in [0, bound), with a
  // relative bias of at most bound / 2^64. `bound` must be at least 1.
  std::uint64_t Below(std::uint64_t bound) {
    VERIFY(bound > 0);
    return Next() % bound;
  }

  // Returns a number that is uniformly distributed in [0, 1).
  constexpr double Unit() {
    constexpr double kScale = 0x1.0p-53;
    return static_cast<double>(Next() >> 11) * kScale;
  }

 private:
  std::uint64_t m_state;
};

}  // namespace base

#endif  // LIBBASE_RANDOM_H_
