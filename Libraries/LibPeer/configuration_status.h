// Which configuration a balancer has in force, and how long ago the platform
// was known to hold no newer one.

#ifndef LIBPEER_CONFIGURATION_STATUS_H_
#define LIBPEER_CONFIGURATION_STATUS_H_

#include <chrono>
#include <optional>

#include "LibBase/ids.h"

namespace peer {

struct ConfigurationStatus {
  base::ConfigurationVersion m_version;
  // Nothing if the platform never confirmed this version. On the wire it is
  // limited to 2^32 - 2 ms.
  std::optional<std::chrono::milliseconds> m_confirmation_age;

  friend bool operator==(const ConfigurationStatus&,
                         const ConfigurationStatus&) = default;
};

}  // namespace peer

#endif  // LIBPEER_CONFIGURATION_STATUS_H_
