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
  // The server keeps its flows and receives no openings.
  kDraining,
};

inline constexpr base::EnumTable<BackendServerState, 2>
    kBackendServerStateNames{{
        {BackendServerState::kActive, "active"},
        {BackendServerState::kDraining, "draining"},
    }};

struct BackendServer {
  // Unique within the service.
  std::string m_name;
  base::DataCentreId m_data_centre;
  // The endpoint that receives packets, encapsulated as IP in UDP. The IP
  // address identifies the server and appears only once in a document.
  base::Endpoint m_address;
  // The HTTP endpoint that reports the server's health and load.
  base::Endpoint m_health;
  // The number of requests that the server runs at once.
  std::uint64_t m_slots = 1;
  // The number of connections that the server holds at once.
  std::uint64_t m_connections = 1;
  BackendServerState m_state = BackendServerState::kActive;
  // Increases whenever the name or the address is assigned to another machine
  // or service. The backend server's id is derived from the service, the name
  // and the incarnation.
  std::uint64_t m_incarnation = 1;

  friend bool operator==(const BackendServer&, const BackendServer&) = default;
};

}  // namespace configuration

#endif  // LIBCONFIGURATION_BACKEND_SERVER_H_
