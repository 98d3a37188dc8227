// A socket that could not be bound.

#ifndef SERVICES_EDGE_BIND_FAILURE_H_
#define SERVICES_EDGE_BIND_FAILURE_H_

#include <string_view>
#include <system_error>

#include "LibBase/ipv4.h"

namespace edge {

struct BindFailure {
  // Names the socket in the log.
  std::string_view m_socket;
  base::Endpoint m_endpoint;
  std::error_code m_error;

  friend bool operator==(const BindFailure&, const BindFailure&) = default;
};

}  // namespace edge

#endif  // SERVICES_EDGE_BIND_FAILURE_H_
