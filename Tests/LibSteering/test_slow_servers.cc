// A balancer sends each server of a service a request every few seconds. A slow
// server must be found from these few answers, and requests that take long on
// any server must not make sound servers look slow.

#include <doctest/doctest.h>

#include <functional>
#include <set>
#include <string>

#include "LibBase/random.h"
#include "LibSteering/slow_servers.h"
#include "LibSteering/steering_fixture.h"

namespace steering {

namespace {

constexpr int kServers = 40;
// Each server gets a request every 2 s on average.
constexpr int kAnswersPerSecond = 20;
constexpr double kNetworkMs = 9;
constexpr double kWorkMs = 26;
constexpr double kLongFactor = 7;

class AnswerSimulation {
 public:
  // `long_share` of the requests take kLongFactor times as long as others.
  explicit AnswerSimulation(double long_share = 0.03)
      : m_long_share(long_share) {
    for (int i = 0; i < kServers; ++i)
      m_directory.Apply(MakeServer("i-" + std::to_string(i)), At(0));
  }

  // `factor` is how much longer than usual a server works.
  void Run(int seconds,
           const std::function<double(const KnownServer&)>& factor) {
    const auto& servers = m_directory.ServersOf("portal");
    for (int i = 0; i < seconds * kAnswersPerSecond; ++i) {
      m_now += 1000 / kAnswersPerSecond;
      KnownServer& server = *servers[m_random.Below(servers.size())];
      const double work = kWorkMs * factor(server) *
                          (m_random.Unit() < m_long_share ? kLongFactor : 1) *
                          (0.75 + 0.5 * m_random.Unit());
      const auto time = std::chrono::duration_cast<base::Duration>(
          std::chrono::duration<double, std::milli>(kNetworkMs + work));
      m_slow.RecordAnswer(server, {base::Ipv4Address(1), 443}, time, Now());
      m_slow.Sweep(
          [this](ServerHandle handle) {
            return m_directory.FindByHandle(handle);
          },
          Now());
      m_avoided += Avoided();
      ++m_answers;
    }
  }

  base::TimePoint Now() const { return At(m_now); }
  std::size_t Avoided() const {
    return kServers -
           m_slow.WithoutSlow(m_directory.ServersOf("portal"), Now()).size();
  }
  bool IsAvoided(const std::string& name) const {
    return m_directory.FindByName(ServerName(name))
        ->m_slow_answers.IsSlow(Now());
  }
  // The mean share of servers that were avoided.
  double AvoidedShare() const {
    return static_cast<double>(m_avoided) / m_answers / kServers;
  }
  SlowServers& slow() { return m_slow; }

 private:
  double m_long_share;
  ServerDirectory m_directory;
  SlowServers m_slow;
  base::Random m_random{17};
  int m_now = 0;
  std::size_t m_avoided = 0;
  int m_answers = 0;
};

double Usual(const KnownServer& /*server*/) {
  return 1;
}

std::function<double(const KnownServer&)> SlowAt(double factor, int count = 1) {
  return [factor, count](const KnownServer& server) {
    return std::stoi(server.m_record.m_name.value().substr(2)) < count ? factor
                                                                       : 1.0;
  };
}

}  // namespace

TEST_CASE("requests that take long on any server make no sound server slow") {
  for (const double long_share : {0.03, 0.2}) {
    AnswerSimulation simulation(long_share);
    simulation.Run(1800, Usual);

    CHECK(simulation.AvoidedShare() < 0.001);
  }
}

TEST_CASE(
    "a server that is five to eight times slower is avoided after some 20 s "
    "and used again after it recovered") {
  for (const double factor : {5.0, 8.0}) {
    AnswerSimulation simulation;
    simulation.Run(30, Usual);
    simulation.Run(20, SlowAt(factor));
    CHECK(simulation.IsAvoided("i-0"));
    CHECK(simulation.Avoided() == 1);
    simulation.Run(30, Usual);
    CHECK_FALSE(simulation.IsAvoided("i-0"));
    CHECK(simulation.slow().TakeChanges().size() == 2);
  }
}

TEST_CASE("if all servers become slow at once, none is avoided for long") {
  AnswerSimulation simulation;
  simulation.Run(30, Usual);
  CHECK(simulation.slow().LoadOf("portal", simulation.Now()) < 1.5);
  simulation.Run(60, SlowAt(6, kServers));

  CHECK(simulation.AvoidedShare() < 0.01);
  // The answer times stop the extra work too.
  CHECK(simulation.slow().LoadOf("portal", simulation.Now()) > 3);
}

TEST_CASE("at most a fifth of the servers is avoided") {
  AnswerSimulation simulation;
  simulation.Run(30, Usual);
  simulation.Run(120, SlowAt(8, kServers / 3));

  CHECK(simulation.Avoided() <= kServers / 5);
}

}  // namespace steering
