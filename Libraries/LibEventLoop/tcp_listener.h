// Accepts TCP connections. No failure of an accept ends the accepting: the
// listener tries again after a short pause.

#ifndef LIBEVENTLOOP_TCP_LISTENER_H_
#define LIBEVENTLOOP_TCP_LISTENER_H_

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <system_error>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibEventLoop/spare_descriptor.h"

namespace asio {
class io_context;
}  // namespace asio

namespace event_loop {

// Must be used on the thread that runs the io_context.
class TcpListener : public std::enable_shared_from_this<TcpListener> {
 public:
  // The listener's callbacks. They may not destroy the listener.
  struct Owner {
    // Called before each accept. Returns whether a further connection may be
    // accepted; if not, the listener asks again after kRetryDelay.
    std::function<bool()> m_make_room;
    // Gets each accepted connection. `peer` is the other end.
    std::function<void(asio::ip::tcp::socket,
                       const asio::ip::tcp::endpoint& peer)>
        m_on_connection;
    // An accept failed. The listener tries again after kRetryDelay.
    std::function<void(std::error_code)> m_on_failure;
  };

  // Listens on `endpoint`; with port 0 the system chooses a port. Errors: any
  // system error.
  static base::Outcome<std::shared_ptr<TcpListener>>
  Create(asio::io_context& context, base::Endpoint endpoint, Owner owner);

  // Queries.
  base::Endpoint endpoint() const { return m_endpoint; }

  // Commands.
  // Reserves the spare descriptor again after a connection was closed.
  void OnConnectionClosed() { m_spare.Reserve(); }
  // Stops listening. No callback is called after Close.
  void Close();

  static constexpr std::chrono::milliseconds kRetryDelay{10};

 private:
  TcpListener(asio::io_context& context, Owner owner);

  std::error_code Open(base::Endpoint endpoint);
  void Wait();
  void OnReadable(std::error_code error);
  // Accepts one connection. Returns the reason if there is none.
  std::error_code AcceptOne();
  void Pause();

  asio::ip::tcp::acceptor m_acceptor;
  asio::steady_timer m_retry_timer;
  // Lets the listener accept one connection while the process has no free
  // descriptor.
  SpareDescriptor m_spare;
  Owner m_owner;
  base::Endpoint m_endpoint;
};

}  // namespace event_loop

#endif  // LIBEVENTLOOP_TCP_LISTENER_H_
