#include "StandIns/readiness_poll.h"

#include <chrono>
#include <system_error>
#include <utility>

#include "LibBase/asio_endpoint.h"
#include "StandIns/event_loop.h"

namespace stand_ins {

namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(100);
constexpr auto kPollTimeout = std::chrono::seconds(1);
constexpr int kFailuresUntilNotReady = 3;
constexpr std::size_t kMaximumStatusLineBytes = 1024;
constexpr char kRequest[] =
    "GET /ready HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n";

}  // namespace

ReadinessPoll::ReadinessPoll(EventLoop* loop,
                             base::Endpoint admin,
                             Handler handler)
    : m_loop(loop),
      m_admin(base::ToAsio<asio::ip::tcp>(admin)),
      m_handler(std::move(handler)),
      m_socket(loop->Context()) {}

void ReadinessPoll::Start() {
  m_timer = m_loop->Timers().SubscribeOnce(EventLoop::Now() + kPollTimeout,
                                           [self = shared_from_this()](auto) {
                                             std::error_code ignored;
                                             self->m_socket.close(ignored);
                                           });
  Connect();
}

void ReadinessPoll::Stop() {
  m_stopped = true;
  m_loop->Timers().Cancel(m_timer);
  std::error_code ignored;
  m_socket.close(ignored);
}

void ReadinessPoll::Connect() {
  m_socket = asio::ip::tcp::socket(m_loop->Context());
  m_socket.async_connect(m_admin,
                         [self = shared_from_this()](std::error_code error) {
                           error ? self->HandleFailure() : self->SendRequest();
                         });
}

void ReadinessPoll::SendRequest() {
  asio::async_write(
      m_socket, asio::buffer(kRequest, sizeof(kRequest) - 1),
      [self = shared_from_this()](std::error_code error, std::size_t) {
        error ? self->HandleFailure() : self->ReadStatus();
      });
}

void ReadinessPoll::ReadStatus() {
  m_received.clear();
  asio::async_read_until(
      m_socket, asio::dynamic_buffer(m_received, kMaximumStatusLineBytes),
      "\r\n", [self = shared_from_this()](std::error_code error, std::size_t) {
        error ? self->HandleFailure() : self->HandleStatusLine();
      });
}

void ReadinessPoll::HandleStatusLine() {
  if (m_stopped)
    return;
  m_failures = 0;
  SetReady(m_received.starts_with("HTTP/1.1 200") ||
           m_received.starts_with("HTTP/1.0 200"));
  ScheduleNextPoll();
}

void ReadinessPoll::HandleFailure() {
  if (m_stopped)
    return;
  if (++m_failures >= kFailuresUntilNotReady)
    SetReady(false);
  ScheduleNextPoll();
}

void ReadinessPoll::SetReady(bool ready) {
  if (ready == m_ready)
    return;
  m_ready = ready;
  m_handler(ready);
}

void ReadinessPoll::ScheduleNextPoll() {
  m_loop->Timers().Cancel(m_timer);
  std::error_code ignored;
  m_socket.close(ignored);
  m_timer = m_loop->Timers().SubscribeOnce(
      EventLoop::Now() + kPollInterval,
      [self = shared_from_this()](auto) { self->Start(); });
}

}  // namespace stand_ins
