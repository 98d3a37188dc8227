#include <doctest/doctest.h>

#include <chrono>

#include "LibEdge/shutdown_plan.h"

namespace edge {

namespace {

base::TimePoint At(int milliseconds) {
  return base::TimePoint(std::chrono::hours(1) +
                         std::chrono::milliseconds(milliseconds));
}

}  // namespace

TEST_CASE(
    "a balancer that shuts down forwards until the routers send no more "
    "packets") {
  const ShutdownPlan plan(At(0), std::chrono::seconds(6));

  CHECK_FALSE(plan.MayExit(At(-5000), At(1000)));
  CHECK_FALSE(plan.MayExit(At(1500), At(1700)));
  CHECK(plan.MayExit(At(1500), At(2100)));
}

TEST_CASE(
    "a balancer that shuts down exits before the end of the grace, even if "
    "packets still arrive") {
  const ShutdownPlan plan(At(0), std::chrono::seconds(6));

  CHECK_FALSE(plan.MayExit(At(5300), At(5400)));
  CHECK(plan.MayExit(At(5500), At(5500)));
}

}  // namespace edge
