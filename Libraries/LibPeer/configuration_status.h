// The configuration version that a balancer has in force, and the time since
// the platform was known to have no newer version.

#ifndef LIBPEER_CONFIGURATION_STATUS_H_
#define LIBPEER_CONFIGURATION_STATUS_H_

#include <chrono>
#include <optional>

#include "LibBase/ids.h"

namespace peer {

struct ConfigurationStatus {
  base::ConfigurationVersion m_version;
  // nullopt if the platform never confirmed this version. On the wire the age
  // is limited to 2^32 - 2 ms.
  std::optional<std::chrono::milliseconds> m_confirmation_age;

  friend bool operator==(const ConfigurationStatus&,
                         const ConfigurationStatus&) = default;
};

}  // namespace peer

#endif  // LIBPEER_CONFIGURATION_STATUS_H_
