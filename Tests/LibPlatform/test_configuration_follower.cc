#include <doctest/doctest.h>

#include "LibPlatform/follower_world.h"

using base::BalancerId;
using base::ConfigurationVersion;
using platform::ConfigurationFollower;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const base::TimePoint kStart = base::TimePoint() + seconds(1000);

template <typename Alternative, typename Effects>
std::optional<Alternative> Find(const Effects& effects) {
  for (const auto& effect : effects) {
    if (const auto* found = std::get_if<Alternative>(&effect))
      return *found;
  }
  return std::nullopt;
}

platform::DocumentBody Body(const std::string& text) {
  return std::make_shared<const std::string>(text);
}

ConfigurationFollower MakeFollower() {
  return {BalancerId(1), {}, base::Random(1), kStart};
}

}  // namespace

TEST_CASE("two followers of a data centre watch and the others are silent") {
  FollowerWorld world(7, 1);
  world.Write();
  world.RunFor(seconds(10));
  const std::size_t asks_before = world.Asks();

  world.RunFor(seconds(60));

  CHECK(world.Watchers().size() == 2);
  CHECK(world.AllHaveLatest());
  // Two watchers that begin a watch of 1 s after the other.
  CHECK(world.Asks() - asks_before <= 2 * 61);
}

TEST_CASE("an older document is never adopted, whoever gives it") {
  auto follower = MakeFollower();
  auto ask = Find<platform::AskPlatform>(
      follower.Handle(platform::TimerFired{}, kStart));
  REQUIRE(ask);
  follower.Handle(
      platform::PlatformDocument{ask->m_ask, ConfigurationVersion(9),
                                 Body("nine")},
      kStart);
  REQUIRE(follower.Version() == ConfigurationVersion(9));

  const auto from_platform = follower.Handle(
      platform::PlatformDocument{ask->m_ask, ConfigurationVersion(8), Body("")},
      kStart);
  const auto from_peer = follower.Handle(
      platform::PeerDocument{BalancerId(2), ConfigurationVersion(9), Body("")},
      kStart);

  CHECK_FALSE(Find<platform::AdoptDocument>(from_platform));
  CHECK_FALSE(Find<platform::AdoptDocument>(from_peer));
  CHECK(follower.Version() == ConfigurationVersion(9));
}

TEST_CASE("a new balancer learns the document from a peer in an outage") {
  auto follower = MakeFollower();
  const auto ask = Find<platform::AskPlatform>(
      follower.Handle(platform::TimerFired{}, kStart));
  REQUIRE(ask);
  follower.Handle(platform::PlatformFailed{ask->m_ask}, kStart);

  const auto pull = Find<platform::PullFromPeer>(follower.Handle(
      platform::PeerDigest{BalancerId(2), ConfigurationVersion(4),
                           platform::PeerConfirmation{kStart, seconds(30)}},
      kStart));
  REQUIRE(pull);
  const auto adopted = Find<platform::AdoptDocument>(follower.Handle(
      platform::PeerDocument{BalancerId(2), ConfigurationVersion(4),
                             Body("four")},
      kStart));

  REQUIRE(adopted);
  CHECK(*adopted->m_body == "four");
  CHECK(follower.ConfirmedAt() == kStart - seconds(30));
}

TEST_CASE("a digest read late does not count as fresh") {
  auto follower = MakeFollower();
  follower.Handle(platform::PeerDocument{BalancerId(2), ConfigurationVersion(4),
                                         Body("four")},
                  kStart);

  // The digest answers a message sent before a pause of 60 s.
  const base::TimePoint thawed = kStart + seconds(60);
  follower.Handle(platform::PeerDigest{BalancerId(2), ConfigurationVersion(4),
                                       platform::PeerConfirmation{
                                           kStart, milliseconds(200)}},
                  thawed);

  CHECK(follower.ConfirmedAt() == kStart - milliseconds(200));
}

TEST_CASE("an answer about an older version confirms nothing") {
  auto follower = MakeFollower();
  const auto ask = Find<platform::AskPlatform>(
      follower.Handle(platform::TimerFired{}, kStart));
  REQUIRE(ask);
  follower.Handle(platform::PeerDocument{BalancerId(2), ConfigurationVersion(4),
                                         Body("four")},
                  kStart);

  follower.Handle(platform::PlatformUnchanged{ask->m_ask}, kStart + seconds(1));

  CHECK_FALSE(follower.ConfirmedAt());
}

TEST_CASE("a confirmation counts for the version in force alone") {
  auto follower = MakeFollower();
  follower.Handle(platform::PeerDocument{BalancerId(2), ConfigurationVersion(4),
                                         Body("four")},
                  kStart);

  follower.Handle(
      platform::VersionConfirmed{ConfigurationVersion(3), kStart + seconds(2)},
      kStart + seconds(2));
  CHECK_FALSE(follower.ConfirmedAt());

  follower.Handle(
      platform::VersionConfirmed{ConfigurationVersion(4), kStart + seconds(1)},
      kStart + seconds(2));
  CHECK(follower.ConfirmedAt() == kStart + seconds(1));
}

TEST_CASE("a failed pull goes to another peer") {
  auto follower = MakeFollower();
  const auto digest = [](std::uint64_t peer) {
    return platform::PeerDigest{BalancerId(peer), ConfigurationVersion(4),
                                std::nullopt};
  };
  const auto first =
      Find<platform::PullFromPeer>(follower.Handle(digest(2), kStart));
  REQUIRE(first);
  follower.Handle(digest(3), kStart);

  const auto second = Find<platform::PullFromPeer>(
      follower.Handle(platform::PeerPullFailed{BalancerId(2)}, kStart));

  REQUIRE(second);
  CHECK(second->m_peer == BalancerId(3));
}

TEST_CASE("a refused document is neither in force nor asked for again") {
  auto follower = MakeFollower();
  const auto document = [](std::uint64_t peer, std::uint64_t version) {
    return platform::PeerDocument{BalancerId(peer),
                                  ConfigurationVersion(version), Body("text")};
  };
  follower.Handle(document(2, 4), kStart);
  follower.Handle(platform::VersionConfirmed{ConfigurationVersion(4), kStart},
                  kStart);
  REQUIRE(
      Find<platform::AdoptDocument>(follower.Handle(document(2, 5), kStart)));

  follower.Handle(platform::DocumentRefused{ConfigurationVersion(5)}, kStart);

  CHECK(follower.Version() == ConfigurationVersion(4));
  CHECK(follower.ConfirmedAt() == kStart);
  const auto later = kStart + seconds(1);
  CHECK_FALSE(
      Find<platform::AdoptDocument>(follower.Handle(document(2, 5), later)));
  CHECK_FALSE(Find<platform::PullFromPeer>(follower.Handle(
      platform::PeerDigest{BalancerId(3), ConfigurationVersion(5),
                           std::nullopt},
      later)));
  CHECK(Find<platform::AdoptDocument>(follower.Handle(document(2, 6), later)));
}

TEST_CASE("what the platform says of a refused document confirms nothing") {
  auto follower = MakeFollower();
  const auto first = Find<platform::AskPlatform>(
      follower.Handle(platform::TimerFired{}, kStart));
  REQUIRE(first);
  follower.Handle(platform::PlatformDocument{first->m_ask,
                                             ConfigurationVersion(5), Body("")},
                  kStart);
  follower.Handle(platform::DocumentRefused{ConfigurationVersion(5)}, kStart);

  const auto later = kStart + seconds(5);
  const auto second = Find<platform::AskPlatform>(
      follower.Handle(platform::TimerFired{}, later));
  REQUIRE(second);
  CHECK(second->m_newer_than == ConfigurationVersion(5));
  follower.Handle(platform::PlatformUnchanged{second->m_ask}, later);

  CHECK(follower.Version() == ConfigurationVersion());
  CHECK_FALSE(follower.ConfirmedAt());
}
