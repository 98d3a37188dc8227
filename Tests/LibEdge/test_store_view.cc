#include <doctest/doctest.h>

#include <chrono>

#include "LibEdge/store_view.h"

namespace edge {

namespace {

base::TimePoint At(int milliseconds) {
  return base::TimePoint(std::chrono::hours(1) +
                         std::chrono::milliseconds(milliseconds));
}

steering::ServerRecord MakeServer(const std::string& name,
                                  std::uint64_t revision) {
  steering::ServerRecord record;
  record.m_name = steering::ServerName(name);
  record.m_service = "portal";
  record.m_revision = revision;
  return record;
}

struct StoreViewFixture {
  std::size_t Servers() const {
    return m_steering.directory().ServersOf("portal").size();
  }

  steering::Steering m_steering{steering::SteeringSettings(), 1, At(0)};
  StoreView m_view{m_steering};
};

}  // namespace

TEST_CASE(
    "a list removes the servers that are not in it, and each change is "
    "returned once") {
  StoreViewFixture fixture;
  CHECK(
      fixture.m_view
          .ApplyServerList({MakeServer("i-1", 1), MakeServer("i-2", 2)}, At(0))
          .size() == 2);

  const auto changes =
      fixture.m_view.ApplyServerList({MakeServer("i-2", 2)}, At(10));

  REQUIRE(changes.size() == 1);
  CHECK(changes[0].m_change == steering::DirectoryChange::kGone);
  CHECK(changes[0].m_record.m_name == steering::ServerName("i-1"));
  CHECK(fixture.Servers() == 1);
}

TEST_CASE(
    "servers whose records expired in an outage are removed only if they do "
    "not register again after it") {
  StoreViewFixture fixture;
  fixture.m_view.ApplyServerList({MakeServer("i-1", 1), MakeServer("i-2", 2)},
                                 At(0));
  fixture.m_view.OnStoreLost();
  fixture.m_view.OnStoreRegained(At(5000));
  fixture.m_view.ApplyServerList({}, At(5010));
  CHECK(fixture.Servers() == 2);

  fixture.m_view.ApplyServerEvents(
      {{steering::ServerName("i-1"), MakeServer("i-1", 9)}}, At(6000));
  const auto changes = fixture.m_view.ApplyDueRemovals(At(7300));

  REQUIRE(changes.size() == 1);
  CHECK(changes[0].m_record.m_name == steering::ServerName("i-2"));
  CHECK(fixture.Servers() == 1);
}

TEST_CASE("the draining of a server is applied at once also during an outage") {
  StoreViewFixture fixture;
  fixture.m_view.ApplyServerList({MakeServer("i-1", 1)}, At(0));
  fixture.m_view.OnStoreLost();
  steering::ServerRecord draining = MakeServer("i-1", 2);
  draining.m_state = steering::ServerState::kDraining;

  const auto changes =
      fixture.m_view.ApplyServerEvents({{draining.m_name, draining}}, At(100));

  REQUIRE(changes.size() == 1);
  CHECK(changes[0].m_change == steering::DirectoryChange::kDraining);
}

TEST_CASE("a snapshot contains the servers and the manifest of the view") {
  StoreViewFixture fixture;
  fixture.m_view.ApplyServerList({MakeServer("i-1", 1)}, At(0));
  steering::Manifest manifest;
  manifest.m_version = base::ConfigurationVersion(3);
  REQUIRE(fixture.m_view.ApplyManifest(manifest));

  const catalog::Snapshot snapshot =
      fixture.m_view.MakeSnapshot(catalog::Revision(7), catalog::Revision(6));

  CHECK(snapshot.m_servers.size() == 1);
  CHECK(snapshot.m_manifest.m_version == base::ConfigurationVersion(3));
}

}  // namespace edge
