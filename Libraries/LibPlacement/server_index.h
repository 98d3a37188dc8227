// Maps the id of a backend server to its position in a vector. The hash table
// uses open addressing and the ids themselves as hashes. A lookup allocates no
// memory.

#ifndef LIBPLACEMENT_SERVER_INDEX_H_
#define LIBPLACEMENT_SERVER_INDEX_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "LibBase/ids.h"

namespace placement {

class ServerIndex {
 public:
  static constexpr std::uint32_t kAbsent = UINT32_MAX;

  // Queries.
  // Returns the position of `server` in the span passed to Rebuild, or kAbsent.
  std::uint32_t Find(base::BackendServerId server) const {
    if (m_entries.empty())
      return kAbsent;
    const std::size_t mask = m_entries.size() - 1;
    std::size_t bucket = server.value() & mask;
    while (m_entries[bucket].m_position != kAbsent) {
      if (m_entries[bucket].m_server == server)
        return m_entries[bucket].m_position;
      bucket = (bucket + 1) & mask;
    }
    return kAbsent;
  }

  // Commands.
  // Replaces the contents of the index. The ids must be unique.
  void Rebuild(std::span<const base::BackendServerId> servers);

 private:
  struct Entry {
    base::BackendServerId m_server;
    std::uint32_t m_position = kAbsent;
  };

  // The size is a power of two and more than twice the number of servers.
  std::vector<Entry> m_entries;
};

}  // namespace placement

#endif  // LIBPLACEMENT_SERVER_INDEX_H_
