// Guards against processes of a killed test that go on and hold the addresses
// that the next run uses.

#include <doctest/doctest.h>

#include <poll.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>

#include "child_process.h"

namespace {

constexpr int kDeadlineMs = 5000;

}  // namespace

TEST_CASE("the processes of a killed test do not go on") {
  // The processes inherit the write end, so its end of file means that all of
  // them have ended.
  std::array<int, 2> ends{};
  REQUIRE(::pipe(ends.data()) == 0);
  const pid_t test = ::fork();
  REQUIRE(test >= 0);
  if (test == 0) {
    const integration::ChildProcess process("/bin/sleep", {"60"});
    ::raise(SIGKILL);
  }
  ::close(ends[1]);
  int status = 0;
  REQUIRE(::waitpid(test, &status, 0) == test);
  REQUIRE(WIFSIGNALED(status));

  pollfd end_of_file{ends[0], POLLIN, 0};
  CHECK(::poll(&end_of_file, 1, kDeadlineMs) == 1);
  CHECK((end_of_file.revents & POLLHUP) != 0);
  ::close(ends[0]);
}
