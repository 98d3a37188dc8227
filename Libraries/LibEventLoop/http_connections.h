// The open connections of an HTTP server. Makes room for new ones at a limit:
// silent clients can't keep others from a response.

#ifndef LIBEVENTLOOP_HTTP_CONNECTIONS_H_
#define LIBEVENTLOOP_HTTP_CONNECTIONS_H_

#include <cstddef>
#include <functional>
#include <map>
#include <restinio/all.hpp>

#include "LibBase/time.h"

namespace event_loop {

struct HttpConnectionLimits {
  std::size_t m_maximum_connections = 0;
  // At the limit of connections, a connection may be closed if it has waited
  // for its request for this long.
  base::Duration m_minimum_request_time{};
  // The same for the response to its request.
  base::Duration m_minimum_response_time{};
};

class HttpConnections {
 public:
  explicit HttpConnections(HttpConnectionLimits limits) : m_limits(limits) {}

  // Queries.
  bool IsFull() const {
    return m_entries.size() >= m_limits.m_maximum_connections;
  }

  // Commands.
  void Add(restinio::connection_id_t id, int socket);
  void OnRequest(restinio::connection_id_t id);
  // Closes the oldest connection without a request if it has had its minimum
  // time. If each connection has a request, closes the oldest one after its
  // minimum time. Returns whether it closed one.
  bool CloseOverdue() { return CloseOne(m_limits.m_minimum_request_time); }
  // The same, but does not wait for a request.
  bool CloseOldest() { return CloseOne(base::Duration::zero()); }
  void CloseAll();
  // `on_closed` is called after each connection that has closed.
  void SetOnClosed(std::function<void()> on_closed);
  // Called by RESTinio when the state of a connection has changed.
  // NOLINTNEXTLINE(readability-identifier-naming)
  void state_changed(const restinio::connection_state::notice_t& notice);

 private:
  enum class Phase {
    // Waits for a request.
    kIdle,
    kResponding,
  };

  struct Entry {
    // After a pause of the process, requests may have arrived meanwhile.
    bool HasUnreadInput() const;
    // RESTinio closes the connection at the end of input or the write error
    // that results.
    void Shutdown() const;

    int m_socket = -1;
    Phase m_phase = Phase::kIdle;
    // When the phase began.
    base::TimePoint m_since;
  };

  bool IsOverdue(const Entry& entry, base::Duration minimum_request_time) const;
  bool CloseOne(base::Duration minimum_request_time);

  HttpConnectionLimits m_limits;
  std::map<restinio::connection_id_t, Entry> m_entries;
  std::function<void()> m_on_closed;
};

}  // namespace event_loop

#endif  // LIBEVENTLOOP_HTTP_CONNECTIONS_H_
