#include "peer_request.h"

#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/post.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <memory>
#include <string>
#include <utility>

#include "LibBase/asio_endpoint.h"
#include "LibPeer/codec.h"

namespace service {

namespace {

// One request and its reply. The pending handlers own the object and keep it
// alive.
class PeerRequest : public std::enable_shared_from_this<PeerRequest> {
 public:
  PeerRequest(asio::io_context& context,
              std::string request,
              PeerReplyCallback callback)
      : m_socket(context),
        m_timeout_timer(context),
        m_request(std::move(request)),
        m_callback(std::move(callback)) {}

  void Run(base::Endpoint peer, base::Duration timeout) {
    m_timeout_timer.expires_after(timeout);
    m_timeout_timer.async_wait(
        [self = shared_from_this()](const std::error_code& error) {
          if (!error)
            self->Finish(std::nullopt);
        });
    m_socket.async_connect(
        base::ToAsio<asio::ip::tcp>(peer),
        [self = shared_from_this()](const std::error_code& error) {
          if (error)
            return self->Finish(std::nullopt);
          self->SendRequest();
        });
  }

 private:
  void SendRequest() {
    asio::async_write(m_socket, asio::buffer(m_request),
                      [self = shared_from_this()](const std::error_code& error,
                                                  std::size_t /*sent*/) {
                        if (error)
                          return self->Finish(std::nullopt);
                        self->ReadHeader();
                      });
  }

  void ReadHeader() {
    m_reply.resize(peer::kFrameHeaderBytes);
    asio::async_read(m_socket, asio::buffer(m_reply),
                     [self = shared_from_this()](const std::error_code& error,
                                                 std::size_t /*size*/) {
                       const auto size = peer::FrameSize(
                           peer::Transport::kStream, self->m_reply);
                       if (error || !size)
                         return self->Finish(std::nullopt);
                       self->ReadBody(size.value());
                     });
  }

  void ReadBody(std::size_t size) {
    m_reply.resize(size);
    asio::async_read(m_socket,
                     asio::buffer(m_reply.data() + peer::kFrameHeaderBytes,
                                  size - peer::kFrameHeaderBytes),
                     [self = shared_from_this()](const std::error_code& error,
                                                 std::size_t /*size*/) {
                       auto message = peer::Decode(peer::Transport::kStream,
                                                   self->m_reply);
                       if (error || !message)
                         return self->Finish(std::nullopt);
                       self->Finish(std::move(message).value());
                     });
  }

  void Finish(std::optional<peer::Message> reply) {
    std::error_code ignored;
    m_socket.close(ignored);
    m_timeout_timer.cancel();
    if (const auto callback = std::exchange(m_callback, nullptr))
      callback(std::move(reply));
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_timeout_timer;
  std::string m_request;
  std::string m_reply;
  PeerReplyCallback m_callback;
};

}  // namespace

void SendPeerRequest(asio::io_context& context,
                     base::Endpoint peer,
                     const peer::Message& request,
                     base::Duration timeout,
                     PeerReplyCallback callback) {
  auto frame = peer::Encode(peer::Transport::kStream, request);
  if (!frame) {
    asio::post(context,
               [callback = std::move(callback)] { callback(std::nullopt); });
    return;
  }
  std::make_shared<PeerRequest>(context, std::move(frame.value()),
                                std::move(callback))
      ->Run(peer, timeout);
}

}  // namespace service
