#include <doctest/doctest.h>

#include <chrono>
#include <vector>

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
                                   // Several openings per wanted retry, so that
                                   // some retries are granted and some find the
                                   // budget exhausted.
                                   for (int opening = 0; opening < 7; ++opening)
                                     budget.AddTokensForOpening();
                                   received += 7.0;
                                 }
                                 RC_ASSERT(retries <= 0.09 * received + 1e-9);
                               }
                             }));
}

TEST_CASE("the saved tokens of the retry budget are bounded") {
  RetryBudget budget{RetryBudgetSettings{0.1, 5.0}};
  for (int opening = 0; opening < 1000; ++opening)
    budget.AddTokensForOpening();

  int retries = 0;
  while (budget.TrySpend())
    ++retries;

  CHECK(retries == 5);
}
