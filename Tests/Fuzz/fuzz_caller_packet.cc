// Reads any bytes as a caller's datagram, and steers what passes for a packet.

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <span>
#include <string>

#include "LibSteering/steering.h"
#include "platform/packet_codec.h"
#include "platform/request_head.h"

namespace {

// Two servers, and one that has left.
void FillBelief(steering::Steering& steering, base::TimePoint now) {
  steering::Manifest manifest;
  manifest.m_version = base::ConfigurationVersion(1);
  manifest.m_routes = {
      {"feed", {base::Ipv4Address(0xC6120001), 443}, {{"portal"}}}};
  steering.PutInForce(std::move(manifest));
  for (const char* name : {"i-1", "i-2", "i-3"}) {
    steering::ServerRecord record;
    record.m_name = steering::ServerName(name);
    record.m_service = "portal";
    steering.directory().Apply(record, now);
  }
  steering.directory().Remove(steering::ServerName("i-3"), now);
  steering.SetServersKnown();
  steering.SetRoutesCurrent(true);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                      std::size_t size) {
  static const base::TimePoint now{std::chrono::hours(1)};
  static steering::Steering steering({base::DataCentreId("here")}, 1, now);
  static const bool is_filled = (FillBelief(steering, now), true);
  static_cast<void>(is_filled);
  const std::span<const std::uint8_t> datagram(data, size);
  const auto packet = adapter::DecodePacket(datagram);
  if (!packet)
    return 0;
  const auto payload = adapter::PayloadOf(datagram);
  if (adapter::FindRequestId(payload).size() > adapter::kMaximumRequestIdBytes)
    std::abort();
  const auto decision = steering.Handle(packet.value(), now);
  const auto* forward = std::get_if<steering::Forward>(&decision.m_action);
  if (forward == nullptr)
    return 0;
  if (forward->m_server == nullptr)
    std::abort();
  adapter::HeadWithToken(datagram, forward->m_token);
  return 0;
}
