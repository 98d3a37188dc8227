// The counts of one service in a burn report. The burn report defines the order
// of the counts.

#ifndef LIBPEER_SERVICE_BURN_H_
#define LIBPEER_SERVICE_BURN_H_

#include <cstdint>
#include <string>
#include <vector>

namespace peer {

struct ServiceBurn {
  // At most kMaximumNameBytes.
  std::string m_service;
  // At most kMaximumBurnCounts.
  std::vector<std::uint64_t> m_counts;

  friend bool operator==(const ServiceBurn&, const ServiceBurn&) = default;
};

}  // namespace peer

#endif  // LIBPEER_SERVICE_BURN_H_
