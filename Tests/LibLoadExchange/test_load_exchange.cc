#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "LibLoadExchange/limits.h"
#include "LibLoadExchange/load_exchange.h"

namespace load_exchange {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};

DataCentreLoad MakeLoad(const std::string& data_centre,
                        std::uint32_t reader,
                        std::uint32_t sequence,
                        std::uint32_t balancers,
                        base::Duration age = {}) {
  return {KeyOf(data_centre),
          base::Ipv4Address(reader),
          sequence,
          balancers,
          age,
          {{KeyOf("portal"), balancers * 10, balancers}},
          {}};
}

LoadReport MakeReport(const std::string& data_centre, std::uint64_t sequence) {
  return {sequence, KeyOf(data_centre), {}, {}};
}

}  // namespace

TEST_CASE("the sums of a data centre that is cut off count for ever") {
  FleetLoad fleet;
  CHECK_FALSE(fleet.LiveBalancers(kStart));
  fleet.Record(MakeLoad("hall-0", 1, 1, 20), kStart);
  fleet.Record(MakeLoad("hall-1", 2, 1, 30, seconds(1)), kStart);

  CHECK(fleet.LiveBalancers(kStart) == 50);
  CHECK(fleet.LoadOf("hall-1", "portal", kStart).m_requests_in_progress == 300);
  // The age that sums had when they arrived counts.
  CHECK(fleet.LiveBalancers(kStart + seconds(4)) == 20);
  CHECK(fleet.LoadOf("hall-1", "portal", kStart + seconds(4))
            .m_requests_in_progress == 0);
  CHECK_FALSE(fleet.LiveBalancers(kStart + seconds(5)));
}

TEST_CASE("two readers of a data centre count its balancers twice") {
  FleetLoad fleet;
  fleet.Record(MakeLoad("hall-0", 1, 1, 20), kStart);
  fleet.Record(MakeLoad("hall-0", 2, 1, 18), kStart + seconds(1));
  CHECK(fleet.LiveBalancers(kStart + seconds(1)) == 20);
  // The first reader is gone.
  CHECK(fleet.LiveBalancers(kStart + seconds(3)) == 18);
}

TEST_CASE("late sums replace newer ones") {
  FleetLoad fleet;
  CHECK(fleet.Record(MakeLoad("hall-0", 1, 0xFFFFFFFF, 20), kStart));
  CHECK_FALSE(fleet.Record(MakeLoad("hall-0", 1, 0xFFFFFFFF, 9), kStart));
  CHECK_FALSE(fleet.Record(MakeLoad("hall-0", 1, 0xFFFFFFF0, 9), kStart));
  // The number has wrapped around.
  CHECK(fleet.Record(MakeLoad("hall-0", 1, 3, 21), kStart));
  CHECK(fleet.LiveBalancers(kStart) == 21);
}

TEST_CASE("a fleet that shrinks, or is still arriving, counts as small") {
  FleetLoad fleet;
  fleet.Record(MakeLoad("hall-0", 1, 1, 2), kStart);
  CHECK_FALSE(fleet.LargestBalancers(kStart + milliseconds(3999)));
  for (std::uint32_t i = 2; i < 200; ++i) {
    const base::TimePoint now = kStart + seconds(i);
    fleet.Record(MakeLoad("hall-0", 1, i, i < 100 ? 90 : 60), now);
    CHECK(fleet.LargestBalancers(now) ==
          (i < 4 ? std::nullopt : std::optional(i < 160 ? 90U : 60U)));
  }
  // After an isolation, the first sums may be incomplete again.
  fleet.Record(MakeLoad("hall-0", 1, 900, 5), kStart + seconds(300));
  CHECK_FALSE(fleet.LargestBalancers(kStart + seconds(303)));
  CHECK(fleet.LargestBalancers(kStart + seconds(304)) == 5);
}

TEST_CASE("readers do not learn the sums of other data centres from a seed") {
  LoadExchange seed(base::Ipv4Address(1), base::DataCentreId("hall-0"));
  LoadExchange first(base::Ipv4Address(2), base::DataCentreId("hall-1"));
  LoadExchange second(base::Ipv4Address(3), base::DataCentreId("hall-2"));
  const auto announce = [&](LoadExchange& reader, std::uint32_t address,
                            const std::string& hall, int at_ms) {
    const base::TimePoint now = kStart + milliseconds(at_ms);
    const LoadReport report =
        MakeReport(hall, static_cast<std::uint64_t>(at_ms) + 1);
    CHECK(seed.AcceptRequestLoad(base::Ipv4Address(address),
                                 reader.MakeRequestLoad(report, true, now),
                                 false, now) == LoadResult::kAccepted);
    reader.AcceptResponseLoad(
        seed.MakeResponseLoad(MakeReport("hall-0", 1), false, now), now);
  };
  announce(first, 2, "hall-1", 0);
  announce(second, 3, "hall-2", 100);
  announce(first, 2, "hall-1", 1000);

  const base::TimePoint now = kStart + seconds(1);
  CHECK(first.fleet().LiveBalancers(now) == 2);
  CHECK(second.fleet().LiveBalancers(now) == 2);
  CHECK(seed.fleet().LiveBalancers(now) == 2);
}

TEST_CASE("two readers of a data centre do not count each other") {
  constexpr base::Ipv4Address kFirst(1);
  constexpr base::Ipv4Address kSecond(2);
  const base::DataCentreId hall("hall-0");
  LoadExchange first(kFirst, hall);
  LoadExchange second(kSecond, hall);
  LoadExchange follower(base::Ipv4Address(3), hall);
  for (std::uint64_t i = 1; i <= 4; ++i) {
    const base::TimePoint now = kStart + i * milliseconds(500);
    const LoadReport own = MakeReport("hall-0", i);
    const std::string report = follower.MakeRequestLoad(own, false, now);
    for (LoadExchange* reader : {&first, &second}) {
      reader->AcceptRequestLoad(base::Ipv4Address(3), report, true, now);
      follower.AcceptResponseLoad(reader->MakeResponseLoad(own, true, now),
                                  now);
    }
    // The follower is the seed.
    follower.AcceptRequestLoad(kFirst, first.MakeRequestLoad(own, true, now),
                               false, now);
    first.AcceptResponseLoad(follower.MakeResponseLoad(own, false, now), now);
    second.AcceptResponseLoad(follower.MakeResponseLoad(own, false, now), now);
  }

  for (const LoadExchange* exchange : {&first, &second, &follower})
    CHECK(exchange->fleet().LiveBalancers(kStart + seconds(2)) == 3);
}

TEST_CASE("a balancer without peers does not count itself") {
  LoadExchange alone(base::Ipv4Address(1), base::DataCentreId("hall-0"));
  alone.Sweep(MakeReport("hall-0", 1), true, kStart);
  CHECK(alone.fleet().LiveBalancers(kStart) == 1);
}

TEST_CASE("a malformed or foreign message changes what is known") {
  LoadExchange reader(base::Ipv4Address(1), base::DataCentreId("hall-0"));
  const LoadReport own = MakeReport("hall-0", 1);
  reader.MakeResponseLoad(own, true, kStart);
  const std::string foreign = EncodeSums({MakeLoad("hall-0", 9, 1, 500)}, 300);

  CHECK(reader.AcceptRequestLoad(base::Ipv4Address(2), "\x11garbage", true,
                                 kStart) == LoadResult::kMalformed);
  CHECK(reader.AcceptResponseLoad(EncodeReport(own), kStart) ==
        LoadResult::kMalformed);
  // A balancer announces its own sums only.
  CHECK(reader.AcceptRequestLoad(base::Ipv4Address(2), foreign, true, kStart) ==
        LoadResult::kRefused);
  CHECK(reader.fleet().LiveBalancers(kStart) == 1);
}

}  // namespace load_exchange
