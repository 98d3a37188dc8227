// Emulates deployments A and B of docs/TWO-CUSTOMERS.md under bursts.

#include <doctest/doctest.h>

#include "AdmissionEmulator/admission_emulator.h"

namespace admission_emulator {

namespace {

// A burst from 6 to 10 s, which is counted.
Scenario MakeBurst(Deployment deployment, double factor, double lost = 0) {
  Scenario scenario;
  scenario.m_deployment = std::move(deployment);
  scenario.m_burst_factor = factor;
  scenario.m_lost_servers = lost;
  scenario.m_burst_start_seconds = 6;
  scenario.m_burst_end_seconds = 10;
  scenario.m_end_seconds = 13;
  scenario.m_count_from_seconds = 6;
  scenario.m_count_to_seconds = 10;
  return scenario;
}

Deployment OneRequestPerFlow(Deployment deployment) {
  deployment.m_requests_per_flow = 1;
  return deployment;
}

double ShedPerServed(const Results& results) {
  return double(results.Sum().m_shed) / double(results.Sum().m_served);
}

}  // namespace

TEST_CASE("without overload no balancer refuses an opening") {
  for (const Deployment& deployment :
       {DeploymentA(), DeploymentB(), OneRequestPerFlow(DeploymentB())}) {
    const double factor = 0.85 * deployment.Slots() / deployment.UsedSlots();
    Scenario scenario = MakeBurst(deployment, factor);
    scenario.m_count_from_seconds = 0;
    CHECK(Run(scenario).Sum().m_refused == 0);
    scenario.m_burst_factor = 1;
    scenario.m_lost_servers = 0.33;
    scenario.m_late_processor_seconds = 0.05;
    CHECK(Run(scenario).Sum().m_refused == 0);
  }
}

TEST_CASE("served answers as short as refusals refuse nobody in the calm") {
  Scenario scenario = MakeBurst(DeploymentA(), 3);
  scenario.m_short_answers = 0.3;
  scenario.m_count_from_seconds = 0;
  CHECK(Run(scenario).Sum().m_refused == 0);
}

TEST_CASE("urgent answers are in time at nine times the demand of B") {
  Scenario scenario = MakeBurst(OneRequestPerFlow(DeploymentB()), 9);
  const Results admitted = Run(scenario);
  CHECK(admitted.m_classes[0].InTimeShare() >= 0.95);
  CHECK(admitted.m_worth >= 0.93 * admitted.m_bound_worth);

  // The start of the burst, before answers show it, is not counted.
  scenario.m_count_from_seconds = 6.75;
  const Results settled = Run(scenario);
  CHECK(settled.m_classes[0].InTimeShare() >= 0.98);
  CHECK(ShedPerServed(settled) <= 0.1);
  const double other = double(settled.m_classes[1].m_admitted);
  CHECK(other >= 0.1 * double(settled.Sum().m_admitted));

  scenario.m_admission = Admission::kOff;
  CHECK(Run(scenario).m_classes[0].InTimeShare() < 0.8);
}

TEST_CASE("all balancers keep their limits while an overload lasts") {
  Scenario scenario = MakeBurst(OneRequestPerFlow(DeploymentB()), 9, 0.33);
  scenario.m_burst_end_seconds = 12;
  scenario.m_count_from_seconds = 8;
  scenario.m_count_to_seconds = 12;
  const Results results = Run(scenario);
  CHECK(results.m_classes[0].InTimeShare() >= 0.98);
  CHECK(ShedPerServed(results) <= 0.1);
}

TEST_CASE("urgent answers are in time although the balancer is late") {
  Scenario scenario = MakeBurst(OneRequestPerFlow(DeploymentB()), 9);
  scenario.m_late_processor_seconds = 0.02;
  CHECK(Run(scenario).m_classes[0].InTimeShare() >= 0.95);
}

TEST_CASE("retries do not displace first attempts behind shared addresses") {
  Scenario scenario = MakeBurst(OneRequestPerFlow(DeploymentB()), 9);
  scenario.m_retry_path = RetryPath::kSameBalancer;
  for (const std::uint32_t addresses : {0U, 50U}) {
    scenario.m_shared_addresses = addresses;
    const Results results = Run(scenario);
    CHECK(results.m_classes[0].InTimeShare() >= 0.95);
    CHECK(results.m_worth >= 0.9 * results.m_bound_worth);
  }
}

TEST_CASE("demand at one data centre is served by the servers of the others") {
  const Deployment deployment = OneRequestPerFlow(DeploymentB());
  const double factor = 0.7 * deployment.Slots() / deployment.UsedSlots();
  Scenario scenario = MakeBurst(deployment, factor);
  scenario.m_first_data_centre_factor = 2;
  const Results adapted = Run(scenario);
  scenario.m_adapts_placement = false;
  const Results fixed = Run(scenario);

  CHECK(adapted.m_worth >= 0.95 * adapted.m_bound_worth);
  CHECK(adapted.m_worth >= 1.05 * fixed.m_worth);
}

TEST_CASE("two seconds after a burst nearly all answers are in time") {
  for (const double factor : {1.2, 4.0, 10.0}) {
    for (const double lost : {0.0, 0.33, 0.5}) {
      for (const Deployment& deployment :
           {DeploymentA(), OneRequestPerFlow(DeploymentB())}) {
        Scenario scenario = MakeBurst(deployment, factor, lost);
        scenario.m_count_from_seconds = 12;
        scenario.m_count_to_seconds = 13;
        scenario.m_end_seconds = 15;
        const Results results = Run(scenario);
        CAPTURE(factor);
        CAPTURE(lost);
        CHECK(results.Sum().InTimeShare() >= 0.99);
      }
    }
  }
}

}  // namespace admission_emulator
