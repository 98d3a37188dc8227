// The short form of a backend server's id in load digests.

#ifndef LIBMEMBERSHIP_SHORT_SERVER_ID_H_
#define LIBMEMBERSHIP_SHORT_SERVER_ID_H_

#include <cstdint>
#include <unordered_set>

#include "LibBase/ids.h"

namespace membership {

// The low 32 bits: among 20,000 servers the chance that any two share them is
// about 5%, and the harm is a wrong load figure.
constexpr std::uint32_t ShortServerId(base::BackendServerId server) {
  return static_cast<std::uint32_t>(server.value());
}

using ShortServerIds = std::unordered_set<std::uint32_t>;

}  // namespace membership

#endif  // LIBMEMBERSHIP_SHORT_SERVER_ID_H_
