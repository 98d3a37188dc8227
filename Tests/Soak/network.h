// The loopback addresses of one soak. Soaks with different network numbers
// share no address.

#ifndef TESTS_SOAK_NETWORK_H_
#define TESTS_SOAK_NETWORK_H_

#include <cstdint>

#include "LibBase/ipv4.h"

namespace soak {

inline constexpr std::uint16_t kPacketPort = 18172;
inline constexpr std::uint16_t kReadinessPort = 18167;
inline constexpr std::uint16_t kControlPort = 18166;
inline constexpr std::uint16_t kMetricsPort = 17720;
inline constexpr std::uint16_t kServerPort = 18080;
inline constexpr std::uint16_t kStorePort = 18169;

struct Network {
  base::Ipv4Address Caller(std::uint32_t index) const { return At(0, index); }
  base::Ipv4Address Edge(std::uint32_t index) const { return At(1, index); }
  base::Ipv4Address Server(std::uint32_t index) const { return At(2, index); }
  base::Endpoint Store() const { return {At(3, 0), kStorePort}; }
  // The proxy between one balancer and the store.
  base::Endpoint StoreProxy(std::uint32_t edge) const {
    return {At(3, edge + 1), kStorePort};
  }

  std::uint32_t m_number = 0;

 private:
  base::Ipv4Address At(std::uint32_t group, std::uint32_t index) const {
    constexpr std::uint32_t kLoopback = 127U << 24;
    return base::Ipv4Address(kLoopback | (m_number << 16) | (group << 8) |
                             (index + 1));
  }
};

}  // namespace soak

#endif  // TESTS_SOAK_NETWORK_H_
