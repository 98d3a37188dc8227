// What the control state says about one backend server: its health as probes
// see it, and whether it has just started. Names are shared by logs and
// metrics.

#ifndef LIBPLACEMENT_SERVER_HEALTH_H_
#define LIBPLACEMENT_SERVER_HEALTH_H_

#include "LibBase/enum_table.h"

namespace placement {

// The answer of the last health probe. Probes lag and may mislead.
enum class Health {
  kHealthy,
  kUnhealthy,
  // The server itself says that it leaves. Unlike kUnhealthy this is believed
  // of any number of servers.
  kDraining,
};

inline constexpr base::EnumTable<Health, 3> kHealthNames{{
    {Health::kHealthy, "healthy"},
    {Health::kUnhealthy, "unhealthy"},
    {Health::kDraining, "draining"},
}};

// Whether a server that is added has been serving for long (the balancer is
// what is new) or has just started with cold caches.
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
