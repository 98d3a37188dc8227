// A server that is slow after its start must get no more requests than it can
// handle, from all balancers together and without coordination for each
// opening.

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "LibBase/random.h"
#include "LibSteering/steering_fixture.h"
#include "LibSteering/warm_up_budget.h"

namespace steering {

namespace {

constexpr WarmUpLimits kLimits = {1.5, 5};

// The openings to one cold server.
struct Outcome {
  std::size_t m_most_in_a_second = 0;
  double m_mean_per_second = 0;
};

struct Deciders {
  std::uint32_t m_count = 0;
  // The estimates of the first third of the balancers and of the others,
  // relative to the real number.
  double m_estimate_of_third = 1;
  double m_estimate_of_others = 1;
  // Openings come in this part of each period of two seconds only.
  double m_demand_part = 1;
};

Outcome Simulate(const Deciders& deciders, double rate, std::uint64_t seed) {
  constexpr double kOpeningsPerSecond = 1463;
  constexpr int kSeconds = 60;
  base::Random random(seed);
  ServiceOptions options;
  options.m_warm_up_requests_per_second = rate;
  std::vector<WarmUpBudget> budgets(deciders.m_count);
  std::vector<WarmUpShare> shares(deciders.m_count);
  for (std::uint32_t i = 0; i < deciders.m_count; ++i) {
    const double ratio = i < deciders.m_count / 3
                             ? deciders.m_estimate_of_third
                             : deciders.m_estimate_of_others;
    budgets[i].SetLimits(kLimits);
    budgets[i].SetBalancers(
        static_cast<std::uint32_t>(ratio * deciders.m_count));
  }
  Outcome outcome;
  std::deque<base::TimePoint> last_second;
  int openings = 0;
  const auto gap = std::chrono::duration<double>(1 / kOpeningsPerSecond);
  for (int i = 0; i < kSeconds * kOpeningsPerSecond; ++i) {
    const auto elapsed = gap * (i + random.Unit());
    const double period_part = std::fmod(elapsed.count(), 2.0) / 2;
    const base::TimePoint now =
        At(0) + std::chrono::duration_cast<base::Duration>(elapsed);
    const auto chosen = random.Below(deciders.m_count);
    if (period_part >= deciders.m_demand_part ||
        !budgets[chosen].MayOpen(shares[chosen], options, true, random, now))
      continue;
    WarmUpBudget::RecordOpening(shares[chosen]);
    ++openings;
    last_second.push_back(now);
    while (now - last_second.front() >= std::chrono::seconds(1))
      last_second.pop_front();
    outcome.m_most_in_a_second =
        std::max(outcome.m_most_in_a_second, last_second.size());
  }
  outcome.m_mean_per_second = openings / double{kSeconds};
  return outcome;
}

void CheckBound(const Deciders& deciders, double least_part_of_rate) {
  for (const double rate : {5.0, 10.0, 20.0, 60.0}) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      const Outcome outcome = Simulate(deciders, rate, seed);
      CAPTURE(deciders.m_count);
      CAPTURE(rate);
      CAPTURE(seed);
      CHECK(static_cast<double>(outcome.m_most_in_a_second) <=
            rate * kLimits.m_overrun + kLimits.m_slack);
      CHECK(outcome.m_mean_per_second >= least_part_of_rate * rate);
    }
  }
}

constexpr std::uint32_t kFleets[] = {67, 95, 195};

ServerRecord MakeColdServer(const std::string& name) {
  ServerRecord record = MakeServer(name);
  record.m_warm_up_left = std::chrono::seconds(20);
  return record;
}

Manifest MakeLimitedManifest(double rate) {
  Manifest manifest = MakeManifest(2);
  manifest.m_services = {{"portal", "/health", std::chrono::seconds(2), rate}};
  return manifest;
}

}  // namespace

TEST_CASE("a fleet sends a cold server more than its rate in some second") {
  for (const std::uint32_t count : kFleets)
    CheckBound({count}, 0.3);
}

TEST_CASE("a fleet that seems 30% smaller overloads a cold server") {
  for (const std::uint32_t count : kFleets)
    CheckBound({count, 0.7, 0.7}, 0.45);
}

TEST_CASE("balancers that do not see a third of the fleet overload a server") {
  for (const std::uint32_t count : kFleets)
    CheckBound({count, 0.67, 1}, 0.35);
}

// The most requests in a second at one of the servers of a fleet whose callers
// send ten requests on each flow, 0.8 s apart.
std::size_t MostRequestsOnLongFlows(std::uint32_t balancers,
                                    const ServiceOptions& options,
                                    std::uint64_t seed) {
  constexpr double kOpeningsPerSecond = 1486;
  constexpr int kRequests = 10;
  constexpr std::chrono::milliseconds kPause(800);
  base::Random random(seed);
  std::vector<WarmUpBudget> budgets(balancers);
  for (WarmUpBudget& budget : budgets) {
    budget.SetLimits(kLimits);
    budget.SetBalancers(balancers);
    // What it has counted in normal operation.
    for (int i = 0; i < 100 * kRequests; ++i) {
      budget.RecordRequest(options.m_service, At(0));
      if (i % kRequests == 0)
        budget.RecordFlow(options.m_service, At(0));
    }
  }
  std::vector<WarmUpShare> shares(balancers);
  std::vector<base::TimePoint> requests;
  const base::TimePoint end = At(0) + options.m_warm_up;
  const auto gap = std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double>(1 / kOpeningsPerSecond));
  for (base::TimePoint now = At(0); now < end; now += gap) {
    const auto chosen = random.Below(balancers);
    if (!budgets[chosen].MayOpen(shares[chosen], options, true, random, now))
      continue;
    WarmUpBudget::RecordOpening(shares[chosen]);
    for (int i = 0; i < kRequests && now + i * kPause < end; ++i)
      requests.push_back(now + i * kPause);
  }
  std::ranges::sort(requests);
  std::size_t most = 0;
  for (std::size_t first = 0, last = 0; last < requests.size(); ++last) {
    while (requests[last] - requests[first] >= std::chrono::seconds(1))
      ++first;
    most = std::max(most, last - first + 1);
  }
  return most;
}

TEST_CASE("further requests on open flows overload a cold server") {
  for (const std::uint32_t count : kFleets) {
    for (const int cold_ms : {2500, 10'000}) {
      for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        const ServiceOptions options = {"portal", "/health",
                                        std::chrono::milliseconds(cold_ms), 20};
        CAPTURE(count);
        CAPTURE(cold_ms);
        CAPTURE(seed);
        CHECK(MostRequestsOnLongFlows(count, options, seed) <= 35);
      }
    }
  }
}

TEST_CASE("openings that were saved up reach a cold server together") {
  for (const std::uint32_t count : kFleets)
    CheckBound({count, 1, 1, 0.25}, 0);
}

TEST_CASE(
    "a cold server gets openings before the number of balancers is known") {
  SteeringWithRoutes steering;
  steering.ApplyManifest(MakeLimitedManifest(20));
  steering.directory().Apply(MakeColdServer("i-cold"), At(0));
  steering.directory().Apply(MakeServer("i-warm"), At(0));

  for (std::uint16_t i = 0; i < 200; ++i) {
    const auto* server = ServerOf(steering.Handle(
        MakeOpening(static_cast<std::uint16_t>(1000 + i)), At(10 * i)));
    REQUIRE(server != nullptr);
    CHECK(server->m_record.m_name.value() == "i-warm");
  }
}

TEST_CASE(
    "openings beyond the rate of cold servers wait for the caller's limit") {
  SteeringWithRoutes steering;
  steering.ApplyManifest(MakeLimitedManifest(20));
  steering.warm_up().SetLimits(kLimits);
  steering.warm_up().SetBalancers(67);
  steering.directory().Apply(MakeColdServer("i-cold"), At(0));
  int placed = 0;
  for (std::uint16_t i = 0; i < 1000; ++i) {
    const Decision decision = steering.Handle(
        MakeOpening(static_cast<std::uint16_t>(1000 + i)), At(10 * i));
    placed += ServerOf(decision) != nullptr ? 1 : 0;
    if (ServerOf(decision) == nullptr) {
      CHECK(IsReset(decision));
      CHECK(decision.m_reason == Reason::kServersCold);
    }
  }
  // An equal share for ten seconds: 20 * 10 / 67 at most.
  CHECK(placed >= 1);
  CHECK(placed <= 3);
}

TEST_CASE("a service without a rate for cold servers refuses openings") {
  SteeringWithRoutes steering;
  steering.ApplyManifest(MakeLimitedManifest(0));
  steering.directory().Apply(MakeColdServer("i-cold"), At(0));

  for (std::uint16_t i = 0; i < 100; ++i)
    CHECK(ServerOf(steering.Handle(
              MakeOpening(static_cast<std::uint16_t>(1000 + i)), At(i))) !=
          nullptr);
}

TEST_CASE("a balancer that starts takes all servers for cold") {
  Steering steering({base::DataCentreId("here")}, 1, At(0));
  const Manifest manifest = MakeLimitedManifest(20);
  const ServiceOptions& options = manifest.m_services.front();
  auto& directory = steering.directory();
  directory.Apply(MakeServer("i-first"), At(0));
  directory.SetHasFirstList();
  directory.Apply(MakeServer("i-later"), At(100));
  auto restarted = MakeServer("i-first", 2);
  const auto is_cold = [&](const std::string& name, int at_ms) {
    return WarmUpBudget::IsCold(*directory.FindByName(ServerName(name)),
                                options, At(at_ms));
  };

  CHECK_FALSE(is_cold("i-first", 100));
  CHECK(is_cold("i-later", 2000));
  CHECK_FALSE(is_cold("i-later", 2200));

  restarted.m_incarnation = 7;
  directory.Apply(restarted, At(3000));
  CHECK(is_cold("i-first", 4900));
  CHECK_FALSE(is_cold("i-first", 5100));

  directory.FindByName(ServerName("i-later"))->m_cold_until = At(9000);
  CHECK(is_cold("i-later", 8999));
}

TEST_CASE("the packets of an upload count as requests") {
  SteeringWithRoutes steering;
  Manifest manifest = MakeLimitedManifest(20);
  manifest.m_services.front().m_warm_up = std::chrono::seconds(60);
  const ServiceOptions options = manifest.m_services.front();
  steering.ApplyManifest(manifest);
  steering.directory().Apply(MakeServer("i-warm"), At(0));
  // Each flow has `requests` requests of three packets.
  const auto run = [&](std::uint16_t first_port, std::uint32_t requests) {
    for (std::uint16_t i = 0; i < 50; ++i) {
      const auto port = static_cast<std::uint16_t>(first_port + i);
      const auto token = TokenOf(steering.Handle(MakeOpening(port), At(i)));
      std::uint32_t sequence = 1;
      for (std::uint32_t request = 1; request <= requests; ++request) {
        for (int packet = 0; packet < 3; ++packet, sequence += 80)
          steering.Handle(MakeData(port, token, sequence, request, 80), At(i));
        steering.Handle(MakeData(port, token, sequence, request + 1, 0), At(i));
      }
    }
  };

  run(1000, 1);
  CHECK(steering.warm_up().RequestsOfFlow(options) == 1);
  run(2000, 9);
  CHECK(steering.warm_up().RequestsOfFlow(options) ==
        doctest::Approx(5).epsilon(0.02));
}

}  // namespace steering
