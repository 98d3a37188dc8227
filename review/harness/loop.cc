#include "loop.h"

#include <poll.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace review {

std::int64_t Loop::Now() {
  using std::chrono::steady_clock;
  static const auto start = steady_clock::now();
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             steady_clock::now() - start)
      .count();
}

Loop::Socket& Loop::Add(int descriptor, Task on_readable) {
  auto socket = std::make_shared<Socket>();
  socket->m_on_readable = std::move(on_readable);
  m_sockets[descriptor] = socket;
  return *socket;
}

void Loop::Remove(int descriptor) {
  m_sockets.erase(descriptor);
}

void Loop::After(std::int64_t milliseconds, Task task) {
  m_timers.emplace(Now() + milliseconds, std::move(task));
}

void Loop::Every(std::int64_t milliseconds, const Task& task) {
  After(milliseconds, [this, milliseconds, task] {
    task();
    Every(milliseconds, task);
  });
}

void Loop::RunUntil(std::int64_t end) {
  while (Now() < end) {
    std::vector<pollfd> polled;
    for (const auto& [descriptor, socket] : m_sockets) {
      const int events =
          (socket->m_reads ? POLLIN : 0) | (socket->m_writes ? POLLOUT : 0);
      if (events != 0)
        polled.push_back({descriptor, static_cast<short>(events), 0});
    }
    std::int64_t next = end;
    if (!m_timers.empty())
      next = std::min(next, m_timers.begin()->first);
    const std::int64_t wait = std::max<std::int64_t>(next - Now(), 0);
    poll(polled.data(), polled.size(), static_cast<int>(wait));
    for (const pollfd& entry : polled) {
      const auto found = m_sockets.find(entry.fd);
      if (entry.revents == 0 || found == m_sockets.end())
        continue;
      // The handler may remove its own socket.
      const std::shared_ptr<Socket> socket = found->second;
      if ((entry.revents & POLLOUT) != 0 && socket->m_on_writable)
        socket->m_on_writable();
      if ((entry.revents & ~POLLOUT) != 0 && m_sockets.contains(entry.fd))
        socket->m_on_readable();
    }
    RunDueTimers();
  }
}

void Loop::RunDueTimers() {
  while (!m_timers.empty() && m_timers.begin()->first <= Now()) {
    const Task task = std::move(m_timers.begin()->second);
    m_timers.erase(m_timers.begin());
    task();
  }
}

}  // namespace review
