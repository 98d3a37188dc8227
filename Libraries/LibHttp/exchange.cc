#include "LibHttp/exchange.h"

#include <poll.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "LibHttp/error.h"

namespace http {

namespace {

// Asio's error category maps none of these values to its std::errc.
bool IsOutOfSockets(std::error_code error) {
  return error.value() == EMFILE || error.value() == ENFILE ||
         error.value() == ENOBUFS || error.value() == ENOMEM;
}

}  // namespace

Exchange::Exchange(asio::io_context& context,
                   const Request& request,
                   std::string request_text,
                   std::uint64_t& received_body_bytes,
                   Callback callback)
    : m_socket(context),
      m_timer(context),
      m_endpoint(asio::ip::address_v4(request.m_endpoint.m_address.value()),
                 request.m_endpoint.m_port),
      m_deadline(base::Clock::now() + request.m_timeout),
      m_connect_deadline(
          base::Clock::now() +
          std::min(request.m_connect_timeout, request.m_timeout)),
      m_request_text(std::move(request_text)),
      m_parser(request.m_response_limit_bytes),
      m_received_body_bytes(received_body_bytes),
      m_callback(std::move(callback)) {}

void Exchange::Start() {
  m_timer.expires_at(m_connect_deadline);
  m_timer.async_wait([weak = weak_from_this()](const std::error_code& error) {
    const auto self = weak.lock();
    if (self && !error)
      self->OnConnectDeadline();
  });
  m_socket.async_connect(
      m_endpoint, [self = shared_from_this()](const std::error_code& error) {
        self->OnConnected(error);
      });
}

void Exchange::Close() {
  m_callback = nullptr;
  m_timer.cancel();
  std::error_code ignored;
  m_socket.close(ignored);
}

// The timer handler holds a weak reference, so that a pending wait does not
// keep the exchange alive.
void Exchange::ArmTimer(base::TimePoint deadline, std::error_code error) {
  m_timer.expires_at(deadline);
  m_timer.async_wait(
      [weak = weak_from_this(), error](const std::error_code& cancelled) {
        const auto self = weak.lock();
        if (self && !cancelled)
          self->Complete(error);
      });
}

bool Exchange::IsConnected() {
  pollfd entry{m_socket.native_handle(), POLLOUT, 0};
  return poll(&entry, 1, 0) == 1 && (entry.revents & POLLERR) == 0;
}

// On a busy processor the timer handler may run before the handler of a
// connection that was established long before. IsConnected detects that case;
// OnConnected runs later.
void Exchange::OnConnectDeadline() {
  if (!m_callback)
    return;
  if (IsConnected())
    ArmTimer(m_deadline, Error::kTimedOut);
  else
    Complete(make_error_code(Error::kConnectFailed));
}

void Exchange::OnConnected(std::error_code error) {
  if (!m_callback)
    return;
  if (error) {
    Complete(make_error_code(IsOutOfSockets(error) ? Error::kNoSocket
                                                   : Error::kConnectFailed));
    return;
  }
  ArmTimer(m_deadline, Error::kTimedOut);
  asio::async_write(
      m_socket, asio::buffer(m_request_text),
      [self = shared_from_this()](const std::error_code& failure, std::size_t) {
        self->OnWritten(failure);
      });
}

// A server may respond and close before it has read the whole request, so the
// response is read even after a write error.
void Exchange::OnWritten(std::error_code) {
  if (m_callback)
    Read();
}

void Exchange::Read() {
  m_socket.async_read_some(
      asio::buffer(m_read_buffer),
      [self = shared_from_this()](const std::error_code& error,
                                  std::size_t length) {
        self->OnRead(error, length);
      });
}

void Exchange::OnRead(std::error_code error, std::size_t length) {
  if (!m_callback)
    return;
  const std::size_t former_body_bytes = m_parser.response().m_body.size();
  const auto outcome =
      error ? m_parser.Finish() : m_parser.Feed({m_read_buffer.data(), length});
  m_received_body_bytes +=
      m_parser.response().m_body.size() - former_body_bytes;
  if (!outcome) {
    Complete(outcome.error());
    return;
  }
  if (m_parser.IsComplete()) {
    Complete(m_parser.response());
    return;
  }
  Read();
}

void Exchange::Complete(base::Outcome<Response> outcome) {
  if (!m_callback)
    return;
  const bool is_cut_off =
      !outcome && (outcome.error() == Error::kTimedOut ||
                   outcome.error() == Error::kClosedBeforeResponse);
  if (is_cut_off && !m_parser.response().m_body.empty())
    outcome = make_error_code(Error::kIncompleteResponse);
  const Callback callback = std::move(m_callback);
  Close();
  callback(std::move(outcome));
}

}  // namespace http
