#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <map>

#include "LibBase/random.h"
#include "LibFlow/flow_table.h"

namespace {

flow::FlowKey KeyOf(std::uint32_t number) {
  return {{base::Ipv4Address(number), 1}, {base::Ipv4Address(9), 443}};
}

void IgnoreEviction(const flow::FlowEntry& /*entry*/) {}

}  // namespace

TEST_CASE(
    "the table has the content of a map after random inserts and erasures") {
  flow::FlowTable table(base::TimePoint(), 1 << 22);
  std::map<std::uint32_t, std::uint32_t> model;
  base::Random random(5);

  for (int step = 0; step < 200000; ++step) {
    const auto number = static_cast<std::uint32_t>(random.Below(20000));
    const flow::FlowKey key = KeyOf(number);
    if (random.Below(3) == 0) {
      table.Erase(key, HashFlow(key));
      model.erase(number);
      continue;
    }
    table.Insert(key, HashFlow(key), base::TimePoint(), IgnoreEviction)
        .m_position = static_cast<std::uint32_t>(step);
    model[number] = static_cast<std::uint32_t>(step);
  }

  CHECK(table.size() == model.size());
  for (std::uint32_t number = 0; number < 20000; ++number) {
    const flow::FlowKey key = KeyOf(number);
    const flow::FlowEntry* entry = table.Find(key, HashFlow(key));
    const auto expected = model.find(number);
    REQUIRE((entry != nullptr) == (expected != model.end()));
    if (entry != nullptr)
      CHECK(entry->m_position == expected->second);
  }
}

TEST_CASE(
    "a full table evicts idle entries and stays within its limit of bytes") {
  constexpr std::size_t kBytes = 1 << 20;
  flow::FlowTable table(base::TimePoint(), kBytes);

  for (std::uint32_t number = 0; number < 100000; ++number) {
    const flow::FlowKey key = KeyOf(number);
    const base::TimePoint now{std::chrono::milliseconds(number)};
    table.Insert(key, HashFlow(key), now, IgnoreEviction);
  }

  CHECK(table.allocated_bytes() <= kBytes);
  CHECK(table.evictions() > 0);
  const flow::FlowKey last = KeyOf(99999);
  CHECK(table.Find(last, HashFlow(last)) != nullptr);
}

TEST_CASE("a stored flow takes at most 48 bytes at 5,000 to 400,000 flows") {
  flow::FlowTable table(base::TimePoint(), std::size_t{64} << 20);

  // Below some thousands of flows the rounding of small segments matters.
  double greatest = 0;
  for (std::uint32_t number = 0; number < 400000; ++number) {
    table.Insert(KeyOf(number), HashFlow(KeyOf(number)), base::TimePoint(),
                 IgnoreEviction);
    if (number >= 5000)
      greatest =
          std::max(greatest, static_cast<double>(table.allocated_bytes()) /
                                 static_cast<double>(table.size()));
  }

  CHECK(greatest <= 48);
  CHECK(table.evictions() == 0);
}

TEST_CASE(
    "recoverable entries are evicted before others with the same idle time") {
  flow::FlowTable table(base::TimePoint(), std::size_t{1} << 18);
  const auto is_recoverable = [](const flow::FlowEntry& entry) {
    return entry.key().m_caller.m_address.value() % 2 == 0;
  };
  std::size_t recoverable = 0;
  std::size_t others = 0;

  for (std::uint32_t number = 0; table.evictions() < 2000; ++number) {
    const flow::FlowKey key = KeyOf(number);
    table.Insert(
        key, HashFlow(key), base::TimePoint(),
        [&](const flow::FlowEntry& entry) {
          ++(is_recoverable(entry) ? recoverable : others);
        },
        is_recoverable);
  }

  CHECK(recoverable > 10 * others);
}

TEST_CASE(
    "an entry's lifetime is right when the clock of 2^32 ms wraps around") {
  const std::uint32_t now_ms = 0xfffff000u;
  flow::FlowEntry entry(KeyOf(1), now_ms);
  CHECK(entry.LifetimeMilliseconds() == 0);

  entry.m_last_seen_ms = now_ms + 600'000;

  CHECK(entry.LifetimeMilliseconds() > 595'000);
  CHECK(entry.LifetimeMilliseconds() < 605'000);
  CHECK(entry.key() == KeyOf(1));
}

TEST_CASE("repeated sweeps visit every entry") {
  flow::FlowTable table(base::TimePoint(), 1 << 22);
  for (std::uint32_t number = 0; number < 5000; ++number)
    table.Insert(KeyOf(number), HashFlow(KeyOf(number)), base::TimePoint(),
                 IgnoreEviction);

  for (int call = 0; call < 64; ++call)
    table.Sweep(table.allocated_bytes() / sizeof(flow::FlowEntry) / 32,
                [](const auto&) { return true; });

  CHECK(table.size() == 0);
}

TEST_CASE("only nearby positions are plausible for one connection") {
  CHECK(flow::IsPlausiblePosition(100, 100));
  CHECK(flow::IsPlausiblePosition(0xfffffff0u, 5));
  CHECK(flow::IsPlausiblePosition(5, 0xfffffff0u));
  CHECK_FALSE(flow::IsPlausiblePosition(0, 1u << 30));
}
