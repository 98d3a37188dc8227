// The streams that a balancer watches for itself and for its peers, and a
// report of the packets that have passed. While no stream is watched, a packet
// costs one comparison.

#ifndef LIBFLOW_WATCH_TABLE_H_
#define LIBFLOW_WATCH_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "LibBase/strong_id.h"
#include "LibFlow/watch_message.h"

namespace flow {

// Identifies a watch of this balancer's table, unlike the number of a request,
// which the requesting balancer assigns.
using WatchId = base::StrongId<struct WatchIdTag, std::uint64_t>;

class WatchTable {
 public:
  struct Watched {
    WatchedStream m_stream;
    StreamReport m_report;
  };

  explicit WatchTable(std::size_t maximum_streams)
      : m_maximum_streams(maximum_streams) {}

  // Queries.
  std::size_t stream_count() const { return m_index.size(); }
  bool IsWatched(const StreamPacket& packet) const;

  // Commands.
  // Starts a watch. Returns false and watches nothing if the limit of streams
  // would be exceeded.
  bool Add(WatchId id, std::span<const WatchedStream> streams);
  // Updates the reports of the watched streams to which a packet belongs.
  void Observe(const StreamPacket& packet);
  // Ends a watch and returns its streams; empty if no watch has this id.
  std::vector<Watched> Remove(WatchId id);
  void Clear();

 private:
  // A stream of a watch: `m_offset` is its index in the watch.
  struct StreamReference {
    WatchId m_id;
    std::size_t m_offset = 0;
  };

  static void Record(const StreamPacket& packet, Watched& watched);

  std::size_t m_maximum_streams;
  std::unordered_map<WatchId, std::vector<Watched>> m_watches;
  // Keyed by the hash of the flow.
  std::unordered_multimap<std::uint64_t, StreamReference> m_index;
};

}  // namespace flow

#endif  // LIBFLOW_WATCH_TABLE_H_
