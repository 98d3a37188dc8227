#include "LibSteering/data_centre_servers.h"

#include <algorithm>
#include <utility>

#include "LibSteering/known_server.h"

namespace steering {

void DataCentreServers::Sample(std::size_t count,
                               base::Random& random,
                               std::vector<KnownServer*>& sample) const {
  const std::size_t size = m_placeable.size();
  if (count >= size) {
    sample.insert(sample.end(), m_placeable.begin(), m_placeable.end());
    return;
  }
  const std::size_t busy = size - m_idle;
  const std::size_t least_idle = count - std::min(count, busy);
  const std::size_t idle_count =
      std::min(m_idle, std::max(count / 2, least_idle));
  SamplePart(0, m_idle, idle_count, random, sample);
  SamplePart(m_idle, size, count - idle_count, random, sample);
}

void DataCentreServers::SamplePart(std::size_t begin,
                                   std::size_t end,
                                   std::size_t count,
                                   base::Random& random,
                                   std::vector<KnownServer*>& sample) const {
  if (count == 0)
    return;
  // One server of each of `count` ranges of about the same length. The random
  // start gives each server the same probability when lengths differ by one.
  const std::size_t size = end - begin;
  const std::size_t start = random.Below(size);
  for (std::size_t range = 0; range < count; ++range) {
    const std::size_t first = size * range / count;
    const std::size_t length = size * (range + 1) / count - first;
    const std::size_t offset = start + first + random.Below(length);
    sample.push_back(m_placeable[begin + offset % size]);
  }
}

void DataCentreServers::Add(KnownServer& server) {
  server.m_index_entry = IndexEntry();
  server.m_index_entry.m_servers = this;
  ++m_registered;
  Update(server);
}

void DataCentreServers::Remove(KnownServer& server) {
  if (server.m_index_entry.IsPlaceable())
    Unlist(server);
  Subtract(server);
  --m_registered;
  server.m_index_entry = IndexEntry();
}

void DataCentreServers::Update(KnownServer& server) {
  IndexEntry& entry = server.m_index_entry;
  IndexEntry next = entry;
  next.m_requests = server.m_requests_in_progress;
  next.m_slots = std::max(1U, server.m_record.m_slots);
  next.m_is_ready = server.m_record.m_state == ServerState::kReady;
  next.m_is_reachable = !server.m_reachability.IsUnreachable();
  const bool is_moved = entry.IsPlaceable() != next.IsPlaceable() ||
                        entry.IsIdle() != next.IsIdle();
  if (is_moved && entry.IsPlaceable())
    Unlist(server);
  Subtract(server);
  next.m_position = entry.m_position;
  entry = next;
  if (is_moved && entry.IsPlaceable())
    List(server);
  m_requests += entry.m_requests;
  m_reachable_requests += entry.m_is_reachable ? entry.m_requests : 0;
  m_slots += entry.m_slots;
  m_ready += entry.m_is_ready ? 1 : 0;
}

void DataCentreServers::Subtract(const KnownServer& server) {
  const IndexEntry& entry = server.m_index_entry;
  m_requests -= entry.m_requests;
  m_reachable_requests -= entry.m_is_reachable ? entry.m_requests : 0;
  m_slots -= entry.m_slots;
  m_ready -= entry.m_is_ready ? 1 : 0;
}

void DataCentreServers::List(KnownServer& server) {
  const std::size_t last = m_placeable.size();
  m_placeable.push_back(&server);
  server.m_index_entry.m_position = static_cast<std::uint32_t>(last);
  if (server.m_index_entry.IsIdle())
    Swap(m_idle++, last);
}

void DataCentreServers::Unlist(KnownServer& server) {
  std::size_t position = server.m_index_entry.m_position;
  if (position < m_idle) {
    Swap(position, --m_idle);
    position = m_idle;
  }
  Swap(position, m_placeable.size() - 1);
  m_placeable.pop_back();
}

void DataCentreServers::Swap(std::size_t left, std::size_t right) {
  std::swap(m_placeable[left], m_placeable[right]);
  m_placeable[left]->m_index_entry.m_position =
      static_cast<std::uint32_t>(left);
  m_placeable[right]->m_index_entry.m_position =
      static_cast<std::uint32_t>(right);
}

}  // namespace steering
