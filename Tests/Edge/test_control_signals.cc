#include <doctest/doctest.h>

#include <pthread.h>
#include <signal.h>
#include <sys/wait.h>

#include <string>

#include "edge_program.h"
#include "held_port.h"

namespace {

// Raises a signal in each EDGE_WITH_RAISED_SIGNAL that is started during its
// lifetime.
class RaisedSignal {
 public:
  RaisedSignal(int signal, const std::string& moment)
      : m_signal("RAISED_SIGNAL", std::to_string(signal)),
        m_moment("RAISED_AT", moment) {}

 private:
  EnvironmentVariable m_signal;
  EnvironmentVariable m_moment;
};

// Blocks a signal in this thread and in the programs that it starts.
class BlockedSignal {
 public:
  explicit BlockedSignal(int signal) {
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, signal);
    pthread_sigmask(SIG_BLOCK, &set, &m_former);
  }
  ~BlockedSignal() { pthread_sigmask(SIG_SETMASK, &m_former, nullptr); }
  BlockedSignal(const BlockedSignal&) = delete;
  BlockedSignal& operator=(const BlockedSignal&) = delete;

 private:
  sigset_t m_former{};
};

}  // namespace

TEST_CASE("a SIGHUP before the static initialisers does not end the process") {
  EdgeFiles files(1);
  const RaisedSignal raised(SIGHUP, "start");
  EdgeProgram program(files, EDGE_WITH_RAISED_SIGNAL);

  CHECK(program.WaitForLog("settings_reloaded"));
  program.Signal(SIGTERM);
  CHECK(ExitCodeOf(program.WaitForEnd()) == 0);
}

TEST_CASE("a SIGTERM before the static initialisers shuts down gracefully") {
  for (const int signal : {SIGTERM, SIGINT}) {
    EdgeFiles files(2);
    const RaisedSignal raised(signal, "start");
    EdgeProgram program(files, EDGE_WITH_RAISED_SIGNAL);

    CHECK(ExitCodeOf(program.WaitForEnd()) == 0);
    CHECK(program.HasLogged("shutdown_started"));
  }
}

TEST_CASE("a signal after the event loop does not change the exit code") {
  for (const int signal : {SIGHUP, SIGTERM, SIGINT}) {
    EdgeFiles files(3);
    const RaisedSignal raised(signal, "exit");
    EdgeProgram program(files, EDGE_WITH_RAISED_SIGNAL);
    REQUIRE(program.WaitForLog("listening"));

    program.Signal(SIGTERM);

    CHECK(ExitCodeOf(program.WaitForEnd()) == 0);
  }
}

TEST_CASE("signals that the parent process blocks are handled") {
  EdgeFiles files(4);
  const BlockedSignal blocked(SIGTERM);
  EdgeProgram program(files);
  REQUIRE(program.WaitForLog("listening"));

  program.Signal(SIGTERM);

  CHECK(ExitCodeOf(program.WaitForEnd()) == 0);
}

TEST_CASE("signals in series before and during the shutdown end nothing") {
  EdgeFiles files(5);
  EdgeProgram program(files);
  REQUIRE(program.WaitForLog("listening"));
  for (int count = 0; count < 100; ++count)
    program.Signal(SIGHUP);
  REQUIRE(program.WaitForLog("settings_reloaded"));

  program.Signal(SIGTERM);
  REQUIRE(program.WaitForLog("shutdown_started"));
  for (int count = 0; count < 100; ++count) {
    program.Signal(SIGHUP);
    program.Signal(SIGTERM);
  }

  CHECK(ExitCodeOf(program.WaitForEnd()) == 0);
}

TEST_CASE("a command that waits for a balancer is ended by a signal") {
  for (const int signal : {SIGHUP, SIGTERM, SIGINT}) {
    EdgeFiles files(6);
    constexpr int kPort = 7990;
    const HeldPort silent(HeldPort::Protocol::kTcp, files.Address(), kPort);
    EdgeProgram program(
        files, EDGE_PROGRAM,
        {"status", "--address", files.Address() + ":" + std::to_string(kPort)});

    program.Signal(signal);

    const auto status = program.WaitForEnd();
    REQUIRE(status);
    CHECK(WIFSIGNALED(*status));
    CHECK(WTERMSIG(*status) == signal);
  }
}
