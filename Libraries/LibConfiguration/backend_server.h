// A backend server as the configuration document describes it.

#ifndef LIBCONFIGURATION_BACKEND_SERVER_H_
#define LIBCONFIGURATION_BACKEND_SERVER_H_

#include <cstdint>
#include <string>

#include "LibBase/enum_table.h"
#include "LibBase/ids.h"
#include "LibBase/ipv4.h"

namespace configuration {

enum class BackendServerState {
  kActive,
  // Keeps its flows and receives no opening.
  kDraining,
};

inline constexpr base::EnumTable<BackendServerState, 2>
    kBackendServerStateNames{{
        {BackendServerState::kActive, "active"},
        {BackendServerState::kDraining, "draining"},
    }};

struct BackendServer {
  // Unique in its service.
  std::string m_name;
  base::DataCentreId m_data_centre;
  // Where it receives packets, IP-in-UDP. Its IP number identifies it, so that
  // number stands only once in a document.
  base::Endpoint m_address;
  // Its HTTP endpoint of health and load.
  base::Endpoint m_health;
  // How many requests it runs at once.
  std::uint64_t m_slots = 1;
  // How many connections it holds at once.
  std::uint64_t m_connections = 1;
  BackendServerState m_state = BackendServerState::kActive;
  // Grows whenever the name or the address is given to another machine or
  // service.
  std::uint64_t m_incarnation = 1;

  friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

}  // namespace configuration

#endif  // LIBCONFIGURATION_BACKEND_SERVER_H_
