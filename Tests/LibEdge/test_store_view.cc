#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "LibCatalog/snapshot_codec.h"
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
  record.m_revision = base::StoreRevision(revision);
  return record;
}

const base::DataCentreId kHall1("hall-1");
const base::DataCentreId kHall2("hall-2");
const base::DataCentreId kUnknown("unknown");

catalog::Evacuations MakeEvacuations(
    std::uint64_t revision,
    const std::vector<base::DataCentreId>& data_centres) {
  catalog::Evacuations evacuations{catalog::Revision(revision), {}};
  for (const base::DataCentreId& data_centre : data_centres)
    evacuations.m_objects[data_centre] = catalog::Revision(revision);
  return evacuations;
}

struct StoreViewFixture {
  std::size_t Servers() const {
    return m_steering.directory().ServersOf("portal").size();
  }

  const std::set<base::DataCentreId>& Evacuated() const {
    return m_steering.directory().Evacuated();
  }

  steering::Steering m_steering{steering::SteeringSettings(), 1, At(0)};
  StoreView m_view{m_steering};
};

}  // namespace

TEST_CASE(
    "a list removes the servers that are not in it, and each change is "
    "returned once") {
  StoreViewFixture fixture;
  CHECK(fixture.m_view
            .ApplyServerList({MakeServer("i-1", 1), MakeServer("i-2", 2)},
                             catalog::Revision(20), At(0))
            .size() == 2);

  const auto changes = fixture.m_view.ApplyServerList(
      {MakeServer("i-2", 2)}, catalog::Revision(20), At(10));

  REQUIRE(changes.size() == 1);
  CHECK(changes[0].m_change == steering::DirectoryChange::kGone);
  CHECK(changes[0].m_record.m_name == steering::ServerName("i-1"));
  CHECK(fixture.Servers() == 1);
}

TEST_CASE("openings wait for the first page of a long list and not for all") {
  StoreViewFixture fixture;
  steering::Manifest manifest;
  manifest.m_version = base::ConfigurationVersion(1);
  fixture.m_view.ApplyManifest(manifest);
  CHECK_FALSE(fixture.m_steering.HasRoutesAndServers());

  fixture.m_view.ApplyFirstServers({MakeServer("i-1", 1), MakeServer("i-3", 3)},
                                   At(0));
  CHECK(fixture.m_steering.HasRoutesAndServers());
  CHECK_FALSE(fixture.m_steering.AreServersComplete());
  fixture.m_view.ApplyServerList({MakeServer("i-2", 2), MakeServer("i-3", 3)},
                                 catalog::Revision(20), At(10));

  CHECK(fixture.m_steering.AreServersComplete());
  CHECK(fixture.Servers() == 2);
}

// The records of such a response were applied like a page of the first list.
TEST_CASE(
    "a delayed response that a peer's view already contains brings back no "
    "server that has left") {
  StoreViewFixture fixture;
  catalog::CollectionWatcher watcher({}, base::Random(1), At(0));
  watcher.StartDueCall(At(0));
  watcher.HandleResult(catalog::PageResponse{catalog::Revision(5)}, At(4));
  fixture.m_view.ApplyServerList({}, catalog::Revision(5), At(4));
  watcher.StartDueCall(At(4));
  REQUIRE(watcher.AdoptRevision(catalog::Revision(9)));
  fixture.m_view.ApplyServerList({}, catalog::Revision(9), At(6));

  // The server registered at revision 6 and left at revision 8.
  const auto outcome = watcher.HandleResult(
      catalog::ChangesResponse{catalog::Revision(7)}, At(10));
  fixture.m_view.ApplyServerUpdate(
      outcome.m_update, {{steering::ServerName("i-1"), MakeServer("i-1", 6)}},
      watcher.KnownRevision(), At(10));

  CHECK(fixture.Servers() == 0);
}

TEST_CASE(
    "servers whose records expired in an outage are removed only if they do "
    "not register again after it") {
  StoreViewFixture fixture;
  fixture.m_view.ApplyServerList({MakeServer("i-1", 1), MakeServer("i-2", 2)},
                                 catalog::Revision(20), At(0));
  fixture.m_view.OnStoreLost(catalog::OutageSource::kServers);
  fixture.m_view.OnStoreRegained(catalog::OutageSource::kServers, At(5000));
  fixture.m_view.ApplyServerList({}, catalog::Revision(20), At(5010));
  CHECK(fixture.Servers() == 2);

  fixture.m_view.ApplyServerEvents(
      {{steering::ServerName("i-1"), MakeServer("i-1", 9)}},
      catalog::Revision(20), At(6000));
  const auto changes = fixture.m_view.ApplyDueRemovals(At(7300));

  REQUIRE(changes.size() == 1);
  CHECK(changes[0].m_record.m_name == steering::ServerName("i-2"));
  CHECK(fixture.Servers() == 1);
}

// An outage between two responses to a watch is not seen. Flows of the draining
// server were reset though it was still running.
TEST_CASE(
    "a draining server whose record expired together with those of ready "
    "servers is removed only if it does not register again") {
  for (const bool is_list : {false, true}) {
    for (const bool registers_again : {false, true}) {
      StoreViewFixture fixture;
      StoreView& view = fixture.m_view;
      steering::ServerRecord draining = MakeServer("i-2", 2);
      draining.m_state = steering::ServerState::kDraining;
      view.ApplyServerList({MakeServer("i-1", 1), draining},
                           catalog::Revision(2), At(0));

      if (is_list)
        view.ApplyServerList({}, catalog::Revision(4), At(1000));
      else
        view.ApplyServerEvents({{draining.m_name, std::nullopt},
                                {steering::ServerName("i-1"), std::nullopt}},
                               catalog::Revision(4), At(1000));

      CHECK(fixture.m_steering.directory().RegisteredNames() ==
            std::vector{draining.m_name});
      CHECK(view.MakeSnapshot(catalog::Revision(4), {}).m_servers.empty());
      draining.m_revision = base::StoreRevision(5);
      if (registers_again)
        view.ApplyServerEvents({{draining.m_name, draining}},
                               catalog::Revision(5), At(3000));
      CHECK(view.ApplyDueRemovals(At(3299)).empty());
      CHECK(view.ApplyDueRemovals(At(3300)).size() ==
            (registers_again ? 0 : 1));
    }
  }
}

TEST_CASE("a draining server that ends by itself is removed at once") {
  StoreViewFixture fixture;
  steering::ServerRecord draining = MakeServer("i-2", 2);
  draining.m_state = steering::ServerState::kDraining;
  fixture.m_view.ApplyServerList({MakeServer("i-1", 1), draining},
                                 catalog::Revision(2), At(0));

  CHECK(fixture.m_view
            .ApplyServerEvents({{draining.m_name, std::nullopt}},
                               catalog::Revision(3), At(1000))
            .size() == 1);
}

TEST_CASE("the draining of a server is applied at once also during an outage") {
  StoreViewFixture fixture;
  fixture.m_view.ApplyServerList({MakeServer("i-1", 1)}, catalog::Revision(20),
                                 At(0));
  fixture.m_view.OnStoreLost(catalog::OutageSource::kServers);
  steering::ServerRecord draining = MakeServer("i-1", 2);
  draining.m_state = steering::ServerState::kDraining;

  const auto changes = fixture.m_view.ApplyServerEvents(
      {{draining.m_name, draining}}, catalog::Revision(20), At(100));

  REQUIRE(changes.size() == 1);
  CHECK(changes[0].m_change == steering::DirectoryChange::kDraining);
}

TEST_CASE(
    "a server whose removal is delayed is in no snapshot, so that a restarted "
    "balancer does not use it again") {
  StoreViewFixture fixture;
  fixture.m_view.ApplyServerList({MakeServer("i-1", 1), MakeServer("i-2", 2)},
                                 catalog::Revision(2), At(0));
  fixture.m_view.OnStoreLost(catalog::OutageSource::kServers);
  fixture.m_view.ApplyServerEvents({{steering::ServerName("i-1"), {}}},
                                   catalog::Revision(5), At(10));
  REQUIRE(fixture.Servers() == 2);

  const auto snapshot =
      fixture.m_view.MakeSnapshot(catalog::Revision(5), catalog::Revision(1));

  REQUIRE(snapshot.m_servers.size() == 1);
  CHECK(snapshot.m_servers[0].m_name == steering::ServerName("i-2"));
}

TEST_CASE("a delta brings a peer from any known revision to the same servers") {
  StoreViewFixture reader;
  reader.m_view.ApplyServerList(
      {MakeServer("i-1", 1), MakeServer("i-2", 2), MakeServer("i-3", 3)},
      catalog::Revision(3), At(0));
  // The states of peers that stopped following after each revision.
  std::vector<std::unique_ptr<StoreViewFixture>> peers;
  const auto add_peer = [&](std::uint64_t revision) {
    peers.push_back(std::make_unique<StoreViewFixture>());
    peers.back()->m_view.ApplyServerDelta(
        reader.m_view.MakeDelta({}, catalog::Revision(revision), {}), At(1));
  };
  add_peer(3);
  reader.m_view.ApplyServerEvents(
      {{steering::ServerName("i-1"), std::nullopt},
       {steering::ServerName("i-4"), MakeServer("i-4", 5)}},
      catalog::Revision(5), At(10));
  add_peer(5);
  // A server that was removed registers again under its name.
  reader.m_view.ApplyServerEvents(
      {{steering::ServerName("i-1"), MakeServer("i-1", 7)},
       {steering::ServerName("i-2"), std::nullopt}},
      catalog::Revision(8), At(20));
  add_peer(8);

  const std::uint64_t known[] = {3, 5, 8};
  for (std::size_t i = 0; i < peers.size(); ++i) {
    const auto delta = reader.m_view.MakeDelta(
        {catalog::Revision(known[i]), {}, {}}, catalog::Revision(8), {});
    CHECK(delta.m_since == catalog::Revision(known[i]));
    peers[i]->m_view.ApplyServerDelta(delta, At(30));
    const auto expected = reader.m_steering.directory().RegisteredNames();
    CHECK(peers[i]->m_steering.directory().RegisteredNames() == expected);
  }
}

TEST_CASE("a peer from before the known history gets all servers") {
  StoreViewFixture reader;
  reader.m_view.ApplyServerList({MakeServer("i-1", 1)}, catalog::Revision(6),
                                At(0));
  StoreViewFixture peer;
  peer.m_view.ApplyServerList({MakeServer("i-9", 2)}, catalog::Revision(4),
                              At(0));

  const auto delta =
      reader.m_view.MakeDelta({catalog::Revision(4), {}, {}},
                              catalog::Revision(6), catalog::Revision(2));
  peer.m_view.ApplyServerDelta(delta, At(10));

  CHECK(delta.m_since == catalog::Revision());
  CHECK(peer.m_steering.directory().RegisteredNames() ==
        std::vector{steering::ServerName("i-1")});
}

TEST_CASE("a delta from a revision that is newer than the view is empty") {
  StoreViewFixture reader;
  reader.m_view.ApplyServerList({MakeServer("i-1", 1)}, catalog::Revision(6),
                                At(0));

  const auto delta =
      reader.m_view.MakeDelta({catalog::Revision(9), {}, {}},
                              catalog::Revision(6), catalog::Revision(2));

  CHECK(delta.m_since == catalog::Revision(9));
  CHECK(delta.m_servers.empty());
  CHECK(delta.m_removed_servers.empty());
}

TEST_CASE("a delta contains the manifest only if the peer lacks it") {
  StoreViewFixture reader;
  steering::Manifest manifest;
  manifest.m_version = base::ConfigurationVersion(3);
  REQUIRE(reader.m_view.ApplyManifest(manifest));

  const auto delta_since = [&reader](std::uint64_t version) {
    return reader.m_view.MakeDelta(
        {{}, base::ConfigurationVersion(version), {}}, {},
        catalog::Revision(6));
  };

  CHECK(delta_since(0).m_manifest);
  CHECK(delta_since(2).m_manifest);
  CHECK_FALSE(delta_since(3).m_manifest);
  CHECK_FALSE(delta_since(4).m_manifest);
}

TEST_CASE("a snapshot contains the servers and the manifest of the view") {
  StoreViewFixture fixture;
  fixture.m_view.ApplyServerList({MakeServer("i-1", 1)}, catalog::Revision(20),
                                 At(0));
  steering::Manifest manifest;
  manifest.m_version = base::ConfigurationVersion(3);
  REQUIRE(fixture.m_view.ApplyManifest(manifest));

  const catalog::Snapshot snapshot =
      fixture.m_view.MakeSnapshot(catalog::Revision(7), catalog::Revision(6));

  CHECK(snapshot.m_servers.size() == 1);
  CHECK(snapshot.m_manifest.m_version == base::ConfigurationVersion(3));
}

TEST_CASE("each start and end of an evacuation is returned once") {
  StoreViewFixture fixture;
  steering::ServerRecord server = MakeServer("i-1", 1);
  server.m_data_centre = kHall1;
  fixture.m_view.ApplyServerList({server}, catalog::Revision(20), At(0));

  const auto started = fixture.m_view.ApplyEvacuations(
      MakeEvacuations(21, {kHall1, kUnknown}), At(10));
  CHECK(fixture.m_view
            .ApplyEvacuationEvents({{kHall1, catalog::Revision(22)}},
                                   catalog::Revision(22), At(20))
            .empty());
  const auto ended = fixture.m_view.ApplyEvacuationEvents(
      {{kHall1, std::nullopt}}, catalog::Revision(23), At(30));

  REQUIRE(started.size() == 2);
  CHECK(started[0].m_data_centre == kHall1);
  CHECK(started[0].m_has_started);
  CHECK(started[0].m_servers == 1);
  // No server has named this data centre; the evacuation has no effect.
  CHECK(started[1].m_servers == 0);
  REQUIRE(ended.size() == 1);
  CHECK_FALSE(ended[0].m_has_started);
  CHECK(fixture.Evacuated() == std::set{kUnknown});
  CHECK(fixture.m_steering.EvacuationEndedAt(kHall1) == At(30));
}

TEST_CASE(
    "a list after lost history, or of a restored store, ends the evacuations "
    "that it lacks") {
  for (const catalog::Revision listed :
       {catalog::Revision(30), catalog::Revision(base::StoreEra(1), 5)}) {
    StoreViewFixture fixture;
    fixture.m_view.ApplyEvacuations(MakeEvacuations(21, {kHall1, kHall2}),
                                    At(10));

    const auto changes =
        fixture.m_view.ApplyEvacuations({listed, {{kHall2, listed}}}, At(20));

    REQUIRE(changes.size() == 1);
    CHECK(changes[0].m_data_centre == kHall1);
    CHECK(fixture.Evacuated() == std::set{kHall2});
    CHECK(fixture.m_view.evacuations().m_revision == listed);
  }
}

TEST_CASE(
    "a peer gets all evacuations if it knows an older revision, and none if "
    "not") {
  StoreViewFixture reader;
  reader.m_view.ApplyEvacuations(MakeEvacuations(21, {kHall1}), At(0));
  const auto evacuations_since = [&reader](catalog::Revision known) {
    return reader.m_view.MakeDelta({{}, {}, known}, {}, {}).m_evacuations;
  };

  CHECK(evacuations_since({}) == reader.m_view.evacuations());
  CHECK(evacuations_since(catalog::Revision(20)) ==
        reader.m_view.evacuations());
  CHECK_FALSE(evacuations_since(catalog::Revision(21)));
  CHECK_FALSE(evacuations_since({base::StoreEra(1), 3}));
  CHECK(reader.m_view.MakeSnapshot({}, {}).m_evacuations ==
        reader.m_view.evacuations());
}

TEST_CASE(
    "objects of other programs cannot displace the evacuation of a data centre "
    "in use, nor prevent that views are encoded") {
  StoreViewFixture fixture;
  steering::ServerRecord server = MakeServer("i-1", 1);
  server.m_data_centre = base::DataCentreId("z");
  fixture.m_view.ApplyServerList({server}, catalog::Revision(20), At(0));
  catalog::Evacuations many = MakeEvacuations(21, {server.m_data_centre});
  for (int i = 0; i < 3000; ++i)
    many.m_objects[base::DataCentreId(
        std::string("a").append(std::to_string(i)))] = {};

  fixture.m_view.ApplyEvacuations(many, At(10));

  CHECK(fixture.Evacuated().contains(server.m_data_centre));
  CHECK(fixture.Evacuated().size() == catalog::kMaximumEvacuations);
  CHECK(catalog::EncodeSnapshot(fixture.m_view.MakeSnapshot({}, {})));
}

// The readers' revisions had smaller numbers than the follower's.
TEST_CASE(
    "after a restore of the store a follower gets the manifest and the servers "
    "of the new era") {
  const catalog::Revision restored(base::StoreEra(1), 155);
  StoreViewFixture reader;
  reader.m_view.ApplyServerList({MakeServer("i-1", 1)}, restored, At(0));
  steering::Manifest manifest;
  manifest.m_version = base::ConfigurationVersion(14);
  REQUIRE(reader.m_view.ApplyManifest(manifest));
  StoreViewFixture follower;
  follower.m_view.ApplyServerList({MakeServer("i-9", 2)},
                                  catalog::Revision(170), At(0));

  const auto delta = reader.m_view.MakeDelta(
      {catalog::Revision(170), base::ConfigurationVersion(11), {}}, restored,
      catalog::Revision(base::StoreEra(1), 150));

  CHECK(delta.m_since == catalog::Revision());
  REQUIRE(delta.m_manifest);
  CHECK(delta.m_manifest->m_version == base::ConfigurationVersion(14));
  follower.m_view.ApplyServerDelta(delta, At(10));
  CHECK(follower.m_steering.directory().RegisteredNames() ==
        std::vector{steering::ServerName("i-1")});
}

TEST_CASE(
    "a server that the restored store lacks is removed only if it does not "
    "register again") {
  StoreViewFixture fixture;
  fixture.m_view.ApplyServerList({MakeServer("i-1", 1), MakeServer("i-2", 2)},
                                 catalog::Revision(20), At(0));
  fixture.m_view.OnStoreRestored(At(5000));
  fixture.m_view.ApplyServerList({MakeServer("i-1", 1)},
                                 catalog::Revision(base::StoreEra(1), 9),
                                 At(5000));
  CHECK(fixture.Servers() == 2);

  CHECK(fixture.m_view.ApplyDueRemovals(At(7000)).empty());
  CHECK(fixture.m_view.ApplyDueRemovals(At(7300)).size() == 1);
}

}  // namespace edge
