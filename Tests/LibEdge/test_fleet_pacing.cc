// Fleets of balancers with the intervals that the settings give. A change must
// reach each undisturbed balancer within the bound of the settings.

#include <doctest/doctest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iterator>

#include "LibEdge/edge_settings.h"
#include "LibEdge/store_pacing.h"
#include "LibFeed/fleet_simulation.h"

namespace edge {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct Site {
  std::size_t m_balancers;
  std::size_t m_data_centres;
  base::Duration m_bound;
  base::Duration m_settling_time;
  std::uint64_t m_seeds;
};

feed::FleetOptions MakeOptions(const Site& site, std::uint64_t seed) {
  EdgeSettings settings;
  settings.m_feed = base::Endpoint{base::Ipv4Address(1), 7721};
  settings.m_drain_bound = site.m_bound;
  settings.m_configuration_bound = site.m_bound;
  settings.m_settling_time = site.m_settling_time;
  settings.m_data_centres = site.m_data_centres;
  feed::FleetOptions options;
  options.m_balancers = site.m_balancers;
  options.m_data_centres = site.m_data_centres;
  options.m_feed = MakeFeedSettings(settings);
  options.m_readers_per_data_centre = options.m_feed.m_readers_per_data_centre;
  options.m_reader_policy = MakeReaderPolicy(settings);
  options.m_fallback_policy = MakeFallbackPolicy(settings);
  options.m_seed = seed;
  options.m_bound = site.m_bound;
  options.m_settling_time = site.m_settling_time;
  return options;
}

}  // namespace

// A reader confirmed its view until its silent watch was overdue, and the
// others read the store only some time after that.
TEST_CASE(
    "a change is known in time though the store is silent to all readers") {
  constexpr Site kSites[] = {
      {9, 3, seconds(3), seconds(4), 40},
      {91, 2, seconds(5), seconds(5), 16},
      {195, 5, seconds(6), seconds(6), 10},
  };
  for (const Site& site : kSites) {
    for (std::uint64_t seed = 1; seed <= site.m_seeds; ++seed) {
      feed::FleetSimulation fleet(MakeOptions(site, seed));
      // The silence begins at any time of a reader's watch.
      fleet.Run(seconds(12) + milliseconds(170) * seed, milliseconds(1700));
      fleet.ResetCounts();
      for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (fleet.IsReader(index))
          fleet.SilenceStore(index, true);
      }
      fleet.Run(milliseconds(50), {});
      fleet.Change();
      fleet.Run(seconds(9), {});

      INFO("balancers ", site.m_balancers, ", seed ", seed);
      CHECK(fleet.LongestDelay() < site.m_bound);
      CHECK(fleet.StepsBack() == 0);
    }
  }
}

// The balancers that were left waited up to 8 s between their own calls, and
// no peer could tell them that the store was back.
TEST_CASE(
    "a change after an outage is known in time though the readers and the "
    "seeds are lost in it") {
  constexpr Site kSites[] = {
      {6, 3, seconds(3), seconds(4), 60},
      {91, 2, seconds(5), seconds(5), 9},
      {95, 4, seconds(5), seconds(5), 9},
      {195, 5, seconds(6), seconds(6), 6},
  };
  constexpr feed::StoreFault kFaults[] = {feed::StoreFault::kUnreachable,
                                          feed::StoreFault::kRefusing,
                                          feed::StoreFault::kSilent};
  for (const Site& site : kSites) {
    for (std::uint64_t seed = 1; seed <= site.m_seeds; ++seed) {
      const feed::FleetOptions options = MakeOptions(site, seed);
      feed::FleetSimulation fleet(options);
      fleet.Run(seconds(12), milliseconds(1700));
      fleet.ResetCounts();
      fleet.SetStoreFault(kFaults[seed % std::size(kFaults)]);
      fleet.Run(seconds(1), {});
      for (std::size_t index = 0; index < fleet.size(); ++index) {
        if (index < options.m_seeds || fleet.IsReader(index))
          fleet.Kill(index);
      }
      // A short outage, or one that lasts for several calls.
      fleet.Run(milliseconds(1500) + milliseconds(410) * (seed % 20), {});
      fleet.SetStoreFault(feed::StoreFault::kNone);
      fleet.Run(milliseconds(500), {});
      fleet.Change();
      fleet.Run(seconds(12), {});

      INFO("balancers ", site.m_balancers, ", seed ", seed);
      CHECK(fleet.LongestDelay() < site.m_bound);
      CHECK(fleet.StepsBack() == 0);
    }
  }
}

}  // namespace edge
