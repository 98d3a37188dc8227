// A child process of a test. A thread reads the JSON lines that the process
// prints; the destructor kills the process, and the kernel does so if the
// thread that started the process ends.

#ifndef TESTS_INTEGRATION_CHILD_PROCESS_H_
#define TESTS_INTEGRATION_CHILD_PROCESS_H_

#include <boost/property_tree/ptree.hpp>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace integration {

using JsonLine = boost::property_tree::ptree;

class ChildProcess {
 public:
  using Predicate = std::function<bool(const JsonLine&)>;

  // Starts `program`; throws a HarnessError if it cannot be started.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments);
  // Kills the process if it still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Queries.
  bool IsRunning() const;
  // All lines of `event` read so far.
  std::vector<JsonLine> Lines(const std::string& event) const;
  // The number of lines read so far.
  std::size_t LineCount() const;
  // The latest line of `event`.
  std::optional<JsonLine> LastLine(const std::string& event) const;

  // Commands.
  // Discards all lines read so far, to bound the memory of a long run.
  void DiscardLines();
  void SendLine(const std::string& line);
  void Signal(int signal);
  // Returns the first line of `event` that fulfils `predicate`. Searches the
  // lines already read, then waits; throws a HarnessError at the deadline.
  JsonLine WaitFor(const std::string& event,
                   std::chrono::milliseconds deadline,
                   const Predicate& predicate = nullptr);
  // Like WaitFor, but ignores the first `line_count` lines.
  JsonLine WaitForLater(std::size_t line_count,
                        const std::string& event,
                        std::chrono::milliseconds deadline,
                        const Predicate& predicate = nullptr);
  // Like WaitFor, but returns nothing at the deadline.
  std::optional<JsonLine> FindWithin(const std::string& event,
                                     std::chrono::milliseconds deadline,
                                     const Predicate& predicate = nullptr);
  // Sends `line` and waits for the next line of `event`.
  JsonLine SendAndWait(
      const std::string& line,
      const std::string& event,
      std::chrono::milliseconds deadline = std::chrono::seconds(5));
  // Returns the exit code; throws a HarnessError if the process does not end
  // within `deadline`.
  int WaitForExit(std::chrono::milliseconds deadline);

 private:
  struct Handle;

  bool HasEnded() const;
  std::string LastLine() const;
  void ReadLines();
  std::optional<JsonLine> FindLine(std::size_t first,
                                   const std::string& event,
                                   const Predicate& predicate) const;
  std::optional<JsonLine> FindWithinFrom(std::size_t first,
                                         const std::string& event,
                                         std::chrono::milliseconds deadline,
                                         const Predicate& predicate);
  JsonLine WaitFrom(std::size_t first,
                    const std::string& event,
                    std::chrono::milliseconds deadline,
                    const Predicate& predicate);

  std::string m_name;
  std::unique_ptr<Handle> m_handle;
  mutable std::mutex m_mutex;
  std::condition_variable m_changed;
  std::vector<JsonLine> m_lines;
  std::string m_last_line;
  bool m_has_ended = false;
  std::thread m_reader;
};

}  // namespace integration

#endif  // TESTS_INTEGRATION_CHILD_PROCESS_H_
