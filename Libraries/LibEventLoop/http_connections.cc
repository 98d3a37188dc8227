#include "LibEventLoop/http_connections.h"

#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace event_loop {

void HttpConnections::Add(restinio::connection_id_t id, int socket) {
  m_entries[id] = {socket, Phase::kIdle, base::Clock::now()};
}

// RESTinio closes the connection after the response.
void HttpConnections::OnRequest(restinio::connection_id_t id) {
  const auto found = m_entries.find(id);
  if (found == m_entries.end())
    return;
  found->second.m_phase = Phase::kResponding;
  found->second.m_since = base::Clock::now();
}

void HttpConnections::CloseAll() {
  m_on_closed = nullptr;
  for (const auto& [id, entry] : m_entries)
    entry.Shutdown();
  m_entries.clear();
}

void HttpConnections::SetOnClosed(std::function<void()> on_closed) {
  m_on_closed = std::move(on_closed);
}

void HttpConnections::state_changed(
    const restinio::connection_state::notice_t& notice) {
  using Closed = restinio::connection_state::closed_t;
  if (!restinio::holds_alternative<Closed>(notice.cause()))
    return;
  m_entries.erase(notice.connection_id());
  if (m_on_closed)
    m_on_closed();
}

bool HttpConnections::Entry::HasUnreadInput() const {
  char byte = 0;
  return recv(m_socket, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
}

void HttpConnections::Entry::Shutdown() const {
  shutdown(m_socket, SHUT_RDWR);
}

bool HttpConnections::IsOverdue(const Entry& entry,
                                base::Duration minimum_request_time) const {
  const base::Duration age = base::Clock::now() - entry.m_since;
  return entry.m_phase == Phase::kIdle
             ? age >= minimum_request_time && !entry.HasUnreadInput()
             : age >= m_limits.m_minimum_response_time;
}

bool HttpConnections::CloseOne(base::Duration minimum_request_time) {
  // The map has the connections in the order in which they were accepted.
  const auto first = std::ranges::min_element(
      m_entries, {}, [](const auto& item) { return item.second.m_phase; });
  if (first == m_entries.end() ||
      !IsOverdue(first->second, minimum_request_time))
    return false;
  first->second.Shutdown();
  m_entries.erase(first);
  return true;
}

}  // namespace event_loop
