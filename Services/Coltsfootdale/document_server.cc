#include "document_server.h"

#include <asio/buffer.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "LibPeer/codec.h"
#include "LibPeer/document_request.h"
#include "asio_endpoint.h"

namespace service {

namespace {

constexpr std::size_t kMaximumSessions = 32;
constexpr std::size_t kMaximumRequestBytes = 4096;
constexpr auto kSessionTimeout = std::chrono::seconds(3);

}  // namespace

// One connection; the timer closes it however far it has come.
struct DocumentServer::Session {
  Session(asio::ip::tcp::socket socket, std::shared_ptr<std::size_t> sessions)
      : m_socket(std::move(socket)),
        m_deadline(m_socket.get_executor()),
        m_sessions(std::move(sessions)) {
    ++*m_sessions;
  }
  ~Session() { --*m_sessions; }
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_deadline;
  std::shared_ptr<std::size_t> m_sessions;
  std::string m_request;
  std::string m_reply;
};

base::Outcome<std::unique_ptr<DocumentServer>> DocumentServer::Create(
    asio::io_context& context,
    base::Endpoint listen,
    Provider provider) {
  std::unique_ptr<DocumentServer> server(
      new DocumentServer(context, std::move(provider)));
  std::error_code error;
  server->m_acceptor.open(asio::ip::tcp::v4(), error);
  if (!error)
    server->m_acceptor.set_option(asio::socket_base::reuse_address(true),
                                  error);
  if (!error)
    server->m_acceptor.bind(ToAsio<asio::ip::tcp>(listen), error);
  if (!error)
    server->m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error)
    return error;
  return server;
}

DocumentServer::DocumentServer(asio::io_context& context, Provider provider)
    : m_context(context),
      m_acceptor(context),
      m_provider(std::move(provider)) {}

void DocumentServer::Start() {
  Accept();
}

void DocumentServer::Stop() {
  std::error_code ignored;
  m_acceptor.close(ignored);
}

void DocumentServer::Accept() {
  m_acceptor.async_accept(m_context, [this](const std::error_code& error,
                                            asio::ip::tcp::socket socket) {
    if (!m_acceptor.is_open())
      return;
    if (!error && *m_sessions < kMaximumSessions)
      Serve(std::make_shared<Session>(std::move(socket), m_sessions));
    Accept();
  });
}

void DocumentServer::Serve(const std::shared_ptr<Session>& session) {
  session->m_deadline.expires_after(kSessionTimeout);
  session->m_deadline.async_wait(
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
        Answer(session, size.value());
      });
}

void DocumentServer::Answer(const std::shared_ptr<Session>& session,
                            std::size_t size) {
  session->m_request.resize(size);
  asio::async_read(
      session->m_socket,
      asio::buffer(session->m_request.data() + peer::kFrameHeaderBytes,
                   size - peer::kFrameHeaderBytes),
      [this, session](const std::error_code& error, std::size_t /*read*/) {
        const auto message =
            peer::Decode(peer::Transport::kStream, session->m_request);
        if (error || !message ||
            !std::holds_alternative<peer::DocumentRequest>(
                message.value().m_body))
          return;
        auto reply = peer::Encode(peer::Transport::kStream, m_provider());
        if (!reply)
          return;
        session->m_reply = std::move(reply.value());
        asio::async_write(session->m_socket, asio::buffer(session->m_reply),
                          [session](const std::error_code& /*error*/,
                                    std::size_t /*sent*/) {});
      });
}

}  // namespace service
