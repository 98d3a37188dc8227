// Servers with a grey failure accept requests and pass their health checks, but
// leave requests unanswered. Such servers must get few openings. Requests whose
// answers are acknowledged through another balancer must not count as
// unanswered.

#include <doctest/doctest.h>

#include <chrono>
#include <set>
#include <string>
#include <utility>

#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

constexpr int kServers = 4;
constexpr int kPeriodMs = 500;

// Simulates callers that open a flow every kPeriodMs and send one request on
// it. Servers answer after 20 ms unless they are unresponsive.
class UnresponsiveServerSimulation {
 public:
  UnresponsiveServerSimulation() {
    for (int i = 0; i < kServers; ++i)
      m_steering.directory().Apply(MakeServer("i-" + std::to_string(i)), At(0));
  }

  void SetUnresponsive(std::set<std::string> servers) {
    m_unresponsive = std::move(servers);
  }

  // Sends `requests` requests and returns how many of them went to `server`.
  int Run(int requests, const std::string& server) {
    int sent = 0;
    for (int i = 0; i < requests; ++i) {
      const auto port = static_cast<std::uint16_t>(++m_port);
      const Decision opening = m_steering.Handle(MakeOpening(port), At(m_now));
      const KnownServer* chosen = ServerOf(opening);
      REQUIRE(chosen != nullptr);
      const std::string name = chosen->m_record.m_name.value();
      sent += name == server ? 1 : 0;
      const FlowToken token = TokenOf(opening);
      m_steering.Handle(MakeData(port, token, 1, 500, 80), At(m_now + 2));
      if (!m_unresponsive.contains(name))
        m_steering.Handle(MakeData(port, token, 81, 900, 0), At(m_now + 20));
      m_now += kPeriodMs;
      m_overdue += static_cast<int>(m_steering.Sweep(At(m_now)).size());
    }
    return sent;
  }

  int Overdue() const { return m_overdue; }
  int Now() const { return m_now; }
  SteeringWithRoutes& steering() { return m_steering; }

 private:
  SteeringWithRoutes m_steering;
  std::set<std::string> m_unresponsive;
  int m_port = 1000;
  int m_now = 0;
  int m_overdue = 0;
};

}  // namespace

TEST_CASE("a server that leaves requests unanswered gets few openings") {
  UnresponsiveServerSimulation simulation;
  const int as_others = simulation.Run(80, "i-2");

  simulation.SetUnresponsive({"i-2"});
  simulation.Run(20, "i-2");
  const int while_unresponsive = simulation.Run(80, "i-2");

  CHECK(as_others >= 10);
  CHECK(while_unresponsive <= 8);
  CHECK(simulation.Overdue() >= 1);
}

TEST_CASE("a server that answers again gets as many openings as before") {
  UnresponsiveServerSimulation simulation;
  simulation.SetUnresponsive({"i-2"});
  simulation.Run(100, "i-2");

  simulation.SetUnresponsive({});
  simulation.Run(80, "i-2");
  const int afterwards = simulation.Run(80, "i-2");

  CHECK(afterwards >= 10);
}

TEST_CASE("when no server answers requests, every server still gets openings") {
  UnresponsiveServerSimulation simulation;
  simulation.SetUnresponsive({"i-0", "i-1", "i-2", "i-3"});
  simulation.Run(40, "i-0");

  for (const char* name : {"i-0", "i-1", "i-2", "i-3"})
    CHECK(simulation.Run(40, name) >= 1);
}

TEST_CASE(
    "requests do not count as unanswered when the routers redistribute flows "
    "among balancers") {
  UnresponsiveServerSimulation simulation;
  simulation.Run(40, "i-0");
  SteeringWithRoutes& steering = simulation.steering();
  const int now = simulation.Now();
  const Decision opening = steering.Handle(MakeOpening(1), At(now));
  steering.Handle(MakeData(1, TokenOf(opening), 1, 500, 80), At(now + 2));

  // The routers redistribute the flows: a packet of a flow that another
  // balancer opened arrives here.
  const FlowToken token = ServerOf(opening)->m_tokens[0];
  steering.Handle(MakeData(2, token, 4001, 9000, 80), At(now + 100));
  steering.Handle(MakeData(2, token, 4081, 9500, 0), At(now + 120));

  CHECK(steering.Sweep(At(now + 1400)).empty());
  CHECK(ServerOf(opening)->m_requests_in_progress == 0);
}

TEST_CASE(
    "a request whose answer this balancer does not see soon stops counting as "
    "load") {
  UnresponsiveServerSimulation simulation;
  simulation.Run(40, "i-0");
  SteeringWithRoutes& steering = simulation.steering();
  const int now = simulation.Now();
  const Decision opening = steering.Handle(MakeOpening(1), At(now));
  steering.Handle(MakeData(1, TokenOf(opening), 1, 500, 80), At(now + 2));
  const KnownServer& server = *ServerOf(opening);
  CHECK(server.m_requests_in_progress == 1);

  steering.Sweep(At(now + 500));

  CHECK(server.m_requests_in_progress == 0);
}

TEST_CASE("packets after the end of a flow do not count as load") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-0"), At(0));
  const Decision opening = steering.Handle(MakeOpening(1), At(0));
  const FlowToken token = TokenOf(opening);
  steering.Handle(MakeData(1, token, 1, 500, 80), At(2));
  CallerPacket end = MakeData(1, token, 81, 900, 0);
  end.m_is_end = true;
  steering.Handle(end, At(20));

  steering.Handle(MakeData(1, token, 82, 901, 0), At(22));

  CHECK(ServerOf(opening)->m_flows == 0);
  CHECK(steering.tracker().size() == 0);
}

TEST_CASE("a flow that is removed early no longer counts as load") {
  SteeringWithRoutes steering;
  steering.directory().Apply(MakeServer("i-0"), At(0));
  Manifest manifest = MakeManifest(2);
  manifest.m_idle_timeout = std::chrono::seconds(1);
  steering.ApplyManifest(manifest);
  const Decision opening = steering.Handle(MakeOpening(1), At(0));
  steering.Handle(MakeData(1, TokenOf(opening), 1, 500, 80), At(2));
  REQUIRE(ServerOf(opening)->m_flows == 1);

  steering.Sweep(At(1500));

  CHECK(steering.tracker().size() == 0);
  CHECK(ServerOf(opening)->m_flows == 0);
  CHECK(ServerOf(opening)->m_requests_in_progress == 0);
}

}  // namespace steering
