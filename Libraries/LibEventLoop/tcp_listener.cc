#include "LibEventLoop/tcp_listener.h"

#include <asio/error.hpp>
#include <asio/io_context.hpp>
#include <cerrno>
#include <utility>

#include "LibBase/asio_endpoint.h"

namespace event_loop {

namespace {

// Asio's error category maps neither value to its std::errc.
bool IsOutOfDescriptors(std::error_code error) {
  return error.value() == EMFILE || error.value() == ENFILE;
}

bool IsNothingPending(std::error_code error) {
  return error == asio::error::would_block || error == asio::error::try_again;
}

}  // namespace

base::Outcome<std::shared_ptr<TcpListener>> TcpListener::Create(
    asio::io_context& context,
    base::Endpoint endpoint,
    Owner owner) {
  std::shared_ptr<TcpListener> listener(
      new TcpListener(context, std::move(owner)));
  if (const auto error = listener->Open(endpoint))
    return error;
  listener->Wait();
  return listener;
}

TcpListener::TcpListener(asio::io_context& context, Owner owner)
    : m_acceptor(context), m_retry_timer(context), m_owner(std::move(owner)) {}

std::error_code TcpListener::Open(base::Endpoint endpoint) {
  std::error_code error;
  m_acceptor.open(asio::ip::tcp::v4(), error);
  if (!error)
    m_acceptor.set_option(asio::socket_base::reuse_address(true), error);
  // Otherwise Asio waits for another connection within accept.
  if (!error)
    m_acceptor.set_option(asio::socket_base::enable_connection_aborted(true),
                          error);
  if (!error)
    m_acceptor.bind(base::ToAsio<asio::ip::tcp>(endpoint), error);
  if (!error)
    m_acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (!error)
    m_acceptor.non_blocking(true, error);
  if (!error)
    m_endpoint = base::FromAsio(m_acceptor.local_endpoint(error));
  return error;
}

void TcpListener::Close() {
  std::error_code ignored;
  m_acceptor.close(ignored);
  m_retry_timer.cancel();
}

// Waits before each accept: without a free descriptor, accept fails even if no
// connection is pending.
void TcpListener::Wait() {
  m_acceptor.async_wait(
      asio::socket_base::wait_read,
      [weak = weak_from_this()](const std::error_code& error) {
        const auto self = weak.lock();
        if (self && self->m_acceptor.is_open())
          self->OnReadable(error);
      });
}

void TcpListener::OnReadable(std::error_code error) {
  if (!error && !m_owner.m_make_room()) {
    Pause();
    return;
  }
  if (!error)
    error = AcceptOne();
  if (!error || IsNothingPending(error)) {
    Wait();
    return;
  }
  m_owner.m_on_failure(error);
  Pause();
}

std::error_code TcpListener::AcceptOne() {
  std::error_code error;
  asio::ip::tcp::endpoint peer;
  auto socket = m_acceptor.accept(peer, error);
  if (IsOutOfDescriptors(error) && m_spare.IsReserved()) {
    m_spare.Release();
    socket = m_acceptor.accept(peer, error);
  }
  if (!error)
    m_owner.m_on_connection(std::move(socket), peer);
  return error;
}

void TcpListener::Pause() {
  m_retry_timer.expires_after(kRetryDelay);
  m_retry_timer.async_wait(
      [weak = weak_from_this()](const std::error_code& error) {
        const auto self = weak.lock();
        if (!self || error || !self->m_acceptor.is_open())
          return;
        self->m_spare.Reserve();
        self->Wait();
      });
}

}  // namespace event_loop
