#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "LibCatalog/snapshot.h"
#include "LibCatalog/snapshot_codec.h"
#include "LibCatalog/view_delta.h"

namespace catalog {

namespace {

Snapshot MakeSnapshot() {
  Snapshot snapshot;
  snapshot.m_servers_revision = Revision(42);
  steering::ServerRecord server;
  server.m_name = steering::ServerName("i-7f3a91c2");
  server.m_identity = steering::WireIdentity(0x7f3a91c2);
  server.m_service = "portal";
  server.m_endpoint = {base::Ipv4Address(0x0A800009), 8080};
  server.m_data_centre = base::DataCentreId("hall-1");
  server.m_state = steering::ServerState::kDraining;
  server.m_slots = 3;
  server.m_warm_up_left = std::chrono::milliseconds(1200);
  server.m_incarnation = 1787859612135;
  server.m_sequence = 6;
  server.m_revision = Revision(base::StoreEra(2), 40);
  snapshot.m_servers = {server};
  snapshot.m_manifest_revision = Revision(41);
  snapshot.m_manifest.m_version = base::ConfigurationVersion(7);
  snapshot.m_manifest.m_routes = {{"feed",
                                   {base::Ipv4Address(0xC6120001), 8443},
                                   {{"portal", 90}, {"archive", 10}},
                                   steering::RequestKind::kDownload,
                                   std::chrono::milliseconds(1500),
                                   std::chrono::milliseconds(400),
                                   2}};
  snapshot.m_manifest.m_services = {
      {"portal", "/health", std::chrono::seconds(2), 20}};
  snapshot.m_evacuations = {
      Revision(base::StoreEra(2), 43),
      {{base::DataCentreId("hall-1"), Revision(base::StoreEra(2), 30)},
       {base::DataCentreId("hall-3"), Revision(base::StoreEra(2), 42)}}};
  return snapshot;
}

}  // namespace

TEST_CASE("a decoded snapshot equals the encoded one") {
  const Snapshot snapshot = MakeSnapshot();

  const auto decoded = DecodeSnapshot(EncodeSnapshot(snapshot).value());

  REQUIRE(decoded);
  CHECK(decoded.value().m_servers == snapshot.m_servers);
  CHECK(decoded.value().m_servers_revision == Revision(42));
  CHECK(decoded.value().m_manifest_revision == Revision(41));
  CHECK(decoded.value().m_manifest.m_routes == snapshot.m_manifest.m_routes);
  CHECK(decoded.value().m_manifest.m_services ==
        snapshot.m_manifest.m_services);
  CHECK(decoded.value().m_manifest.m_idle_timeout ==
        snapshot.m_manifest.m_idle_timeout);
  CHECK(decoded.value().m_evacuations == snapshot.m_evacuations);
}

TEST_CASE("a delta without evacuations differs from one that ends all") {
  ViewDelta delta;
  const auto unchanged = DecodeDelta(EncodeDelta(delta).value());
  delta.m_evacuations = Evacuations{Revision(9), {}};
  const auto ended = DecodeDelta(EncodeDelta(delta).value());
  delta.m_evacuations = MakeSnapshot().m_evacuations;
  const auto changed = DecodeDelta(EncodeDelta(delta).value());

  REQUIRE(unchanged);
  CHECK_FALSE(unchanged.value().m_evacuations);
  REQUIRE(ended);
  CHECK(ended.value().m_evacuations == Evacuations{Revision(9), {}});
  REQUIRE(changed);
  CHECK(changed.value().m_evacuations == delta.m_evacuations);
}

TEST_CASE("more evacuations than the limit are neither encoded nor decoded") {
  Snapshot snapshot = MakeSnapshot();
  auto& objects = snapshot.m_evacuations.m_objects;
  while (objects.size() < kMaximumEvacuations)
    objects[base::DataCentreId(std::to_string(objects.size()))] = {};
  CHECK(EncodeSnapshot(snapshot));

  objects[base::DataCentreId("one-more")] = {};
  CHECK_FALSE(EncodeSnapshot(snapshot));
}

// Such a view was sent to each peer in turn, and none could use it.
TEST_CASE("a view that peers would refuse for its size is not encoded") {
  Snapshot snapshot = MakeSnapshot();
  snapshot.m_servers[0].m_service.assign(kMaximumNameBytes, 's');
  snapshot.m_servers.resize(kMaximumSnapshotBytes / kMaximumNameBytes,
                            snapshot.m_servers[0]);

  const auto outcome = EncodeSnapshot(snapshot);

  REQUIRE_FALSE(outcome);
  CHECK(outcome.error() == std::errc::message_size);
}

TEST_CASE("a route without services and every kind of request are encoded") {
  Snapshot snapshot = MakeSnapshot();
  snapshot.m_manifest.m_routes[0].m_services.clear();
  for (const auto& [kind, name] : steering::kRequestKindNames) {
    snapshot.m_manifest.m_routes[0].m_kind = kind;

    const auto decoded = DecodeSnapshot(EncodeSnapshot(snapshot).value());

    REQUIRE(decoded);
    CHECK(decoded.value().m_manifest.m_routes == snapshot.m_manifest.m_routes);
  }
}

TEST_CASE(
    "names of the maximum length are encoded, longer names are an error") {
  Snapshot snapshot = MakeSnapshot();
  snapshot.m_servers[0].m_service.assign(kMaximumNameBytes, 's');
  snapshot.m_manifest.m_services[0].m_health_path.assign(kMaximumNameBytes,
                                                         'p');

  const auto fitting = EncodeSnapshot(snapshot);
  snapshot.m_servers[0].m_service += 's';
  const auto too_long = EncodeSnapshot(snapshot);

  REQUIRE(fitting);
  CHECK(DecodeSnapshot(fitting.value()));
  REQUIRE_FALSE(too_long);
  CHECK(too_long.error() == std::errc::message_size);
}

TEST_CASE("a timeout longer than a day is an error") {
  Snapshot snapshot = MakeSnapshot();
  snapshot.m_manifest.m_routes[0].m_timeout = kMaximumDuration;
  CHECK(EncodeSnapshot(snapshot));

  snapshot.m_manifest.m_routes[0].m_timeout += std::chrono::milliseconds(1);
  CHECK_FALSE(EncodeSnapshot(snapshot));
}

TEST_CASE(
    "truncated, extended and foreign bytes are not decoded as a snapshot") {
  const std::string bytes = EncodeSnapshot(MakeSnapshot()).value();

  for (std::size_t length = 0; length < bytes.size(); ++length)
    CHECK_FALSE(DecodeSnapshot(std::string_view(bytes).substr(0, length)));
  CHECK_FALSE(DecodeSnapshot(bytes + "x"));
  CHECK_FALSE(DecodeSnapshot("GET / HTTP/1.1\r\n\r\n"));
}

TEST_CASE(
    "a changed byte leads to an error or another snapshot, not to a crash") {
  const std::string bytes = EncodeSnapshot(MakeSnapshot()).value();

  for (std::size_t offset = 0; offset < bytes.size(); ++offset) {
    for (const char value : {'\x00', '\x7f', '\xff'}) {
      std::string changed = bytes;
      changed[offset] = value;
      const auto decoded = DecodeSnapshot(changed);
      if (decoded)
        CHECK(decoded.value().m_servers.size() <= kMaximumServers);
    }
  }
}

}  // namespace catalog
