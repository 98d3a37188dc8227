#include <doctest/doctest.h>

#include <chrono>

#include "LibLoadExchange/fleet_model.h"

namespace load_exchange {

namespace {

constexpr std::chrono::seconds kTime(30);

// The requests lost at a server that answers half of them, in three runs.
int LostAtGreyServer(bool exchanges_load) {
  FleetModelSettings settings;
  settings.m_exchanges_load = exchanges_load;
  settings.m_lost_part = 0.5;
  settings.m_balancers = 195;
  settings.m_data_centres = 3;
  int lost = 0;
  for (settings.m_seed = 1; settings.m_seed <= 3; ++settings.m_seed) {
    FleetModel fleet(settings);
    fleet.RunFor(kTime);
    lost += fleet.Lost();
    CHECK(fleet.LargestShareOfSound() == 0);
  }
  return lost;
}

}  // namespace

TEST_CASE("every balancer has to lose requests at a server that answers half") {
  const int alone = LostAtGreyServer(false);
  const int together = LostAtGreyServer(true);

  MESSAGE("requests lost alone: " << alone << ", together: " << together);
  CHECK(alone >= 150);
  CHECK(together * 2 <= alone);
}

TEST_CASE("long requests make sound servers look bad") {
  FleetModelSettings settings;
  settings.m_long_part = 0.03;
  // Seven times this is longer than the time after which a request is overdue.
  settings.m_work_ms = 90;
  for (settings.m_seed = 1; settings.m_seed <= 3; ++settings.m_seed) {
    FleetModel fleet(settings);
    fleet.RunFor(kTime);
    CHECK(fleet.LargestShareOfSound() == 0);
  }
}

TEST_CASE("one false balancer turns the others away from a sound server") {
  FleetModelSettings settings;
  FleetModel sound(settings);
  settings.m_has_false_balancer = true;
  FleetModel misled(settings);
  sound.RunFor(kTime);
  misled.RunFor(kTime);

  CHECK(misled.LargestShareOfSound() == 0);
  CHECK(misled.RequestsOf("i-3") * 10 >= sound.RequestsOf("i-3") * 9);
}

TEST_CASE("a balancer does not know how many others are alive") {
  FleetModelSettings settings;
  settings.m_requests_per_second = 10;
  FleetModel fleet(settings);
  fleet.RunFor(std::chrono::seconds(6));

  for (std::uint32_t i = 0; i < settings.m_balancers; ++i) {
    CHECK(fleet.FleetSeenBy(i).LiveBalancers(fleet.Now()) ==
          settings.m_balancers);
    CHECK(fleet.FleetSeenBy(i).LargestBalancers(fleet.Now()) ==
          settings.m_balancers);
  }
}

}  // namespace load_exchange
