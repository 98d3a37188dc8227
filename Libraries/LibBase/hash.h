// Hash functions that give the same value on every balancer, so that balancers
// reach the same decisions from them without communication. They do not resist
// adversaries that choose the input.

#ifndef LIBBASE_HASH_H_
#define LIBBASE_HASH_H_

#include <cstdint>
#include <string_view>

#include "LibBase/ids.h"

namespace base {

// Spreads every bit of `value` over the whole result. This is the finaliser of
// SplitMix64 (Steele, Lea and Flood, OOPSLA 2014).
constexpr std::uint64_t MixBits(std::uint64_t value) {
  value ^= value >> 30;
  value *= 0xbf58476d1ce4e5b9ULL;
  value ^= value >> 27;
  value *= 0x94d049bb133111ebULL;
  return value ^ (value >> 31);
}

// Equals CombineHashes(first, second) where `mixed_second` is MixBits(second).
constexpr std::uint64_t CombineMixedHash(std::uint64_t first,
                                         std::uint64_t mixed_second) {
  return MixBits(first + 0x9e3779b97f4a7c15ULL + mixed_second);
}

// Returns one hash of two values. The order of the values matters.
constexpr std::uint64_t CombineHashes(std::uint64_t first,
                                      std::uint64_t second) {
  return CombineMixedHash(first, MixBits(second));
}

// Returns the FNV-1a hash of the bytes of `text`, passed through MixBits.
std::uint64_t HashString(std::string_view text);

// Each returns the id that ids.h describes.
ServiceId MakeServiceId(std::string_view service_name);
BackendServerId MakeBackendServerId(std::string_view service_name,
                                    std::string_view server_name,
                                    std::uint64_t incarnation);

}  // namespace base

#endif  // LIBBASE_HASH_H_
