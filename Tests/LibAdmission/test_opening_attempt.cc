#include <doctest/doctest.h>

#include <chrono>
#include <set>
#include <tuple>
#include <variant>
#include <vector>

#include "LibAdmission/opening_attempt.h"
#include "property.h"

using namespace std::chrono_literals;
using namespace admission;

namespace {

constexpr base::BackendServerId kFirst(1);
constexpr base::BackendServerId kSecond(2);

struct AttemptFixture {
  AttemptFixture() {
    for (int opening = 0; opening < 100; ++opening)
      m_budget.Earn();
  }

  OpeningEffect Handle(const OpeningEvent& event) {
    return m_attempt.Handle(event, m_now, m_budget, m_random);
  }

  base::TimePoint m_now{1h};
  base::Random m_random{3};
  RetryBudget m_budget{RetryBudgetSettings{}};
  OpeningAttempt m_attempt{OpeningSettings{}, m_now};
};

template <typename Effect>
bool Is(const OpeningEffect& effect) {
  return std::holds_alternative<Effect>(effect);
}

}  // namespace

TEST_CASE("an accepted opening places the flow") {
  AttemptFixture fixture;

  CHECK(Is<TryServer>(fixture.Handle(OpeningReceived{kFirst})));
  CHECK(Is<PlaceFlow>(fixture.Handle(ServerAccepted{kFirst})));

  CHECK(fixture.m_attempt.IsFinished());
}

TEST_CASE("an opening that no server may take is refused") {
  AttemptFixture fixture;

  CHECK(Is<RefuseCaller>(fixture.Handle(OpeningReceived{})));
}

TEST_CASE("an opening goes to a second server after a definite refusal") {
  AttemptFixture fixture;
  fixture.Handle(OpeningReceived{kFirst});

  const OpeningEffect wait = fixture.Handle(ServerRefused{kFirst});
  REQUIRE(Is<WaitForRetry>(wait));
  fixture.m_now = std::get<WaitForRetry>(wait).m_timer_at;
  const OpeningEffect retry = fixture.Handle(TimerFired{kSecond});

  REQUIRE(Is<TryServer>(retry));
  CHECK(std::get<TryServer>(retry).m_server == kSecond);
}

TEST_CASE("an opening that every server refuses is refused at the last one") {
  AttemptFixture fixture;
  fixture.Handle(OpeningReceived{kFirst});
  fixture.Handle(ServerRefused{kFirst});

  CHECK(Is<RefuseCaller>(fixture.Handle(TimerFired{kFirst})));
}

TEST_CASE("without a budget a refused opening is not tried again") {
  AttemptFixture fixture;
  while (fixture.m_budget.TrySpend()) {
  }
  fixture.Handle(OpeningReceived{kFirst});

  const OpeningEffect effect = fixture.Handle(ServerRefused{kFirst});

  REQUIRE(Is<RefuseCaller>(effect));
  CHECK(std::get<RefuseCaller>(effect).m_reason ==
        RefusalReason::kRetryBudgetExhausted);
}

TEST_CASE(
    "a silent server ends the attempt in silence at the deadline, with a "
    "reset towards the server") {
  AttemptFixture fixture;
  fixture.Handle(OpeningReceived{kFirst});

  fixture.m_now += 1s;
  CHECK(Is<NoEffect>(fixture.Handle(TimerFired{kSecond})));
  fixture.m_now = fixture.m_attempt.Deadline();
  const OpeningEffect effect = fixture.Handle(TimerFired{kSecond});

  REQUIRE(Is<GiveUpSilently>(effect));
  CHECK(std::get<GiveUpSilently>(effect).m_reset_server == kFirst);
}

TEST_CASE("a cancelled opening is reset at the server that has it") {
  AttemptFixture fixture;
  fixture.Handle(OpeningReceived{kFirst});

  const OpeningEffect effect = fixture.Handle(CallerCancelled{});

  REQUIRE(Is<GiveUpSilently>(effect));
  CHECK(std::get<GiveUpSilently>(effect).m_reset_server == kFirst);
}

TEST_CASE(
    "a late acceptance by a server that had refused is reset, and the "
    "attempt goes on") {
  AttemptFixture fixture;
  fixture.Handle(OpeningReceived{kFirst});
  fixture.Handle(ServerRefused{kFirst});
  fixture.Handle(TimerFired{kSecond});

  const OpeningEffect effect = fixture.Handle(ServerAccepted{kFirst});

  REQUIRE(Is<ResetServer>(effect));
  CHECK(std::get<ResetServer>(effect).m_server == kFirst);
  CHECK(fixture.m_attempt.Outstanding() == kSecond);
}

namespace {

// Checks one attempt from outside: it remembers which servers have the opening
// and have not refused it.
class AttemptObserver {
 public:
  void Observe(const OpeningEvent& event) {
    if (const auto* refused = std::get_if<ServerRefused>(&event))
      m_unanswered.erase(refused->m_server);
  }

  void Observe(const OpeningEffect& effect) {
    if (const auto* tried = std::get_if<TryServer>(&effect)) {
      m_unanswered.insert(tried->m_server);
      RC_ASSERT(m_unanswered.size() == 1U);
      RC_ASSERT(!m_has_ended);
    }
    if (Is<RefuseCaller>(effect))
      RC_ASSERT(m_unanswered.empty());
    m_has_ended = m_has_ended || Is<RefuseCaller>(effect) ||
                  Is<GiveUpSilently>(effect) || Is<PlaceFlow>(effect);
  }

 private:
  std::set<base::BackendServerId> m_unanswered;
  bool m_has_ended = false;
};

OpeningEvent MakeEvent(std::uint8_t kind, std::uint8_t number) {
  const base::BackendServerId server(number % 5U);
  switch (kind % 6) {
    case 0:
      return OpeningRepeated{};
    case 1:
      return ServerRefused{server};
    case 2:
      return TimerFired{server};
    case 3:
      return TimerFired{};
    case 4:
      return kind > 240 ? OpeningEvent(CallerCancelled{})
                        : OpeningEvent(ServerRefused{server});
    default:
      return kind > 200 ? OpeningEvent(ServerAccepted{server})
                        : OpeningEvent(TimerFired{server});
  }
}

}  // namespace

TEST_CASE(
    "an opening is with one server at a time, and its caller is never "
    "refused while a server is silent") {
  using Step = std::tuple<std::uint8_t, std::uint8_t, std::uint8_t>;
  CHECK(testing::HoldsForAll("attempt", [](const std::vector<Step>& steps) {
    AttemptFixture fixture;
    AttemptObserver observer;
    observer.Observe(fixture.Handle(OpeningReceived{kFirst}));
    for (const auto& [kind, number, wait] : steps) {
      fixture.m_now += wait * 1ms;
      const OpeningEvent event = MakeEvent(kind, number);
      // Only a server that has the opening can refuse it.
      const auto* refused = std::get_if<ServerRefused>(&event);
      if (refused && fixture.m_attempt.Outstanding() != refused->m_server)
        continue;
      observer.Observe(event);
      observer.Observe(fixture.Handle(event));
    }
  }));
}
