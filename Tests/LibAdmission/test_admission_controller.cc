#include <doctest/doctest.h>

#include <chrono>

#include "LibAdmission/admission_controller.h"

using namespace std::chrono_literals;
using namespace admission;

namespace {

constexpr double kSlots = 40.0;

ServiceOccupancy Occupancy(double busy) {
  return ServiceOccupancy{busy, kSlots, busy};
}

// Returns a controller that has recorded answers with the baseline delay of 100
// ms, followed by answers with `delay` at a load of `busy` requests.
AdmissionController ControllerAfterDelays(base::Duration delay, double busy) {
  AdmissionController controller{AdmissionSettings{}};
  base::TimePoint now{1h};
  const auto record = [&](base::Duration each, double load) {
    for (int answer = 0; answer < 1000; ++answer) {
      now += 100ms;
      controller.RecordAnswerDelay(each, Occupancy(load), now);
    }
  };
  record(100ms, 1.0);
  record(delay, busy);
  return controller;
}

}  // namespace

TEST_CASE(
    "openings are refused at the service's and the server's connection "
    "limits") {
  AdmissionSettings settings;
  settings.m_service_connection_limit = 100;
  const AdmissionController controller(settings);

  CHECK(controller.DecideForService({0.0, kSlots, 99.0}) ==
        AdmissionDecision::kAdmitted);
  CHECK(controller.DecideForService({0.0, kSlots, 100.0}) ==
        AdmissionDecision::kServiceConnectionLimit);
  CHECK(controller.DecideForServer({9.0, 10}) == AdmissionDecision::kAdmitted);
  CHECK(controller.DecideForServer({10.0, 10}) ==
        AdmissionDecision::kServerConnectionLimit);
  CHECK(controller.DecideForServer({10.0, 0}) == AdmissionDecision::kAdmitted);
}

TEST_CASE(
    "long delays lower the concurrency limit, but never below the slots") {
  const AdmissionController controller = ControllerAfterDelays(1s, kSlots);

  CHECK(controller.DecideForService(Occupancy(kSlots)) ==
        AdmissionDecision::kAdmitted);
  CHECK(controller.DecideForService(Occupancy(1.2 * kSlots)) ==
        AdmissionDecision::kConcurrencyLimit);
}

TEST_CASE(
    "short delays raise the concurrency limit only if the load is near it") {
  const double initial = ConcurrencySettings{}.m_initial_factor * kSlots;

  const AdmissionController reached =
      ControllerAfterDelays(100ms, 4.0 * kSlots);
  const AdmissionController idle = ControllerAfterDelays(100ms, 1.0);

  CHECK(reached.DecideForService(Occupancy(initial)) ==
        AdmissionDecision::kAdmitted);
  CHECK(idle.DecideForService(Occupancy(initial)) ==
        AdmissionDecision::kConcurrencyLimit);
}

TEST_CASE("a service with unknown slots has no concurrency limit") {
  const AdmissionController controller{AdmissionSettings{}};

  CHECK(controller.DecideForService({1000.0, 0.0, 0.0}) ==
        AdmissionDecision::kAdmitted);
}
