// One run of the edge balancer's program, as a child process.

#ifndef TESTS_SOAK_EDGE_CHILD_PROCESS_H_
#define TESTS_SOAK_EDGE_CHILD_PROCESS_H_

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace soak {

class EdgeChildProcess {
 public:
  // Starts `program` and appends its output to the file `log`. Throws if the
  // program cannot be started.
  EdgeChildProcess(const std::string& program,
                   const std::vector<std::string>& arguments,
                   const std::string& log);
  // Kills the process if it still runs.
  ~EdgeChildProcess();
  EdgeChildProcess(const EdgeChildProcess&) = delete;
  EdgeChildProcess& operator=(const EdgeChildProcess&) = delete;

  // Queries.
  pid_t Id() const { return m_id; }

  // Commands.
  // The status from waitpid(2), or nothing while the process runs.
  std::optional<int> ExitStatus();
  // Sends a signal unless the process has ended.
  void Signal(int signal);
  // Kills the process and waits until it has ended.
  void Kill();

 private:
  pid_t m_id = -1;
  std::optional<int> m_exit_status;
};

}  // namespace soak

#endif  // TESTS_SOAK_EDGE_CHILD_PROCESS_H_
