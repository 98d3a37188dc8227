// The newest configuration version that peers reported, and how fresh the
// version in force here is.

#ifndef LIBMEMBERSHIP_NEWEST_CONFIGURATION_H_
#define LIBMEMBERSHIP_NEWEST_CONFIGURATION_H_

#include <chrono>
#include <optional>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"

namespace membership {

struct NewestConfiguration {
  // The greatest version in force at a peer; zero if no peer reported one.
  base::ConfigurationVersion m_version;
  // The peer endpoint to request the version from.
  std::optional<base::Endpoint> m_source;
  // Upper bound on the time since the platform confirmed, to this balancer or
  // to any other, the version in force here.
  std::optional<std::chrono::milliseconds> m_confirmation_age;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_NEWEST_CONFIGURATION_H_
