// What peers tell about the configuration.

#ifndef LIBMEMBERSHIP_NEWEST_CONFIGURATION_H_
#define LIBMEMBERSHIP_NEWEST_CONFIGURATION_H_

#include <chrono>
#include <optional>

#include "LibBase/ids.h"
#include "LibBase/ipv4.h"

namespace membership {

struct NewestConfiguration {
  // The greatest version in force at a peer; zero if no peer told one.
  base::ConfigurationVersion m_version;
  // The peer endpoint to get it from.
  std::optional<base::Endpoint> m_source;
  // How long ago the platform confirmed the version that is in force here, to
  // this balancer or to any other; an upper bound.
  std::optional<std::chrono::milliseconds> m_confirmation_age;
};

}  // namespace membership

#endif  // LIBMEMBERSHIP_NEWEST_CONFIGURATION_H_
