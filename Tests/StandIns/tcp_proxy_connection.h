// One connection through a TcpProxy: two sockets and the chunks in transit
// between them.

#ifndef STANDINS_TCP_PROXY_CONNECTION_H_
#define STANDINS_TCP_PROXY_CONNECTION_H_

#include <array>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include <asio.hpp>

#include "LibBase/ipv4.h"
#include "LibBase/time.h"
#include "StandIns/fault_plan.h"

namespace stand_ins {

class EventLoop;

class TcpProxyConnection
    : public std::enable_shared_from_this<TcpProxyConnection> {
 public:
  // `loop` and `plan` must outlive the connection.
  TcpProxyConnection(EventLoop* loop,
                     FaultPlan* plan,
                     asio::ip::tcp::socket source);

  // Queries.
  bool IsClosed() const { return m_closed; }

  // Commands.
  void Start(base::Endpoint target);
  // Resumes the directions that no rule stops any more.
  void Resume();
  // Resets the connections to the source and to the target.
  void Reset();

 private:
  static constexpr std::size_t kReadBytes = 16'384;
  static constexpr std::size_t kMaximumChunks = 64;

  // A piece of the stream; without bytes, the end of the stream.
  struct Chunk {
    std::string m_bytes;
    base::TimePoint m_due;
  };

  // One direction of the connection.
  struct Pipe {
    Direction m_direction;
    asio::ip::tcp::socket* m_from;
    asio::ip::tcp::socket* m_to;
    std::deque<Chunk> m_chunks;
    std::array<char, kReadBytes> m_buffer;
    bool m_reading = false;
    bool m_writing = false;
    bool m_ended = false;
    bool m_finished = false;
  };

  bool IsBlocked(const Pipe& pipe) const;
  void Continue(Pipe* pipe);
  void Read(Pipe* pipe);
  void AddChunk(Pipe* pipe, std::string bytes);
  void WriteDue(Pipe* pipe);
  void Write(Pipe* pipe);
  void FinishPipe(Pipe* pipe);
  void Close();

  EventLoop* m_loop;
  FaultPlan* m_plan;
  asio::ip::tcp::socket m_source;
  asio::ip::tcp::socket m_target;
  Pipe m_forward;
  Pipe m_backward;
  bool m_connected = false;
  bool m_closed = false;
};

}  // namespace stand_ins

#endif  // STANDINS_TCP_PROXY_CONNECTION_H_
