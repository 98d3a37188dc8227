// What DataCentreServers has counted for a server.

#ifndef LIBSTEERING_INDEX_ENTRY_H_
#define LIBSTEERING_INDEX_ENTRY_H_

#include <cstdint>

namespace steering {

class DataCentreServers;

struct IndexEntry {
  // Null while the server is not registered.
  DataCentreServers* m_servers = nullptr;
  // The position among the placeable servers, if the server is placeable.
  std::uint32_t m_position = 0;
  std::uint32_t m_requests = 0;
  std::uint32_t m_slots = 0;
  bool m_is_ready = false;
  bool m_is_reachable = false;

  bool IsPlaceable() const { return m_is_ready && m_is_reachable; }
  bool IsIdle() const { return m_requests == 0; }
};

}  // namespace steering

#endif  // LIBSTEERING_INDEX_ENTRY_H_
