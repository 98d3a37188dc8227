#include <doctest/doctest.h>

#include <chrono>
#include <vector>

#include "LibAdmission/back_off.h"
#include "LibAdmission/retry_budget.h"
#include "property.h"

using namespace std::chrono_literals;
using namespace admission;

TEST_CASE("retries never exceed their share of the openings received") {
  CHECK(testing::HoldsForAll("budget",
                             [](const std::vector<bool>& is_retry_wanted) {
                               RetryBudget budget{RetryBudgetSettings{}};
                               double received = 0.0;
                               double retries = 0.0;
                               for (const bool is_wanted : is_retry_wanted) {
                                 if (is_wanted) {
                                   retries += budget.TrySpend() ? 1.0 : 0.0;
                                 } else {
                                   // Several openings for each retry that is
                                   // wanted, so that the budget is both spent
                                   // and exhausted.
                                   for (int opening = 0; opening < 7; ++opening)
                                     budget.Earn();
                                   received += 7.0;
                                 }
                                 RC_ASSERT(retries <= 0.1 * received + 1e-9);
                               }
                             }));
}

TEST_CASE("savings of the retry budget are bounded") {
  RetryBudget budget{RetryBudgetSettings{0.1, 5.0}};
  for (int opening = 0; opening < 1000; ++opening)
    budget.Earn();

  int retries = 0;
  while (budget.TrySpend())
    ++retries;

  CHECK(retries == 5);
}

TEST_CASE(
    "waits are spread evenly under a ceiling that doubles up to a "
    "maximum") {
  const BackOff back_off{BackOffSettings{10ms, 100ms}};
  base::Random random(7);

  CHECK(back_off.Ceiling(1) == 10ms);
  CHECK(back_off.Ceiling(3) == 40ms);
  CHECK(back_off.Ceiling(40) == 100ms);

  constexpr int kWaits = 1000;
  int under_half = 0;
  for (int wait = 0; wait < kWaits; ++wait) {
    const base::Duration drawn = back_off.Wait(3, random);
    REQUIRE(drawn >= 0ms);
    REQUIRE(drawn < 40ms);
    under_half += drawn < 20ms ? 1 : 0;
  }
  CHECK(under_half > kWaits / 2 - 100);
  CHECK(under_half < kWaits / 2 + 100);
}
