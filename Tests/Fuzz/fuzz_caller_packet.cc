// Decodes arbitrary bytes as the datagram of a caller, and lets steering handle
// each packet that is accepted.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string>

#include "LibSteering/steering.h"
#include "platform/packet_codec.h"
#include "platform/request_id.h"

namespace {

constexpr base::TimePoint kNow{std::chrono::hours(1)};

// Returns a steering with two registered servers and one removed server. All
// inputs of the process share it.
steering::Steering& SharedSteering() {
  static steering::Steering steering({base::DataCentreId("here")}, 1, kNow);
  if (steering.HasRoutesAndServers())
    return steering;
  steering::Manifest manifest;
  manifest.m_version = base::ConfigurationVersion(1);
  manifest.m_routes = {
      {"feed", {base::Ipv4Address(0xC6120001), 443}, {{"portal"}}}};
  steering.ApplyManifest(std::move(manifest));
  for (const char* name : {"i-1", "i-2", "i-3"}) {
    steering::ServerRecord record;
    record.m_name = steering::ServerName(name);
    record.m_service = "portal";
    steering.directory().Apply(record, kNow);
  }
  steering.directory().Remove(steering::ServerName("i-3"), kNow);
  steering.SetServersKnown();
  steering.SetRoutesCurrent(true);
  steering.SetViewCurrentAsOf(base::TimePoint::max());
  return steering;
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  const std::span<const std::uint8_t> datagram(data, size);
  const auto packet = adapter::DecodePacket(datagram);
  if (!packet)
    return 0;
  const auto payload = adapter::PayloadOf(datagram);
  if (adapter::FindRequestId(payload).size() > adapter::kMaximumRequestIdBytes)
    std::abort();
  const auto decision = SharedSteering().Handle(packet.value(), kNow);
  const auto* forward = std::get_if<steering::Forward>(&decision.m_action);
  if (forward == nullptr)
    return 0;
  if (forward->m_server == nullptr)
    std::abort();
  adapter::MakeHeaderWithToken(datagram, forward->m_token);
  return 0;
}
