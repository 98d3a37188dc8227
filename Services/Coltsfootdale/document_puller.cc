#include "document_puller.h"

#include <asio/buffer.hpp>
#include <asio/connect.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/read.hpp>
#include <asio/steady_timer.hpp>
#include <asio/write.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <variant>

#include "LibPeer/codec.h"
#include "asio_endpoint.h"

namespace service {

namespace {

constexpr auto kPullTimeout = std::chrono::milliseconds(900);

// One exchange. It keeps itself alive by the handlers that refer to it.
class Exchange : public std::enable_shared_from_this<Exchange> {
 public:
  Exchange(asio::io_context& context,
           std::string request,
           DocumentPuller::Callback callback)
      : m_socket(context),
        m_deadline(context),
        m_request(std::move(request)),
        m_callback(std::move(callback)) {}

  void Run(base::Endpoint peer) {
    m_deadline.expires_after(kPullTimeout);
    m_deadline.async_wait(
        [self = shared_from_this()](const std::error_code& error) {
          if (!error)
            self->Finish(std::nullopt);
        });
    m_socket.async_connect(
        ToAsio<asio::ip::tcp>(peer),
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
    asio::async_read(
        m_socket,
        asio::buffer(m_reply.data() + peer::kFrameHeaderBytes,
                     size - peer::kFrameHeaderBytes),
        [self = shared_from_this()](const std::error_code& error,
                                    std::size_t /*size*/) {
          const auto message =
              peer::Decode(peer::Transport::kStream, self->m_reply);
          if (error || !message)
            return self->Finish(std::nullopt);
          const auto* reply =
              std::get_if<peer::DocumentReply>(&message.value().m_body);
          self->Finish(reply == nullptr ? std::nullopt : std::optional(*reply));
        });
  }

  void Finish(std::optional<peer::DocumentReply> reply) {
    std::error_code ignored;
    m_socket.close(ignored);
    m_deadline.cancel();
    if (const auto callback = std::exchange(m_callback, nullptr))
      callback(std::move(reply));
  }

  asio::ip::tcp::socket m_socket;
  asio::steady_timer m_deadline;
  std::string m_request;
  std::string m_reply;
  DocumentPuller::Callback m_callback;
};

}  // namespace

void DocumentPuller::Pull(base::Endpoint peer,
                          const peer::Message& request,
                          Callback callback) {
  auto frame = peer::Encode(peer::Transport::kStream, request);
  if (!frame)
    return callback(std::nullopt);
  std::make_shared<Exchange>(m_context, std::move(frame.value()),
                             std::move(callback))
      ->Run(peer);
}

}  // namespace service
