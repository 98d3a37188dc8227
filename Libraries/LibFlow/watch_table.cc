#include "LibFlow/watch_table.h"

#include <algorithm>
#include <utility>

namespace flow {

namespace {

constexpr std::uint8_t kMaximumRepetitions = 127;

}  // namespace

bool WatchTable::IsWatched(const StreamPacket& packet) const {
  const auto [first, last] = m_index.equal_range(packet.m_hash);
  return std::any_of(first, last, [&](const auto& entry) {
    const StreamReference& reference = entry.second;
    const WatchedStream& stream =
        m_watches.at(reference.m_id)[reference.m_offset].m_stream;
    return stream.m_sender == packet.m_sender &&
           stream.m_position == packet.m_position;
  });
}

bool WatchTable::Add(WatchId id, std::span<const WatchedStream> streams) {
  if (m_index.size() + streams.size() > m_maximum_streams)
    return false;
  std::vector<Watched>& watch = m_watches[id];
  for (const WatchedStream& stream : streams) {
    m_index.emplace(stream.m_flow_hash, StreamReference{id, watch.size()});
    watch.push_back({stream, {}});
  }
  return true;
}

void WatchTable::Observe(const StreamPacket& packet) {
  if (m_index.empty())
    return;
  const auto [first, last] = m_index.equal_range(packet.m_hash);
  for (auto at = first; at != last; ++at)
    Record(packet, m_watches.at(at->second.m_id)[at->second.m_offset]);
}

void WatchTable::Record(const StreamPacket& packet, Watched& watched) {
  StreamReport& report = watched.m_report;
  const WatchedStream& stream = watched.m_stream;
  if (packet.m_is_control) {
    report.m_is_answered = true;
    return;
  }
  if (packet.m_sender != stream.m_sender) {
    report.m_is_answered = report.m_is_answered || packet.m_is_window_closed ||
                           IsPast(packet.m_acknowledged, stream.m_position);
    return;
  }
  if (packet.m_payload_bytes == 0 || packet.m_position != stream.m_position)
    return;
  if (report.m_repetitions < kMaximumRepetitions)
    ++report.m_repetitions;
}

std::vector<WatchTable::Watched> WatchTable::Remove(WatchId id) {
  const auto found = m_watches.find(id);
  if (found == m_watches.end())
    return {};
  std::vector<Watched> removed = std::move(found->second);
  m_watches.erase(found);
  for (const Watched& watched : removed) {
    const auto [first, last] =
        m_index.equal_range(watched.m_stream.m_flow_hash);
    const auto reference = std::find_if(first, last, [id](const auto& entry) {
      return entry.second.m_id == id;
    });
    m_index.erase(reference);
  }
  return removed;
}

void WatchTable::Clear() {
  m_watches.clear();
  m_index.clear();
}

}  // namespace flow
