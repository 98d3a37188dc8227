#include "edge_program.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <poll.h>
#include <sched.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <system_error>
#include <utility>
#include <vector>

namespace {

using Clock = std::chrono::steady_clock;

// A process ends within its grace of 6 s; a busy machine may take longer.
constexpr std::chrono::seconds kDeadline{30};
constexpr int kMetricsPort = 7990;

[[noreturn]] void ThrowSystemError(const std::string& what) {
  throw std::system_error(errno, std::generic_category(), what);
}

}  // namespace

EdgeFiles::EdgeFiles(int number)
    : m_address(fmt::format("127.78.{}.10", number)) {
  std::string pattern =
      std::filesystem::temp_directory_path() / "edge-test-XXXXXX";
  if (mkdtemp(pattern.data()) == nullptr)
    ThrowSystemError(pattern);
  m_directory = pattern;
  WriteSettings(SettingsText());
}

EdgeFiles::~EdgeFiles() {
  std::error_code ignored;
  std::filesystem::remove_all(m_directory, ignored);
}

std::string EdgeFiles::NewPath() {
  return fmt::format("{}/file-{}", m_directory, ++m_paths);
}

std::string EdgeFiles::SettingsText(int stop_grace_s) const {
  constexpr std::string_view kText = R"({{
 "node_name": "front-1", "role": "edge", "machine_class": "front",
 "serves": ["front", "control"], "ip": "{0}", "zone": "hall-1", "region": "r",
 "zones": {{"hall-1": "r"}},
 "listen": {{"datagram_addr": "{0}:8172", "ready_addr": "{0}:8167",
             "control": "{0}:8166"}},
 "internal_ports": [7720, 7735], "seeds": ["{0}:8166"], "bootstrap": true,
 "counts_for_tolerance": false,
 "limits": {{"cpu_share": 0.055, "cores": 1, "memory_mb": 260, "max_fds": 4100,
             "link_mbps": 1000.0, "disk_mb": 0}},
 "data_dir": null, "discovery": "platform", "entry": "announce",
 "heartbeat_ms": 1200, "invariants": ["base", "drain", "config", "platform"],
 "fault_tolerance": {{"machines": 2, "zones": 1, "regions": 0}},
 "bounds": {{"seed_lag_s": 3, "addr_reuse_s": 2, "stable_window_ms": 4000,
             "ack_ms": 5000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": {1},
             "loss_slack_ms": 200, "config_apply_ms": 3000,
             "rollback_slack_ms": 250, "max_skew_ms": 12000, "recovery_s": 12,
             "reorder_ms": 2000, "max_flow_s": 60}},
 "flow_hash": "mod", "forward_mode": "echo",
 "platform": {{"address": "{0}:8169", "forward_mode": "objects",
               "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
               "value_bytes": 1048576, "min_ttl_ms": 1000}}
}}
)";
  return fmt::format(kText, m_address, stop_grace_s);
}

void EdgeFiles::WriteSettings(const std::string& text) {
  const std::string path = NewPath();
  std::ofstream(path) << text;
  std::filesystem::rename(path, SettingsPath());
}

EdgeProgram::EdgeProgram(EdgeFiles& files, const std::string& program)
    : EdgeProgram(files,
                  program,
                  {"run", "--settings", files.SettingsPath(), "--metrics-port",
                   std::to_string(kMetricsPort)}) {}

EdgeProgram::EdgeProgram(EdgeFiles& files,
                         const std::string& program,
                         const std::vector<std::string>& arguments) {
  const std::string log = files.NewPath();
  if (mkfifo(log.c_str(), 0600) != 0)
    ThrowSystemError(log);
  m_output = open(log.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
  if (m_output < 0)
    ThrowSystemError(log);
  m_process = std::make_unique<soak::EdgeChildProcess>(program, arguments, log);
}

EdgeProgram::~EdgeProgram() {
  m_process.reset();
  close(m_output);
}

bool EdgeProgram::WaitForLog(std::string_view text) {
  const auto deadline = Clock::now() + kDeadline;
  while (!HasLogged(text)) {
    if (!ReadLog(deadline))
      return HasLogged(text);
  }
  return true;
}

std::optional<int> EdgeProgram::WaitForEnd() {
  const auto deadline = Clock::now() + kDeadline;
  while (ReadLog(deadline)) {
  }
  // The output ends a moment before waitpid(2) reports the end.
  while (!m_process->ExitStatus() && Clock::now() < deadline)
    sched_yield();
  return m_process->ExitStatus();
}

bool EdgeProgram::ReadLog(Clock::time_point deadline) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - Clock::now());
  pollfd readable{m_output, POLLIN, 0};
  if (poll(&readable, 1, std::max(0, static_cast<int>(left.count()))) <= 0)
    return false;
  std::array<char, 4096> buffer{};
  const ssize_t bytes = read(m_output, buffer.data(), buffer.size());
  if (bytes <= 0)
    return false;
  m_log.append(buffer.data(), static_cast<std::size_t>(bytes));
  return true;
}

EnvironmentVariable::EnvironmentVariable(std::string name,
                                         const std::string& value)
    : m_name(std::move(name)) {
  setenv(m_name.c_str(), value.c_str(), 1);
}

EnvironmentVariable::~EnvironmentVariable() {
  unsetenv(m_name.c_str());
}

int ExitCodeOf(std::optional<int> status) {
  return status && WIFEXITED(*status) ? WEXITSTATUS(*status) : -1;
}
