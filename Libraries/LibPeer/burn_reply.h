// Reply to a BurnRequest: the counts of the service-level burn report of one
// balancer, or their sum over a data centre. Sent by stream only.

#ifndef LIBPEER_BURN_REPLY_H_
#define LIBPEER_BURN_REPLY_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "LibPeer/service_burn.h"

namespace peer {

struct BurnReply {
  // The number of balancers that should be in the sum, and of those that are.
  std::uint32_t m_expected = 0;
  std::uint32_t m_answered = 0;
  // The time for which the balancer that was started last has counted.
  std::chrono::milliseconds m_shortest_counting_time{0};
  // The names of balancers that are not in the sum: at most
  // kMaximumMissingBalancers names of at most kMaximumNameBytes.
  std::vector<std::string> m_missing;
  // At most kMaximumBurnServices.
  std::vector<ServiceBurn> m_services;

  friend bool operator==(const BurnReply&, const BurnReply&) = default;
};

}  // namespace peer

#endif  // LIBPEER_BURN_REPLY_H_
