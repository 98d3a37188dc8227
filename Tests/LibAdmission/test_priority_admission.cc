#include <doctest/doctest.h>

#include <chrono>

#include "LibAdmission/priority_admission.h"
#include "LibAdmission/refused_callers.h"

namespace admission {

namespace {

using std::chrono::milliseconds;

const base::Endpoint kUrgent{base::Ipv4Address(1), 1};
const base::Endpoint kOther{base::Ipv4Address(1), 2};

base::TimePoint At(int at_ms) {
  return base::TimePoint(std::chrono::hours(1) + milliseconds(at_ms));
}

std::vector<RouteGoal> Goals() {
  return {{kUrgent, 1, milliseconds(400)}, {kOther, 2, milliseconds(400)}};
}

// An admission whose answers showed an overload until At(20'500), so that the
// less urgent priority has a limit.
class OverloadedAdmission : public PriorityAdmission {
 public:
  OverloadedAdmission() : PriorityAdmission(Goals()) {
    for (int i = 0; i < 400; ++i)
      RecordAnswer(i % 2 == 0 ? kUrgent : kOther, {milliseconds(35), 1400}, 1,
                   At(i * 50));
    for (int i = 0; i < 60; ++i)
      RecordAnswer(i % 2 == 0 ? kUrgent : kOther,
                   i % 3 == 0 ? AnswerSample{milliseconds(7), 150}
                              : AnswerSample{milliseconds(120), 1400},
                   10, At(20'000 + i * 8));
  }
};

}  // namespace

TEST_CASE("admission applies only to different priorities with targets") {
  auto goals = Goals();
  CHECK(PriorityAdmission::Applies(goals));
  goals[1].m_target.reset();
  CHECK_FALSE(PriorityAdmission::Applies(goals));
  goals = Goals();
  goals[1].m_priority = 1;
  CHECK_FALSE(PriorityAdmission::Applies(goals));
}

TEST_CASE("an overload limits the less urgent priority and not the urgent") {
  OverloadedAdmission admission;
  base::Random random(1);
  REQUIRE(admission.LimitOf(2).has_value());
  CHECK_FALSE(admission.LimitOf(1).has_value());

  int admitted_urgent = 0;
  int admitted_other = 0;
  for (int i = 0; i < 200; ++i) {
    const base::Ipv4Address caller(100 + i);
    const base::TimePoint now = At(20'500 + i * 5);
    admitted_urgent +=
        admission.Decide(kUrgent, caller, 10, random, now).IsAdmitted();
    admitted_other +=
        admission.Decide(kOther, caller, 10, random, now).IsAdmitted();
  }

  CHECK(admitted_urgent == 200);
  // The floor of a tenth of what is admitted.
  CHECK(admitted_other >= 18);
  CHECK(admitted_other <= 26);
}

TEST_CASE("retries of refused callers have a tenth of the openings at most") {
  OverloadedAdmission admission;
  base::Random random(1);
  int admitted_first = 0;
  int admitted_retries = 0;
  for (int i = 0; i < 300; ++i) {
    const base::TimePoint now = At(20'500 + i * 5);
    const base::Ipv4Address caller(100 + i);
    const std::uint32_t in_progress = i % 2 == 0 ? 1 : 20;
    const auto first =
        admission.Decide(kOther, caller, in_progress, random, now);
    admitted_first += first.IsAdmitted();
    if (first.IsAdmitted())
      continue;
    for (int retry = 0; retry < 2; ++retry)
      admitted_retries +=
          admission.Decide(kOther, caller, 1, random, now).IsAdmitted();
  }

  CHECK(admitted_first >= 145);
  CHECK(admitted_retries <= 0.13 * (admitted_first + admitted_retries));
}

TEST_CASE("usual answers after an overload end all limits within a second") {
  OverloadedAdmission admission;

  for (int i = 0; i < 100; ++i)
    admission.RecordAnswer(kUrgent, {milliseconds(35), 1400}, 1,
                           At(20'500 + i * 20));

  CHECK_FALSE(admission.LimitOf(2).has_value());
}

TEST_CASE("one refusal marks no more openings of an address than its retries") {
  RefusedCallers callers;
  const RefusedCallers::Key key{base::Ipv4Address(7), kOther};
  callers.RecordRefusal(key, At(0));
  CHECK(callers.IsRetry(key, At(10)));
  callers.RecordRetry(key);
  callers.RecordRetry(key);
  CHECK_FALSE(callers.IsRetry(key, At(20)));

  callers.RecordRefusal(key, At(30));
  CHECK_FALSE(callers.IsRetry({base::Ipv4Address(7), kUrgent}, At(40)));
  CHECK_FALSE(callers.IsRetry(key, At(1'030)));
}

}  // namespace admission
