#include <doctest/doctest.h>

#include <chrono>

#include "LibFeed/reader_registry.h"

namespace feed {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const base::DataCentreId kHere("hall-1");
const base::DataCentreId kElsewhere("hall-2");

base::TimePoint At(int milliseconds) {
  return base::TimePoint(std::chrono::hours(1) +
                         std::chrono::milliseconds(milliseconds));
}

ReaderEntry Reader(std::uint32_t address,
                   const base::DataCentreId& data_centre = kHere,
                   base::Duration age = {}) {
  return {base::Ipv4Address(address), data_centre, true, age};
}

}  // namespace

TEST_CASE("readers are listed by data centre in the order of their ranks") {
  ReaderRegistry registry;
  for (std::uint32_t address = 1; address <= 5; ++address)
    registry.Record(Reader(address), At(0));
  registry.Record(Reader(6, kElsewhere), At(0));

  const auto readers = registry.ReadersOf(kHere, At(0));

  REQUIRE(readers.size() == 5);
  for (std::size_t i = 1; i < readers.size(); ++i)
    CHECK(ReaderRank(kHere, readers[i - 1].m_address) <
          ReaderRank(kHere, readers[i].m_address));
  REQUIRE(registry.ReadersOutside(kHere, At(0)).size() == 1);
}

TEST_CASE("a reader that is not heard of is forgotten") {
  ReaderRegistry registry;
  registry.Record(Reader(1), At(0));
  registry.Record(Reader(2, kHere, seconds(2)), At(0));

  CHECK(registry.ReadersOf(kHere, At(900)).size() == 2);
  CHECK(registry.ReadersOf(kHere, At(1100)).size() == 1);
  CHECK(registry.ReadersOf(kHere, At(3000)).empty());
}

TEST_CASE("older news of a reader does not replace newer news") {
  ReaderRegistry registry;
  registry.Record(Reader(1), At(1000));
  ReaderEntry older = Reader(1, kHere, seconds(1));
  older.m_is_current = false;

  registry.Record(older, At(1500));

  REQUIRE(registry.ReadersOf(kHere, At(1500)).size() == 1);
  CHECK(registry.ReadersOf(kHere, At(1500))[0].m_is_current);
  CHECK(registry.ReadersOf(kHere, At(1500))[0].m_age == milliseconds(500));
}

TEST_CASE("the registry is bounded, and expired readers make room") {
  ReaderRegistry registry;
  for (std::uint32_t address = 0; address < 2000; ++address)
    registry.Record(Reader(address), At(0));
  CHECK(registry.ReadersOf(kHere, At(0)).size() ==
        ReaderRegistry::kMaximumReaders);

  registry.Record(Reader(5000), At(3000));

  CHECK(registry.ReadersOf(kHere, At(3000)).size() == 1);
}

}  // namespace feed
