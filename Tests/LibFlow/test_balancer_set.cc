#include <doctest/doctest.h>

#include <map>
#include <vector>

#include "LibBase/hash.h"
#include "LibFlow/balancer_set.h"

namespace {

std::vector<flow::Balancer> MakeBalancers(int count) {
  std::vector<flow::Balancer> balancers;
  for (int i = 1; i <= count; ++i)
    balancers.push_back(
        {base::BalancerId(base::MixBits(i)), {base::Ipv4Address(i), 1}});
  return balancers;
}

}  // namespace

TEST_CASE(
    "the first balancer in search order replaces a home that is removed") {
  auto balancers = MakeBalancers(6);
  const flow::BalancerSet before(balancers[0].m_id, balancers);
  std::map<base::BalancerId, flow::BalancerSet> without;
  for (const flow::Balancer& killed : balancers) {
    auto survivors = balancers;
    std::erase(survivors, killed);
    without.emplace(killed.m_id,
                    flow::BalancerSet(survivors[0].m_id, survivors));
  }

  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    const auto home = before.HomeOf(hash).m_id;
    const auto backup = before.SearchTarget(hash, 0);
    REQUIRE(backup);
    CHECK(without.at(home).HomeOf(hash).m_id == backup->m_id);
  }
}

TEST_CASE("a leaving balancer is no home but first in the search order") {
  auto balancers = MakeBalancers(6);
  const flow::BalancerSet before(balancers[1].m_id, balancers);
  balancers[0].m_state = flow::BalancerState::kLeaving;
  const flow::BalancerSet after(balancers[1].m_id, balancers);

  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    const auto home = before.HomeOf(hash).m_id;
    CHECK(after.HomeOf(hash).m_id != balancers[0].m_id);
    if (home == balancers[0].m_id)
      CHECK(after.SearchTarget(hash, 0)->m_id == home);
  }
}

TEST_CASE("the search order contains every other balancer once") {
  const auto balancers = MakeBalancers(4);
  const flow::BalancerSet set(balancers[0].m_id, balancers);

  CHECK(set.SearchTarget(7, 2));
  CHECK_FALSE(set.SearchTarget(7, 3));
  CHECK(set.SearchTarget(7, 0)->m_id != set.SearchTarget(7, 1)->m_id);
}

TEST_CASE("a suspected balancer is no home and last in the search order") {
  auto balancers = MakeBalancers(6);
  balancers[0].m_state = flow::BalancerState::kSuspected;
  const flow::BalancerSet set(balancers[1].m_id, balancers);

  for (std::uint64_t hash = 0; hash < 1000; ++hash) {
    CHECK(set.HomeOf(hash).m_id != balancers[0].m_id);
    CHECK(set.SearchTarget(hash, 4)->m_id == balancers[0].m_id);
  }
}
