#include "LibPlacement/server_index.h"

#include <bit>

namespace placement {

void ServerIndex::Rebuild(std::span<const base::BackendServerId> servers) {
  m_entries.assign(std::bit_ceil(2 * servers.size() + 1), Entry{});
  const std::size_t mask = m_entries.size() - 1;
  for (std::uint32_t position = 0; position < servers.size(); ++position) {
    std::size_t slot = servers[position].value() & mask;
    while (m_entries[slot].m_position != kAbsent)
      slot = (slot + 1) & mask;
    m_entries[slot] = Entry{servers[position], position};
  }
}

}  // namespace placement
