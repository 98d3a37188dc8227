// A single-threaded event loop: sockets by poll(2), and timers on the steady
// clock.

#ifndef REVIEW_HARNESS_LOOP_H_
#define REVIEW_HARNESS_LOOP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace review {

class Loop {
 public:
  using Task = std::function<void()>;

  struct Socket {
    // The socket is polled for input only while this is true.
    bool m_reads = true;
    bool m_writes = false;
    Task m_on_readable;
    Task m_on_writable;
  };

  // Milliseconds since the first call.
  static std::int64_t Now();

  // The socket stays registered until Remove. The loop does not own it.
  Socket& Add(int descriptor, Task on_readable);
  void Remove(int descriptor);
  void After(std::int64_t milliseconds, Task task);
  // Calls `task` again and again until the loop ends.
  void Every(std::int64_t milliseconds, const Task& task);
  // Runs until the time `end`, in milliseconds of Now().
  void RunUntil(std::int64_t end);

 private:
  void RunDueTimers();

  std::map<int, std::shared_ptr<Socket>> m_sockets;
  std::multimap<std::int64_t, Task> m_timers;
};

}  // namespace review

#endif  // REVIEW_HARNESS_LOOP_H_
