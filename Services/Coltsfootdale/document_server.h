// Gives the configuration document in force to peers that ask for it by TCP.

#ifndef SERVICES_COLTSFOOTDALE_DOCUMENT_SERVER_H_
#define SERVICES_COLTSFOOTDALE_DOCUMENT_SERVER_H_

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

#include <cstddef>
#include <functional>
#include <memory>

#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibPeer/document_reply.h"
#include "LibPeer/message.h"

namespace service {

class DocumentServer {
 public:
  // The message that holds the document in force as a DocumentReply.
  using Provider = std::function<peer::Message()>;

  // Binds the socket; errors are those of the system.
  static base::Outcome<std::unique_ptr<DocumentServer>>
  Create(asio::io_context& context, base::Endpoint listen, Provider provider);

  void Start();
  void Stop();

 private:
  struct Session;

  DocumentServer(asio::io_context& context, Provider provider);

  void Accept();
  void Serve(const std::shared_ptr<Session>& session);
  void Answer(const std::shared_ptr<Session>& session, std::size_t size);

  asio::io_context& m_context;
  asio::ip::tcp::acceptor m_acceptor;
  Provider m_provider;
  std::shared_ptr<std::size_t> m_sessions = std::make_shared<std::size_t>(0);
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_DOCUMENT_SERVER_H_
