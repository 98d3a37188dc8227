// Decodes arbitrary bytes as responses of the platform's store, applies them to
// a view, and encodes the view as a snapshot that must be decodable. Also
// decodes the bytes as a snapshot.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

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
  for (const auto& decoded : response.m_objects.m_manifests)
    view.ApplyManifest(decoded.m_manifest);
  const auto snapshot =
      view.MakeSnapshot(catalog::Revision(1), catalog::Revision(1));
  const auto bytes = catalog::EncodeSnapshot(snapshot);
  if (!bytes || !catalog::DecodeSnapshot(bytes.value()))
    std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::string text(reinterpret_cast<const char*>(data), size);
  for (const auto collection :
       {adapter::Collection::kServers, adapter::Collection::kManifests}) {
    ApplyAndEncode(Read(collection, catalog::ListCall{}, text));
    ApplyAndEncode(Read(collection, catalog::WatchCall{}, text));
  }
  static_cast<void>(catalog::DecodeSnapshot(text));
  return 0;
}
