#include <doctest/doctest.h>

#include <chrono>

#include "StandIns/fault_plan.h"

using namespace std::chrono_literals;
using stand_ins::Direction;
using stand_ins::FaultPlan;
using stand_ins::ProxyProtocol;

namespace {

struct Fixture {
  explicit Fixture(ProxyProtocol protocol) : m_plan(protocol, 1) {
    m_plan.AddCommands(&m_commands, [this] { ++m_changes; });
  }

  bool Succeeds(std::string_view line) {
    return m_commands.Execute(line).Text().starts_with(R"({"event":"done")");
  }

  std::size_t CopiesOf(Direction direction) {
    return m_plan.DrawCopies(direction).size();
  }

  FaultPlan m_plan;
  stand_ins::LineCommands m_commands;
  int m_changes = 0;
};

}  // namespace

TEST_CASE("without faults a datagram is delivered once without delay") {
  Fixture fixture(ProxyProtocol::kUdp);
  CHECK(fixture.m_plan.DrawCopies(Direction::kForward) ==
        std::vector<base::Duration>{0ms});
}

TEST_CASE("each fault acts only in the directions that its command names") {
  Fixture fixture(ProxyProtocol::kUdp);

  REQUIRE(fixture.Succeeds("loss 1 forward"));
  CHECK(fixture.CopiesOf(Direction::kForward) == 0);
  CHECK(fixture.CopiesOf(Direction::kBackward) == 1);
  REQUIRE(fixture.Succeeds("heal"));
  REQUIRE(fixture.Succeeds("duplicate 1"));
  CHECK(fixture.CopiesOf(Direction::kForward) == 2);
  CHECK(fixture.CopiesOf(Direction::kBackward) == 2);
  REQUIRE(fixture.Succeeds("heal"));
  REQUIRE(fixture.Succeeds("cut backward"));
  CHECK(fixture.CopiesOf(Direction::kForward) == 1);
  CHECK(fixture.CopiesOf(Direction::kBackward) == 0);
  REQUIRE(fixture.Succeeds("cut both"));
  CHECK(fixture.CopiesOf(Direction::kForward) == 0);
  REQUIRE(fixture.Succeeds("heal"));
  REQUIRE(fixture.Succeeds("reorder 1 backward"));
  CHECK(fixture.m_plan.DrawCopies(Direction::kBackward).at(0) ==
        FaultPlan::kReorderDelay);
  REQUIRE(fixture.Succeeds("freeze forward"));
  CHECK(fixture.m_plan.RulesOf(Direction::kForward).m_frozen);
  CHECK_FALSE(fixture.m_plan.RulesOf(Direction::kBackward).m_frozen);
  REQUIRE(fixture.Succeeds("thaw"));
  CHECK_FALSE(fixture.m_plan.RulesOf(Direction::kForward).m_frozen);
  CHECK(fixture.m_changes == 10);
}

TEST_CASE(
    "a drawn delay lies between the delay and the delay plus the jitter") {
  Fixture fixture(ProxyProtocol::kTcp);
  REQUIRE(fixture.Succeeds("delay 5 3"));
  for (int draw = 0; draw < 1000; ++draw) {
    const auto delay = fixture.m_plan.DrawDelay(Direction::kForward);
    CHECK(delay >= 5ms);
    CHECK(delay < 8ms);
  }
}

TEST_CASE("malformed commands, and UDP faults on a TCP proxy, are rejected") {
  Fixture udp(ProxyProtocol::kUdp);
  for (const char* line :
       {"", "nonsense", "loss", "loss 1.5", "loss -1", "loss x", "loss 1 up",
        "loss 1 forward forward", "delay 5", "delay 5 -1", "cut", "cut up",
        "freeze both", "loss nan"})
    CHECK_FALSE(udp.Succeeds(line));
  CHECK(udp.m_changes == 0);
  Fixture tcp(ProxyProtocol::kTcp);
  for (const char* line : {"loss 0.1", "duplicate 0.1", "reorder 0.1"})
    CHECK_FALSE(tcp.Succeeds(line));
}
