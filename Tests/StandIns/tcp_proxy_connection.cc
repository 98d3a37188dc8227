#include "StandIns/tcp_proxy_connection.h"

#include <algorithm>
#include <system_error>
#include <utility>

#include "LibBase/asio_endpoint.h"
#include "StandIns/event_loop.h"

namespace stand_ins {

TcpProxyConnection::TcpProxyConnection(EventLoop* loop,
                                       FaultPlan* plan,
                                       asio::ip::tcp::socket source)
    : m_loop(loop),
      m_plan(plan),
      m_source(std::move(source)),
      m_target(loop->Context()),
      m_forward{Direction::kForward, &m_source, &m_target, {}, {}},
      m_backward{Direction::kBackward, &m_target, &m_source, {}, {}} {}

void TcpProxyConnection::Start(base::Endpoint target) {
  m_target.async_connect(
      base::ToAsio<asio::ip::tcp>(target),
      [this, self = shared_from_this()](std::error_code error) {
        if (error) {
          Close();
          return;
        }
        m_connected = true;
        Resume();
      });
}

void TcpProxyConnection::Resume() {
  if (!m_connected || m_closed)
    return;
  Continue(&m_forward);
  Continue(&m_backward);
}

bool TcpProxyConnection::IsBlocked(const Pipe& pipe) const {
  const FaultRules& rules = m_plan->RulesOf(pipe.m_direction);
  return rules.m_cut || rules.m_frozen;
}

void TcpProxyConnection::Continue(Pipe* pipe) {
  if (IsBlocked(*pipe))
    return;
  Read(pipe);
  WriteDue(pipe);
}

void TcpProxyConnection::Read(Pipe* pipe) {
  if (pipe->m_reading || pipe->m_ended ||
      pipe->m_chunks.size() >= kMaximumChunks)
    return;
  pipe->m_reading = true;
  pipe->m_from->async_read_some(
      asio::buffer(pipe->m_buffer),
      [this, self = shared_from_this(), pipe](std::error_code error,
                                              std::size_t size) {
        pipe->m_reading = false;
        if (error && error != asio::error::eof) {
          Close();
          return;
        }
        pipe->m_ended = error == asio::error::eof;
        AddChunk(pipe, std::string(pipe->m_buffer.data(), size));
        Continue(pipe);
      });
}

void TcpProxyConnection::AddChunk(Pipe* pipe, std::string bytes) {
  base::TimePoint due = EventLoop::Now() + m_plan->DrawDelay(pipe->m_direction);
  if (!pipe->m_chunks.empty())
    due = std::max(due, pipe->m_chunks.back().m_due);
  pipe->m_chunks.push_back({std::move(bytes), due});
}

void TcpProxyConnection::WriteDue(Pipe* pipe) {
  if (pipe->m_writing || pipe->m_chunks.empty())
    return;
  pipe->m_writing = true;
  const base::TimePoint due = pipe->m_chunks.front().m_due;
  if (due <= EventLoop::Now()) {
    Write(pipe);
    return;
  }
  m_loop->Timers().SubscribeOnce(
      due, [this, self = shared_from_this(), pipe](base::TimePoint) {
        pipe->m_writing = false;
        if (!IsBlocked(*pipe)) {
          pipe->m_writing = true;
          Write(pipe);
        }
      });
}

void TcpProxyConnection::Write(Pipe* pipe) {
  if (pipe->m_chunks.front().m_bytes.empty()) {
    FinishPipe(pipe);
    return;
  }
  asio::async_write(*pipe->m_to, asio::buffer(pipe->m_chunks.front().m_bytes),
                    [this, self = shared_from_this(), pipe](
                        std::error_code error, std::size_t) {
                      pipe->m_writing = false;
                      if (error) {
                        Close();
                        return;
                      }
                      pipe->m_chunks.pop_front();
                      Continue(pipe);
                    });
}

void TcpProxyConnection::FinishPipe(Pipe* pipe) {
  pipe->m_chunks.clear();
  pipe->m_finished = true;
  std::error_code ignored;
  pipe->m_to->shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
  if (m_forward.m_finished && m_backward.m_finished)
    Close();
}

void TcpProxyConnection::Reset() {
  // With a linger time of 0, closing the socket resets its connection.
  const asio::socket_base::linger at_once(true, 0);
  std::error_code ignored;
  m_source.set_option(at_once, ignored);
  m_target.set_option(at_once, ignored);
  Close();
}

void TcpProxyConnection::Close() {
  m_closed = true;
  std::error_code ignored;
  m_source.close(ignored);
  m_target.close(ignored);
}

}  // namespace stand_ins
