// One run of coltsfootdale-edge with settings and a log of its own. The sockets
// are on 127.78.NUMBER.10; no store listens at its address.

#ifndef TESTS_EDGE_EDGE_PROGRAM_H_
#define TESTS_EDGE_EDGE_PROGRAM_H_

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "edge_child_process.h"

// The settings file and the directory that holds it.
class EdgeFiles {
 public:
  // Writes valid settings. `number`: 0 to 255, a different one in each test.
  explicit EdgeFiles(int number);
  // Removes the directory.
  ~EdgeFiles();
  EdgeFiles(const EdgeFiles&) = delete;
  EdgeFiles& operator=(const EdgeFiles&) = delete;

  // Queries.
  const std::string& Address() const { return m_address; }
  std::string SettingsPath() const { return m_directory + "/settings.json"; }
  // A file name in the directory that was not returned before.
  std::string NewPath();
  // `stop_grace_s` is the time from SIGTERM to SIGKILL.
  std::string SettingsText(int stop_grace_s = 6) const;

  // Commands.
  void WriteSettings(const std::string& text);

 private:
  std::string m_directory;
  std::string m_address;
  int m_paths = 0;
};

class EdgeProgram {
 public:
  // Starts `program run` with the settings of `files`.
  explicit EdgeProgram(EdgeFiles& files,
                       const std::string& program = EDGE_PROGRAM);
  // Starts `program` with `arguments`.
  EdgeProgram(EdgeFiles& files,
              const std::string& program,
              const std::vector<std::string>& arguments);
  ~EdgeProgram();
  EdgeProgram(const EdgeProgram&) = delete;
  EdgeProgram& operator=(const EdgeProgram&) = delete;

  // Queries.
  // All output so far.
  const std::string& Log() const { return m_log; }
  bool HasLogged(std::string_view text) const {
    return m_log.find(text) != std::string::npos;
  }

  // Commands.
  void Signal(int signal) { m_process->Signal(signal); }
  // Reads the output until it contains `text`. Returns false at the deadline or
  // at the end of the process.
  bool WaitForLog(std::string_view text);
  // The status from waitpid(2), or nothing at the deadline.
  std::optional<int> WaitForEnd();

 private:
  // Returns false at the end of the output or at `deadline`.
  bool ReadLog(std::chrono::steady_clock::time_point deadline);

  int m_output = -1;
  std::unique_ptr<soak::EdgeChildProcess> m_process;
  std::string m_log;
};

// Sets a variable of the environment for the lifetime of the object.
class EnvironmentVariable {
 public:
  EnvironmentVariable(std::string name, const std::string& value);
  ~EnvironmentVariable();
  EnvironmentVariable(const EnvironmentVariable&) = delete;
  EnvironmentVariable& operator=(const EnvironmentVariable&) = delete;

 private:
  std::string m_name;
};

// The exit code in a status of waitpid(2); -1 if a signal ended the process or
// it still runs.
int ExitCodeOf(std::optional<int> status);

#endif  // TESTS_EDGE_EDGE_PROGRAM_H_
