// The number of flows that a balancer has open on a backend server.

#ifndef LIBPEER_LOAD_ENTRY_H_
#define LIBPEER_LOAD_ENTRY_H_

#include <cstdint>

namespace peer {

struct LoadEntry {
  // The low 32 bits of the BackendServerId.
  std::uint32_t m_server = 0;
  // Saturates at 65,535.
  std::uint16_t m_open_flows = 0;

  friend bool operator==(const LoadEntry&, const LoadEntry&) = default;
};

}  // namespace peer

#endif  // LIBPEER_LOAD_ENTRY_H_
