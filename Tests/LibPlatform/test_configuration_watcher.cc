#include <doctest/doctest.h>

#include "LibPlatform/watcher_simulation.h"

using base::BalancerId;
using base::ConfigurationVersion;
using platform::ConfigurationWatcher;
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

ConfigurationWatcher MakeWatcher() {
  return {BalancerId(1), {}, base::Random(1), kStart};
}

}  // namespace

TEST_CASE("only two watchers of a data centre read from the platform") {
  WatcherSimulation simulation(7, 1);
  simulation.Write();
  simulation.RunFor(seconds(10));
  const std::size_t reads_before = simulation.PlatformReads();

  simulation.RunFor(seconds(60));

  CHECK(simulation.PlatformWatchers().size() == 2);
  CHECK(simulation.AllHaveLatestVersion());
  // Each of the two platform watchers starts watches of 1 s back to back.
  CHECK(simulation.PlatformReads() - reads_before <= 2 * 61);
}

TEST_CASE("an older document from the platform or a peer is not adopted") {
  auto watcher = MakeWatcher();
  auto read = Find<platform::ReadFromPlatform>(
      watcher.Handle(platform::TimerFired{}, kStart));
  REQUIRE(read);
  watcher.Handle(
      platform::PlatformDocument{read->m_read, ConfigurationVersion(9),
                                 Body("nine")},
      kStart);
  REQUIRE(watcher.Version() == ConfigurationVersion(9));

  const auto from_platform = watcher.Handle(
      platform::PlatformDocument{read->m_read, ConfigurationVersion(8),
                                 Body("")},
      kStart);
  const auto from_peer = watcher.Handle(
      platform::PeerDocument{BalancerId(2), ConfigurationVersion(9), Body("")},
      kStart);

  CHECK_FALSE(Find<platform::AdoptDocument>(from_platform));
  CHECK_FALSE(Find<platform::AdoptDocument>(from_peer));
  CHECK(watcher.Version() == ConfigurationVersion(9));
}

TEST_CASE(
    "a new balancer pulls the document from a peer in a platform outage") {
  auto watcher = MakeWatcher();
  const auto read = Find<platform::ReadFromPlatform>(
      watcher.Handle(platform::TimerFired{}, kStart));
  REQUIRE(read);
  watcher.Handle(platform::PlatformFailed{read->m_read}, kStart);

  const auto pull = Find<platform::PullFromPeer>(watcher.Handle(
      platform::PeerDigest{BalancerId(2), ConfigurationVersion(4),
                           platform::PeerConfirmation{kStart, seconds(30)}},
      kStart));
  REQUIRE(pull);
  const auto adopted = Find<platform::AdoptDocument>(watcher.Handle(
      platform::PeerDocument{BalancerId(2), ConfigurationVersion(4),
                             Body("four")},
      kStart));

  REQUIRE(adopted);
  CHECK(*adopted->m_body == "four");
  CHECK(watcher.ConfirmedAt() == kStart - seconds(30));
}

TEST_CASE(
    "a digest that waits during a pause confirms no later than its request") {
  auto watcher = MakeWatcher();
  watcher.Handle(platform::PeerDocument{BalancerId(2), ConfigurationVersion(4),
                                        Body("four")},
                 kStart);

  // The digest answers a message sent before a pause of 60 s.
  const base::TimePoint resumed_at = kStart + seconds(60);
  watcher.Handle(platform::PeerDigest{BalancerId(2), ConfigurationVersion(4),
                                      platform::PeerConfirmation{
                                          kStart, milliseconds(200)}},
                 resumed_at);

  CHECK(watcher.ConfirmedAt() == kStart - milliseconds(200));
}

TEST_CASE("an unchanged result for an older version confirms nothing") {
  auto watcher = MakeWatcher();
  const auto read = Find<platform::ReadFromPlatform>(
      watcher.Handle(platform::TimerFired{}, kStart));
  REQUIRE(read);
  watcher.Handle(platform::PeerDocument{BalancerId(2), ConfigurationVersion(4),
                                        Body("four")},
                 kStart);

  watcher.Handle(platform::PlatformUnchanged{read->m_read},
                 kStart + seconds(1));

  CHECK_FALSE(watcher.ConfirmedAt());
}

TEST_CASE("a confirmation counts only for the version in force") {
  auto watcher = MakeWatcher();
  watcher.Handle(platform::PeerDocument{BalancerId(2), ConfigurationVersion(4),
                                        Body("four")},
                 kStart);

  watcher.Handle(
      platform::VersionConfirmed{ConfigurationVersion(3), kStart + seconds(2)},
      kStart + seconds(2));
  CHECK_FALSE(watcher.ConfirmedAt());

  watcher.Handle(
      platform::VersionConfirmed{ConfigurationVersion(4), kStart + seconds(1)},
      kStart + seconds(2));
  CHECK(watcher.ConfirmedAt() == kStart + seconds(1));
}

TEST_CASE("after a failed pull, the document is pulled from another peer") {
  auto watcher = MakeWatcher();
  const auto digest = [](std::uint64_t peer) {
    return platform::PeerDigest{BalancerId(peer), ConfigurationVersion(4),
                                std::nullopt};
  };
  const auto first =
      Find<platform::PullFromPeer>(watcher.Handle(digest(2), kStart));
  REQUIRE(first);
  watcher.Handle(digest(3), kStart);

  const auto second = Find<platform::PullFromPeer>(
      watcher.Handle(platform::PeerPullFailed{BalancerId(2)}, kStart));

  REQUIRE(second);
  CHECK(second->m_peer == BalancerId(3));
}

TEST_CASE("a refused document is not in force and not pulled again") {
  auto watcher = MakeWatcher();
  const auto document = [](std::uint64_t peer, std::uint64_t version) {
    return platform::PeerDocument{BalancerId(peer),
                                  ConfigurationVersion(version), Body("text")};
  };
  watcher.Handle(document(2, 4), kStart);
  watcher.Handle(platform::VersionConfirmed{ConfigurationVersion(4), kStart},
                 kStart);
  REQUIRE(
      Find<platform::AdoptDocument>(watcher.Handle(document(2, 5), kStart)));

  watcher.Handle(platform::DocumentRefused{ConfigurationVersion(5)}, kStart);

  CHECK(watcher.Version() == ConfigurationVersion(4));
  CHECK(watcher.ConfirmedAt() == kStart);
  const auto later = kStart + seconds(1);
  CHECK_FALSE(
      Find<platform::AdoptDocument>(watcher.Handle(document(2, 5), later)));
  CHECK_FALSE(Find<platform::PullFromPeer>(watcher.Handle(
      platform::PeerDigest{BalancerId(3), ConfigurationVersion(5),
                           std::nullopt},
      later)));
  CHECK(Find<platform::AdoptDocument>(watcher.Handle(document(2, 6), later)));
}

TEST_CASE("an unchanged result for a refused document confirms nothing") {
  auto watcher = MakeWatcher();
  const auto first = Find<platform::ReadFromPlatform>(
      watcher.Handle(platform::TimerFired{}, kStart));
  REQUIRE(first);
  watcher.Handle(platform::PlatformDocument{first->m_read,
                                            ConfigurationVersion(5), Body("")},
                 kStart);
  watcher.Handle(platform::DocumentRefused{ConfigurationVersion(5)}, kStart);

  const auto later = kStart + seconds(5);
  const auto second = Find<platform::ReadFromPlatform>(
      watcher.Handle(platform::TimerFired{}, later));
  REQUIRE(second);
  CHECK(second->m_newer_than == ConfigurationVersion(5));
  watcher.Handle(platform::PlatformUnchanged{second->m_read}, later);

  CHECK(watcher.Version() == ConfigurationVersion());
  CHECK_FALSE(watcher.ConfirmedAt());
}
