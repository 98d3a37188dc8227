#include <doctest/doctest.h>

#include <signal.h>

#include <cstdint>
#include <memory>
#include <string>

#include "edge_program.h"
#include "held_port.h"

namespace {

using Protocol = HeldPort::Protocol;

struct Listener {
  Protocol m_protocol;
  std::uint16_t m_port;
};

// Packets, readiness, control, metrics, and the feed's two.
constexpr Listener kListeners[] = {
    {Protocol::kUdp, 8172}, {Protocol::kTcp, 8167}, {Protocol::kTcp, 8166},
    {Protocol::kTcp, 7990}, {Protocol::kUdp, 7721}, {Protocol::kTcp, 7721}};

}  // namespace

TEST_CASE("a successor waits for the ports of a process that shuts down") {
  EdgeFiles files(11);
  auto former = std::make_unique<EdgeProgram>(files);
  REQUIRE(former->WaitForLog("listening"));

  for (int restart = 0; restart < 3; ++restart) {
    former->Signal(SIGTERM);
    REQUIRE(former->WaitForLog("shutdown_started"));
    auto successor = std::make_unique<EdgeProgram>(files);
    REQUIRE(successor->WaitForLog("bind_delayed"));
    CHECK_FALSE(successor->HasLogged("\"listening\""));

    CHECK(ExitCodeOf(former->WaitForEnd()) == 0);
    CHECK(successor->WaitForLog("\"listening\""));
    former = std::move(successor);
  }
}

TEST_CASE("a process that starts waits for each of its ports") {
  for (const Listener& listener : kListeners) {
    CAPTURE(listener.m_port);
    EdgeFiles files(12);
    auto held = std::make_unique<HeldPort>(listener.m_protocol, files.Address(),
                                           listener.m_port);
    EdgeProgram program(files);
    REQUIRE(program.WaitForLog("bind_delayed"));
    CHECK(program.HasLogged(files.Address() + ":" +
                            std::to_string(listener.m_port)));

    program.Signal(SIGHUP);
    CHECK(program.WaitForLog("settings_reloaded"));
    held.reset();
    CHECK(program.WaitForLog("\"listening\""));
    program.Signal(SIGTERM);
    CHECK(ExitCodeOf(program.WaitForEnd()) == 0);
  }
}

TEST_CASE("a process that waits for ports is shut down by SIGTERM") {
  EdgeFiles files(14);
  const HeldPort packets(Protocol::kUdp, files.Address(), 8172);
  EdgeProgram program(files);
  REQUIRE(program.WaitForLog("bind_delayed"));

  program.Signal(SIGTERM);

  CHECK(ExitCodeOf(program.WaitForEnd()) == 0);
  CHECK(program.HasLogged("shutdown_finished"));
}

TEST_CASE("a process gives up on ports that another program keeps") {
  EdgeFiles files(15);
  files.WriteSettings(files.SettingsText(1));
  const HeldPort packets(Protocol::kUdp, files.Address(), 8172);
  EdgeProgram program(files);

  CHECK(ExitCodeOf(program.WaitForEnd()) == 4);
  CHECK(program.HasLogged("bind_delayed"));
  CHECK(program.HasLogged("bind_failed"));
}
