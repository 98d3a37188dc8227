// Reads any bytes as answers of the platform's store, believes them, and passes
// the belief on as a snapshot.

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

#include "LibCatalog/snapshot_codec.h"
#include "LibEdge/belief.h"
#include "LibSteering/steering.h"
#include "platform/store_calls.h"

namespace {

constexpr std::uint16_t kOk = 200;

adapter::CollectionAnswer Read(adapter::Collection collection,
                               const catalog::CollectionCall& call,
                               std::string body) {
  http::Response response;
  response.m_status = kOk;
  response.m_body = std::move(body);
  return adapter::Interpret(collection, call, response);
}

void Believe(const adapter::CollectionAnswer& answer) {
  const base::TimePoint now{std::chrono::hours(1)};
  steering::Steering steering({base::DataCentreId("here")}, 1, now);
  edge::Belief belief(steering);
  belief.TakeEvents(answer.m_objects.m_servers, now);
  for (const steering::Manifest& manifest : answer.m_objects.m_manifests)
    belief.TakeManifest(manifest);
  const auto snapshot =
      belief.MakeSnapshot(catalog::Revision(1), catalog::Revision(1));
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
    Believe(Read(collection, catalog::ListCall{}, text));
    Believe(Read(collection, catalog::WatchCall{}, text));
  }
  static_cast<void>(catalog::DecodeSnapshot(text));
  return 0;
}
