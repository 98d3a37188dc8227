// Polls GET /ready of a balancer.

#ifndef STANDINS_READINESS_POLL_H_
#define STANDINS_READINESS_POLL_H_

#include <functional>
#include <memory>
#include <string>

#include <asio.hpp>

#include "LibBase/ipv4.h"
#include "LibBase/timer_service.h"

namespace stand_ins {

class EventLoop;

class ReadinessPoll : public std::enable_shared_from_this<ReadinessPoll> {
 public:
  using Handler = std::function<void(bool ready)>;

  // `loop` must outlive this object. The handler runs when the readiness
  // changes. The balancer is initially not ready.
  ReadinessPoll(EventLoop* loop, base::Endpoint admin, Handler handler);

  // Commands.
  void Start();
  // Stops polling. The handler does not run again.
  void Stop();

 private:
  void Connect();
  void SendRequest();
  void ReadStatus();
  void HandleStatusLine();
  void HandleFailure();
  void SetReady(bool ready);
  void ScheduleNextPoll();

  EventLoop* m_loop;
  asio::ip::tcp::endpoint m_admin;
  Handler m_handler;
  asio::ip::tcp::socket m_socket;
  std::string m_received;
  base::TimerId m_timer;
  int m_failures = 0;
  bool m_ready = false;
  bool m_stopped = false;
};

}  // namespace stand_ins

#endif  // STANDINS_READINESS_POLL_H_
