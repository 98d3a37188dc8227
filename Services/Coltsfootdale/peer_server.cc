#include "peer_server.h"

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <string>
#include <utility>

#include "LibBase/asio_endpoint.h"
#include "LibPeer/codec.h"

namespace service {

namespace {

// Further connections are closed at once.
constexpr std::size_t kMaximumSessions = 32;
constexpr std::size_t kMaximumRequestBytes = 4096;
constexpr auto kSessionTimeout = std::chrono::seconds(3);

}  // namespace

// One connection. The timer closes it after kSessionTimeout, whatever its
// state.
struct PeerServer::Session {
  Session(asio::ip::tcp::socket socket,
          std::shared_ptr<std::size_t> session_count)
      : m_socket(std::move(socket)),
        m_timeout_timer(m_socket.get_executor()),
        m_session_count(std::move(session_count)) {
    ++*m_session_count;
  }
  ~Session() { --*m_session_count; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timeout_timer;
  std::shared_ptr<std::size_t> m_session_count;
  std::string m_request;
  std::string m_reply;
};

base::Outcome<std::unique_ptr<PeerServer>> PeerServer::Create(
    asio::io_context& context,
    base::Endpoint listen,
    Handler handler) {
  std::unique_ptr<PeerServer> server(
      new PeerServer(context, std::move(handler)));
  std::error_code error;
  server->m_acceptor.open(asio::ip::tcp::v4(), error);
  if (!error)
    server->m_acceptor.set_option(asio::socket_base::reuse_address(true),
                                  error);
  if (!error)
    server->m_acceptor.bind(base::ToAsio<asio::ip::tcp>(listen), error);
  if (!error)
    server->m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return error;
  return server;
}

PeerServer::PeerServer(asio::io_context& context, Handler handler)
    : m_context(context), m_acceptor(context), m_handler(std::move(handler)) {}

void PeerServer::Start() {
  Accept();
}

void PeerServer::Stop() {
  std::error_code ignored;
  m_acceptor.close(ignored);
}

void PeerServer::Accept() {
  m_acceptor.async_accept(m_context, [this](const std::error_code& error,
                                            asio::ip::tcp::socket socket) {
    if (!m_acceptor.is_open())
      return;
    if (!error && *m_session_count < kMaximumSessions)
      ReadHeader(std::make_shared<Session>(std::move(socket), m_session_count));
    Accept();
  });
}

void PeerServer::ReadHeader(const std::shared_ptr<Session>& session) {
  session->m_timeout_timer.expires_after(kSessionTimeout);
  session->m_timeout_timer.async_wait(
      [weak = std::weak_ptr(session)](const std::error_code& error) {
        const auto alive = weak.lock();
        std::error_code ignored;
        if (!error && alive)
          alive->m_socket.close(ignored);
      });
  session->m_request.resize(peer::kFrameHeaderBytes);
  asio::async_read(
      session->m_socket, asio::buffer(session->m_request),
      [this, session](const std::error_code& error, std::size_t /*size*/) {
        const auto size =
            peer::FrameSize(peer::Transport::kStream, session->m_request);
        if (error || !size || size.value() > kMaximumRequestBytes)
          return;
        ReadBody(session, size.value());
      });
}

void PeerServer::ReadBody(const std::shared_ptr<Session>& session,
                          std::size_t size) {
  session->m_request.resize(size);
  asio::async_read(
      session->m_socket,
      asio::buffer(session->m_request.data() + peer::kFrameHeaderBytes,
                   size - peer::kFrameHeaderBytes),
      [this, session](const std::error_code& error, std::size_t /*read*/) {
        const auto request =
            peer::Decode(peer::Transport::kStream, session->m_request);
        if (error || !request)
          return;
        m_handler(request.value(), [session](const peer::Message& message) {
          Reply(session, message);
        });
      });
}

void PeerServer::Reply(const std::shared_ptr<Session>& session,
                       const peer::Message& message) {
  auto reply = peer::Encode(peer::Transport::kStream, message);
  if (!reply)
    return;
  session->m_reply = std::move(reply.value());
  asio::async_write(
      session->m_socket, asio::buffer(session->m_reply),
      [session](const std::error_code& /*error*/, std::size_t /*sent*/) {});
}

}  // namespace service
