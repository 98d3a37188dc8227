// The loopback addresses and ports of one run. Runs with different network
// numbers share no address.

#ifndef REVIEW_HARNESS_NETWORK_H_
#define REVIEW_HARNESS_NETWORK_H_

#include <cstdint>

#include "../../Libraries/LibBase/ipv4.h"

namespace review {

inline constexpr std::uint16_t kPacketPort = 8172;
inline constexpr std::uint16_t kReadinessPort = 8167;
inline constexpr std::uint16_t kControlPort = 8166;
inline constexpr std::uint16_t kServerPort = 8080;
inline constexpr std::uint16_t kStorePort = 8169;

struct Network {
  base::Endpoint Requester() const { return {At(0, 0), kPacketPort}; }
  base::Ipv4Address Machine(std::uint32_t index) const { return At(1, index); }
  base::Endpoint Server(std::uint32_t index) const {
    return {At(2, index), kServerPort};
  }
  // The store's address as one machine sees it, so that the path of one machine
  // can be disturbed.
  base::Endpoint StoreFor(std::uint32_t machine) const {
    return {At(3, machine), kStorePort};
  }

  std::uint32_t m_number = 0;

 private:
  base::Ipv4Address At(std::uint32_t group, std::uint32_t index) const {
    constexpr std::uint32_t kLoopback = 127U << 24;
    return base::Ipv4Address(kLoopback | (m_number << 16) | (group << 8) |
                             (index + 1));
  }
};

// The address of a route on the platform; no socket has it.
inline base::Endpoint RouteAddress(std::uint32_t route) {
  constexpr std::uint32_t kFirst = (127U << 24) | (1U << 16);
  constexpr std::uint16_t kPort = 443;
  return {base::Ipv4Address(kFirst + route), kPort};
}

}  // namespace review

#endif  // REVIEW_HARNESS_NETWORK_H_
