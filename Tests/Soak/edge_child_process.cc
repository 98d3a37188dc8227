#include "edge_child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <system_error>

extern char** environ;  // NOLINT(readability-identifier-naming)

namespace soak {

EdgeChildProcess::EdgeChildProcess(const std::string& program,
                                   const std::vector<std::string>& arguments,
                                   const std::string& log) {
  std::vector<std::string> words = {program};
  words.insert(words.end(), arguments.begin(), arguments.end());
  std::vector<char*> pointers;
  pointers.reserve(words.size() + 1);
  for (std::string& word : words)
    pointers.push_back(word.data());
  pointers.push_back(nullptr);

  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  // The balancer must not inherit the sockets of the soak.
  posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
  const int error = posix_spawn(&m_id, program.c_str(), &actions, nullptr,
                                pointers.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0)
    throw std::system_error(error, std::generic_category(), program);
}

EdgeChildProcess::~EdgeChildProcess() {
  Kill();
}

std::optional<int> EdgeChildProcess::ExitStatus() {
  int status = 0;
  if (!m_exit_status && waitpid(m_id, &status, WNOHANG) == m_id)
    m_exit_status = status;
  return m_exit_status;
}

void EdgeChildProcess::Signal(int signal) {
  if (!ExitStatus())
    ::kill(m_id, signal);
}

void EdgeChildProcess::Kill() {
  if (ExitStatus())
    return;
  ::kill(m_id, SIGKILL);
  int status = 0;
  if (waitpid(m_id, &status, 0) == m_id)
    m_exit_status = status;
}

}  // namespace soak
