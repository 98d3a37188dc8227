#include "LibPlacement/server_index.h"

#include <bit>

namespace placement {

void ServerIndex::Rebuild(std::span<const base::BackendServerId> servers) {
  m_entries.assign(std::bit_ceil(2 * servers.size() + 1), Entry{});
  const std::size_t mask = m_entries.size() - 1;
  for (std::uint32_t position = 0; position < servers.size(); ++position) {
    std::size_t bucket = servers[position].value() & mask;
    while (m_entries[bucket].m_position != kAbsent)
      bucket = (bucket + 1) & mask;
    m_entries[bucket] = Entry{servers[position], position};
  }
}

}  // namespace placement
