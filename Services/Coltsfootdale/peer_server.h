// Serves the requests of peers by TCP: for the configuration document in force
// and for burn reports.

#ifndef SERVICES_COLTSFOOTDALE_PEER_SERVER_H_
#define SERVICES_COLTSFOOTDALE_PEER_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibPeer/message.h"

namespace service {

class PeerServer {
 public:
  using ReplyCallback = std::function<void(const peer::Message&)>;
  // Calls `callback` with the reply, at once or later, on the same thread. If
  // the handler drops `callback`, the connection is closed without a reply.
  using Handler = std::function<void(const peer::Message& request,
                                     const ReplyCallback& callback)>;

  // Binds the socket. Returns a system error if it cannot be bound.
  static base::Outcome<std::unique_ptr<PeerServer>>
  Create(asio::io_context& context, base::Endpoint listen, Handler handler);

  void Start();
  void Stop();

 private:
  struct Session;

  PeerServer(asio::io_context& context, Handler handler);

  void Accept();
  // Starts the session's timeout and reads the header of the request.
  void ReadHeader(const std::shared_ptr<Session>& session);
  // Reads the rest of the request, which has `size` bytes in all, and calls the
  // handler.
  void ReadBody(const std::shared_ptr<Session>& session, std::size_t size);
  static void Reply(const std::shared_ptr<Session>& session,
                    const peer::Message& message);

  asio::io_context& m_context;
  asio::ip::tcp::acceptor m_acceptor;
  Handler m_handler;
  // The number of open connections. Sessions share it because they can outlive
  // the server.
  std::shared_ptr<std::size_t> m_session_count =
      std::make_shared<std::size_t>(0);
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_PEER_SERVER_H_
