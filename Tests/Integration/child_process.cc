#include "child_process.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/process.hpp>
#include <boost/process/extend.hpp>
#include <boost/property_tree/json_parser.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>

#include "harness_error.h"

namespace integration {

namespace {

namespace process = boost::process;

std::optional<JsonLine> ParseLine(const std::string& line) {
  try {
    std::istringstream stream(line);
    JsonLine tree;
    boost::property_tree::read_json(stream, tree);
    return tree;
  } catch (const boost::property_tree::ptree_error&) {
    return std::nullopt;
  }
}

// Opens a file for the output of a child process in the folder that
// COLTSFOOTDALE_TEST_LOGS names, or returns a closed stream if the variable is
// not set.
std::ofstream OpenOutputFile(const std::string& name, int process_id) {
  const char* folder = std::getenv("COLTSFOOTDALE_TEST_LOGS");
  if (folder == nullptr)
    return {};
  return std::ofstream(std::string(folder) + "/" + name + "-" +
                       std::to_string(process_id) + ".log");
}

// Describes how a child process ended, without reaping it.
std::string DescribeEnd(int process_id) {
  siginfo_t info{};
  const int error = ::waitid(P_PID, static_cast<id_t>(process_id), &info,
                             WEXITED | WNOHANG | WNOWAIT);
  if (error != 0 || info.si_pid == 0)
    return "has closed its output and has no exit status yet";
  if (info.si_code == CLD_EXITED)
    return "ended with exit code " + std::to_string(info.si_status);
  return "was ended by signal " + std::to_string(info.si_status);
}

}  // namespace

struct ChildProcess::Handle {
  process::opstream m_input;
  process::ipstream m_output;
  process::child m_child;
};

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments)
    : m_name(program.substr(program.rfind('/') + 1)),
      m_handle(std::make_unique<Handle>()) {
  std::error_code error;
  // A test that is killed runs no destructor. Its processes would go on and
  // hold the addresses that the next run of the test uses.
  const auto end_with_parent = [parent = ::getpid()](auto& /*executor*/) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent)
      ::_exit(EXIT_FAILURE);
  };
  m_handle->m_child = process::child(
      process::exe = program, process::args = arguments,
      process::std_in<m_handle->m_input, process::std_out> m_handle->m_output,
      process::extend::on_exec_setup = end_with_parent, error);
  Require(!error, program + ": cannot start the program: " + error.message());
  m_reader = std::thread([this] { ReadLines(); });
}

ChildProcess::~ChildProcess() {
  if (IsRunning())
    Signal(SIGKILL);
  std::error_code ignored;
  m_handle->m_child.wait(ignored);
  m_reader.join();
}

bool ChildProcess::IsRunning() const {
  std::error_code ignored;
  return m_handle->m_child.running(ignored);
}

void ChildProcess::ReadLines() {
  std::ofstream file = OpenOutputFile(m_name, m_handle->m_child.id());
  std::string line;
  while (std::getline(m_handle->m_output, line)) {
    file << line << std::endl;
    auto parsed = ParseLine(line);
    if (!parsed)
      continue;
    const std::lock_guard lock(m_mutex);
    m_last_line = line;
    m_lines.push_back(std::move(*parsed));
    m_changed.notify_all();
  }
  const std::lock_guard lock(m_mutex);
  m_has_ended = true;
  m_changed.notify_all();
}

std::vector<JsonLine> ChildProcess::Lines(const std::string& event) const {
  const std::lock_guard lock(m_mutex);
  std::vector<JsonLine> lines;
  for (const JsonLine& line : m_lines) {
    if (line.get("event", "") == event)
      lines.push_back(line);
  }
  return lines;
}

std::optional<JsonLine> ChildProcess::LastLine(const std::string& event) const {
  const std::lock_guard lock(m_mutex);
  const auto last = std::find_if(
      m_lines.rbegin(), m_lines.rend(),
      [&](const JsonLine& line) { return line.get("event", "") == event; });
  if (last == m_lines.rend())
    return std::nullopt;
  return *last;
}

void ChildProcess::DiscardLines() {
  const std::lock_guard lock(m_mutex);
  m_lines.clear();
}

void ChildProcess::SendLine(const std::string& line) {
  m_handle->m_input << line << std::endl;
}

void ChildProcess::Signal(int signal) {
  ::kill(m_handle->m_child.id(), signal);
}

std::optional<JsonLine> ChildProcess::FindLine(
    std::size_t first,
    const std::string& event,
    const Predicate& predicate) const {
  for (std::size_t i = first; i < m_lines.size(); ++i) {
    const JsonLine& line = m_lines[i];
    if (line.get("event", "") == event && (!predicate || predicate(line)))
      return line;
  }
  return std::nullopt;
}

std::optional<JsonLine> ChildProcess::FindWithinFrom(
    std::size_t first,
    const std::string& event,
    std::chrono::milliseconds deadline,
    const Predicate& predicate) {
  std::unique_lock lock(m_mutex);
  std::optional<JsonLine> found;
  m_changed.wait_for(lock, deadline, [&] {
    found = FindLine(first, event, predicate);
    return found || m_has_ended;
  });
  return found;
}

bool ChildProcess::HasEnded() const {
  const std::lock_guard lock(m_mutex);
  return m_has_ended;
}

std::string ChildProcess::LastLine() const {
  const std::lock_guard lock(m_mutex);
  return m_last_line;
}

JsonLine ChildProcess::WaitFrom(std::size_t first,
                                const std::string& event,
                                std::chrono::milliseconds deadline,
                                const Predicate& predicate) {
  const auto found = FindWithinFrom(first, event, deadline, predicate);
  Require(
      found.has_value(),
      m_name + " did not print the event " + event + " within " +
          std::to_string(deadline.count()) + " ms" +
          (HasEnded() ? "; the process " + DescribeEnd(m_handle->m_child.id())
                      : "") +
          "; last line: " + LastLine());
  return *found;
}

JsonLine ChildProcess::WaitFor(const std::string& event,
                               std::chrono::milliseconds deadline,
                               const Predicate& predicate) {
  return WaitFrom(0, event, deadline, predicate);
}

JsonLine ChildProcess::WaitForLater(std::size_t line_count,
                                    const std::string& event,
                                    std::chrono::milliseconds deadline,
                                    const Predicate& predicate) {
  return WaitFrom(line_count, event, deadline, predicate);
}

std::size_t ChildProcess::LineCount() const {
  const std::lock_guard lock(m_mutex);
  return m_lines.size();
}

std::optional<JsonLine> ChildProcess::FindWithin(
    const std::string& event,
    std::chrono::milliseconds deadline,
    const Predicate& predicate) {
  return FindWithinFrom(0, event, deadline, predicate);
}

JsonLine ChildProcess::SendAndWait(const std::string& line,
                                   const std::string& event,
                                   std::chrono::milliseconds deadline) {
  const std::size_t first = LineCount();
  SendLine(line);
  return WaitFrom(first, event, deadline, nullptr);
}

int ChildProcess::WaitForExit(std::chrono::milliseconds deadline) {
  // Waits for the end of the output, because boost::process's wait_for may miss
  // the end of the child when several threads run.
  bool has_ended = false;
  {
    std::unique_lock lock(m_mutex);
    has_ended =
        m_changed.wait_for(lock, deadline, [this] { return m_has_ended; });
  }
  Require(has_ended, m_name + " did not exit within " +
                         std::to_string(deadline.count()) + " ms");
  std::error_code ignored;
  m_handle->m_child.wait(ignored);
  return m_handle->m_child.exit_code();
}

}  // namespace integration
