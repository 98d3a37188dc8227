#include "server_prober.h"

#include <poll.h>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <chrono>

#include "LibBase/asio_endpoint.h"
#include "LibBase/time.h"

namespace edge {

namespace {

// Several round trips between data centres, of some 11 ms each.
constexpr base::Duration kTimeout = std::chrono::milliseconds(80);

}  // namespace

struct ServerProber::Attempt {
  explicit Attempt(asio::io_context& context)
      : m_socket(context), m_timer(context) {}

  // On a busy processor the timer may be seen before an answer that is there.
  bool IsConnected() {
    pollfd entry{m_socket.native_handle(), POLLOUT, 0};
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLERR) == 0;
  }

  steering::ServerSlot m_server;
  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timer;
  bool m_is_finished = false;
};

void ServerProber::Probe(steering::ServerSlot server, base::Endpoint endpoint) {
  ++m_probes;
  const auto attempt = std::make_shared<Attempt>(m_context);
  attempt->m_server = server;
  attempt->m_timer.expires_after(kTimeout);
  attempt->m_timer.async_wait([this, attempt](const std::error_code& error) {
    if (!error)
      Finish(*attempt, attempt->IsConnected());
  });
  attempt->m_socket.async_connect(
      base::ToAsio<asio::ip::tcp>(endpoint),
      [this, attempt](const std::error_code& error) {
        // A refused connection comes from a machine that lives without a
        // server: no flow gets an answer there.
        Finish(*attempt, !error);
      });
}

void ServerProber::Finish(Attempt& attempt, bool is_answered) {
  if (attempt.m_is_finished)
    return;
  attempt.m_is_finished = true;
  attempt.m_timer.cancel();
  std::error_code ignored;
  attempt.m_socket.close(ignored);
  m_callback(attempt.m_server, is_answered);
}

}  // namespace edge
