// Fetches the configuration document from a peer by TCP.

#ifndef SERVICES_COLTSFOOTDALE_DOCUMENT_PULLER_H_
#define SERVICES_COLTSFOOTDALE_DOCUMENT_PULLER_H_

#include <asio/io_context.hpp>

#include <functional>
#include <optional>

#include "LibBase/ipv4.h"
#include "LibPeer/document_reply.h"
#include "LibPeer/message.h"

namespace service {

class DocumentPuller {
 public:
  // Called once, with nothing if the peer sent no document before the timeout.
  using Callback = std::function<void(std::optional<peer::DocumentReply>)>;

  explicit DocumentPuller(asio::io_context& context) : m_context(context) {}

  // Sends `request`, which holds a DocumentRequest, to the peer endpoint
  // `peer`.
  void Pull(base::Endpoint peer,
            const peer::Message& request,
            Callback callback);

 private:
  asio::io_context& m_context;
};

}  // namespace service

#endif  // SERVICES_COLTSFOOTDALE_DOCUMENT_PULLER_H_
