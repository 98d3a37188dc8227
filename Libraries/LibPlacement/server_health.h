// Health of a backend server by its probes, and whether the server has just
// started. Logs and metrics share the names of the values.

#ifndef LIBPLACEMENT_SERVER_HEALTH_H_
#define LIBPLACEMENT_SERVER_HEALTH_H_

#include "LibBase/enum_table.h"

namespace placement {

// Result of the last health probe. Probes are delayed and may be wrong.
enum class Health {
  kHealthy,
  kUnhealthy,
  // The server itself reports that it is draining. Unlike kUnhealthy, this is
  // accepted from any share of the servers.
  kDraining,
};

inline constexpr base::EnumTable<Health, 3> kHealthNames{{
    {Health::kHealthy, "healthy"},
    {Health::kUnhealthy, "unhealthy"},
    {Health::kDraining, "draining"},
}};

// Whether an added server has been serving for some time (and only the balancer
// is new) or has just started with cold caches.
enum class ServerStart {
  kWarm,
  kCold,
};

inline constexpr base::EnumTable<ServerStart, 2> kServerStartNames{{
    {ServerStart::kWarm, "warm"},
    {ServerStart::kCold, "cold"},
}};

}  // namespace placement

#endif  // LIBPLACEMENT_SERVER_HEALTH_H_
