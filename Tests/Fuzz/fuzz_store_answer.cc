// Decodes arbitrary bytes as responses of the platform's store, applies them to
// a view, and encodes the view as a snapshot that must be decodable. Also
// decodes the bytes as a snapshot.

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <utility>

#include "LibCatalog/snapshot_codec.h"
#include "LibEdge/store_view.h"
#include "LibSteering/steering.h"
#include "platform/store_calls.h"

namespace {

constexpr std::uint16_t kOk = 200;

adapter::CollectionResponse Read(adapter::Collection collection,
                                 const catalog::CollectionCall& call,
                                 std::string body) {
  http::Response response;
  response.m_status = kOk;
  response.m_body = std::move(body);
  return adapter::DecodeResponse(collection, call, response);
}

void ApplyAndEncode(const adapter::CollectionResponse& response) {
  const base::TimePoint now{std::chrono::hours(1)};
  steering::Steering steering({base::DataCentreId("here")}, 1, now);
  edge::StoreView view(steering);
  view.ApplyServerEvents(response.m_objects.m_servers, catalog::Revision(1),
                         now);
  view.ApplyEvacuationEvents(response.m_objects.m_evacuations,
                             catalog::Revision(1), now);
  for (const auto& decoded : response.m_objects.m_manifests)
    view.ApplyManifest(decoded.m_manifest);
  const auto snapshot =
      view.MakeSnapshot(catalog::Revision(1), catalog::Revision(1));
  const auto bytes = catalog::EncodeSnapshot(snapshot);
  if (!bytes || !catalog::DecodeSnapshot(bytes.value()))
    std::abort();
}

// Aborts if the response lacks the record of the usable server.
void CheckIsFound(const adapter::CollectionResponse& response) {
  const auto& servers = response.m_objects.m_servers;
  const bool is_found =
      std::any_of(servers.begin(), servers.end(), [](const auto& server) {
        return server.m_name == steering::ServerName("i-7f3a91c2") &&
               server.m_record.has_value();
      });
  if (!is_found)
    std::abort();
}

// Aborts if a usable server is not found beside an object with content `spec`,
// in a list or among the events of a watch.
void FindServerBeside(const std::string& spec) {
  const auto object = [](const std::string& name, const std::string& content) {
    return R"({"meta":{"name":")" + name + R"(","revision":1},"spec":)" +
           content + R"(,"status":null})";
  };
  const auto event = [](const std::string& content) {
    return R"({"deleted":false,"object":)" + content + "}";
  };
  const std::string usable = object(
      "i-7f3a91c2",
      R"({"backend":"a","address":"10.0.0.1:80","zone":"z","version":"v1",)"
      R"("max_concurrency":3,"state":"ready","warmup_left_ms":0,"seq":4})");
  const std::string odd = object("i-1", spec);
  for (const auto& [first, second] :
       {std::pair(odd, usable), std::pair(usable, odd)}) {
    std::string list = R"({"items":[)";
    list.append(first).append(",").append(second);
    CheckIsFound(Read(adapter::Collection::kServers, catalog::ListCall{},
                      list + R"(],"more":false,"store_revision":9})"));
    std::string changes = R"({"events":[)";
    changes.append(event(first)).append(",").append(event(second));
    CheckIsFound(Read(adapter::Collection::kServers, catalog::WatchCall{},
                      changes + R"(],"store_revision":9})"));
  }
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  for (const auto collection :
       {adapter::Collection::kServers, adapter::Collection::kManifests,
        adapter::Collection::kEvacuations}) {
    ApplyAndEncode(Read(collection, catalog::ListCall{}, text));
    ApplyAndEncode(Read(collection, catalog::WatchCall{}, text));
  }
  FindServerBeside(text);
  static_cast<void>(catalog::DecodeSnapshot(text));
  return 0;
}
