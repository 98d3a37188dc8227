// The 32-bit form of a backend server's id in load digests.

#ifndef LIBMEMBERSHIP_SHORT_SERVER_ID_H_
#define LIBMEMBERSHIP_SHORT_SERVER_ID_H_

#include <cstdint>
#include <unordered_set>

#include "LibBase/ids.h"

namespace membership {

// Returns the low 32 bits of the id. Among 20,000 servers the probability that
// any two have the same low bits is about 5%; the effect is a wrong load count.
constexpr std::uint32_t ShortServerId(base::BackendServerId server) {
  return static_cast<std::uint32_t>(server.value());
}

using ShortServerIds = std::unordered_set<std::uint32_t>;

}  // namespace membership

#endif  // LIBMEMBERSHIP_SHORT_SERVER_ID_H_
