// Bounds of the load exchange.

#ifndef LIBLOADEXCHANGE_LIMITS_H_
#define LIBLOADEXCHANGE_LIMITS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "LibBase/time.h"

namespace load_exchange {

inline constexpr std::size_t kMaximumReportBytes = 300;
inline constexpr std::size_t kMaximumSumsBytes = 500;
inline constexpr std::size_t kMaximumServices = 16;
inline constexpr std::size_t kMaximumReportedServers = 8;
// A datagram of sums has no space for more.
inline constexpr std::size_t kMaximumSummedServers = 48;
inline constexpr std::size_t kMaximumDataCentres = 16;
// Above the design target of 7,500 balancers.
inline constexpr std::uint32_t kMaximumBalancers = 10'000;
// The bounds on what one balancer can report of a service.
inline constexpr std::uint32_t kMaximumRequestsInProgress = 100'000;
inline constexpr std::uint32_t kMaximumOpeningsPerSecond = 50'000;
// The weight of one balancer in the evaluation of a server, in requests. It
// bounds the effect of a false report.
inline constexpr double kMaximumEvidence = 20;

// A report counts for this long. A balancer that polls two readers in turn
// sends one to each every 1.3 s.
inline constexpr base::Duration kReportLifetime =
    std::chrono::milliseconds(2500);
// The sums of a data centre count for this long. They pass through an
// announcement and two polls before they reach all balancers.
inline constexpr base::Duration kSumsLifetime = std::chrono::seconds(5);

}  // namespace load_exchange

#endif  // LIBLOADEXCHANGE_LIMITS_H_
