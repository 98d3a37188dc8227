// Properties of BalancerSet with random balancers and changes.

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "LibBase/random.h"
#include "LibFlow/balancer_set.h"

namespace {

using Balancers = std::vector<flow::Balancer>;

constexpr int kHashes = 200;
constexpr std::size_t kMaximumBalancers = 24;

flow::Balancer RandomBalancer(base::Random& random) {
  constexpr std::array kStates = {
      flow::BalancerState::kServing, flow::BalancerState::kServing,
      flow::BalancerState::kLeaving, flow::BalancerState::kSuspected};
  return {base::BalancerId(random.Next()),
          {base::Ipv4Address(1), 1},
          kStates[random.Below(kStates.size())]};
}

Balancers RandomBalancers(base::Random& random) {
  Balancers balancers(1 + random.Below(kMaximumBalancers));
  for (flow::Balancer& balancer : balancers)
    balancer = RandomBalancer(random);
  return balancers;
}

flow::BalancerSet MakeSet(const Balancers& balancers) {
  return {balancers.front().m_id, balancers};
}

void ApplyRandomChange(Balancers& balancers, base::Random& random) {
  const std::size_t position = random.Below(balancers.size());
  switch (random.Below(4)) {
    case 0:
      if (balancers.size() > 1)
        balancers.erase(balancers.begin() +
                        static_cast<std::ptrdiff_t>(position));
      break;
    case 1:
      balancers.insert(
          balancers.begin() + static_cast<std::ptrdiff_t>(position),
          RandomBalancer(random));
      break;
    case 2:
      balancers[position].m_state = RandomBalancer(random).m_state;
      break;
    default:
      std::swap(balancers.front(), balancers[position]);
      break;
  }
}

// The home, followed by all other balancers in search order.
std::vector<base::BalancerId> OrderOf(const flow::BalancerSet& set,
                                      std::uint64_t hash) {
  std::vector<base::BalancerId> order{set.HomeOf(hash).m_id};
  while (const auto target = set.SearchTarget(hash, order.size() - 1))
    order.push_back(target->m_id);
  return order;
}

bool IsServing(const flow::Balancer& balancer) {
  return balancer.m_state == flow::BalancerState::kServing;
}

flow::BalancerState StateOf(const Balancers& balancers, base::BalancerId id) {
  return std::ranges::find(balancers, id, &flow::Balancer::m_id)->m_state;
}

}  // namespace

TEST_CASE(
    "a set derived by many changes has the order of one built from scratch") {
  const bool holds = rc::check([](std::uint64_t seed) {
    base::Random random(seed);
    Balancers balancers = RandomBalancers(random);
    auto set =
        std::make_unique<flow::BalancerSet>(balancers[0].m_id, balancers);

    for (int step = 0; step < 6; ++step) {
      ApplyRandomChange(balancers, random);
      set = std::make_unique<flow::BalancerSet>(balancers[0].m_id, balancers,
                                                *set);
    }
    std::ranges::reverse(balancers);
    const flow::BalancerSet rebuilt = MakeSet(balancers);

    for (int number = 0; number < kHashes; ++number) {
      const std::uint64_t hash = random.Next();
      RC_ASSERT(OrderOf(*set, hash) == OrderOf(rebuilt, hash));
    }
  });

  CHECK(holds);
}

TEST_CASE(
    "a removed balancer's flows move to the next in order, no others move") {
  const bool holds = rc::check([](std::uint64_t seed) {
    base::Random random(seed);
    Balancers balancers = RandomBalancers(random);
    for (flow::Balancer& balancer : balancers)
      balancer.m_state = flow::BalancerState::kServing;
    balancers.push_back(balancers.front());
    balancers.back().m_id = base::BalancerId(random.Next());
    const flow::BalancerSet before = MakeSet(balancers);
    const base::BalancerId dead = balancers.back().m_id;

    balancers.pop_back();
    const flow::BalancerSet after(balancers[0].m_id, balancers, before);

    for (int number = 0; number < kHashes; ++number) {
      const std::uint64_t hash = random.Next();
      auto order = OrderOf(before, hash);
      std::erase(order, dead);
      RC_ASSERT(OrderOf(after, hash) == order);
    }
  });

  CHECK(holds);
}

TEST_CASE(
    "a joining balancer becomes home, and its flows' former home is next") {
  const bool holds = rc::check([](std::uint64_t seed) {
    base::Random random(seed);
    Balancers balancers = RandomBalancers(random);
    for (flow::Balancer& balancer : balancers)
      balancer.m_state = flow::BalancerState::kServing;
    const flow::BalancerSet before = MakeSet(balancers);
    balancers.push_back(balancers.front());
    balancers.back().m_id = base::BalancerId(random.Next());

    const flow::BalancerSet after(balancers[0].m_id, balancers, before);

    for (int number = 0; number < kHashes; ++number) {
      const std::uint64_t hash = random.Next();
      const auto former = before.HomeOf(hash).m_id;
      const auto home = after.HomeOf(hash).m_id;
      if (home != former) {
        RC_ASSERT(home == balancers.back().m_id);
        RC_ASSERT(after.SearchTarget(hash, 0)->m_id == former);
      }
    }
  });

  CHECK(holds);
}

TEST_CASE("the home serves if any balancer does, and suspected ones are last") {
  const bool holds = rc::check([](std::uint64_t seed) {
    base::Random random(seed);
    const Balancers balancers = RandomBalancers(random);
    const flow::BalancerSet set = MakeSet(balancers);
    const bool any_serves = std::ranges::any_of(balancers, IsServing);

    for (int number = 0; number < kHashes; ++number) {
      const std::uint64_t hash = random.Next();
      RC_ASSERT(IsServing(set.HomeOf(hash)) == any_serves);
      const auto order = OrderOf(set, hash);
      const std::set<base::BalancerId> distinct(order.begin(), order.end());
      RC_ASSERT(order.size() == balancers.size());
      RC_ASSERT(distinct.size() == balancers.size());
      RC_ASSERT(std::is_partitioned(
          order.begin() + 1, order.end(), [&](base::BalancerId id) {
            return StateOf(balancers, id) != flow::BalancerState::kSuspected;
          }));
    }
  });

  CHECK(holds);
}

TEST_CASE("each of seven balancers is home of about a seventh of the flows") {
  constexpr int kFlows = 70'000;
  base::Random random(1);
  Balancers balancers(7);
  for (flow::Balancer& balancer : balancers)
    balancer.m_id = base::BalancerId(random.Next());
  const flow::BalancerSet set = MakeSet(balancers);

  std::map<base::BalancerId, int> homes;
  for (int number = 0; number < kFlows; ++number)
    ++homes[set.HomeOf(random.Next()).m_id];

  for (const flow::Balancer& balancer : balancers) {
    CHECK(homes[balancer.m_id] > 9'500);
    CHECK(homes[balancer.m_id] < 10'500);
  }
}
