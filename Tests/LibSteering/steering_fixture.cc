#include "LibSteering/steering_fixture.h"

#include <chrono>
#include <variant>

namespace steering {

base::TimePoint At(int milliseconds) {
  return base::TimePoint(std::chrono::hours(1) +
                         std::chrono::milliseconds(milliseconds));
}

ServerRecord MakeServer(const std::string& name, std::uint64_t revision) {
  ServerRecord record;
  record.m_name = ServerName(name);
  record.m_identity = WireIdentity(std::hash<std::string>()(name));
  record.m_service = "portal";
  record.m_endpoint = {base::Ipv4Address(0x0A000001), 8080};
  record.m_data_centre = base::DataCentreId("here");
  record.m_slots = 3;
  record.m_revision = base::StoreRevision(revision);
  return record;
}

Manifest MakeManifest(std::uint64_t version) {
  Manifest manifest;
  manifest.m_version = base::ConfigurationVersion(version);
  const base::Ipv4Address address(0xC6120001);
  manifest.m_routes = {
      {"feed", {address, kFeedPort}, {{"portal"}}, RequestKind::kIdempotent},
      {"declaration",
       {address, kDeclarationPort},
       {{"portal"}},
       RequestKind::kNonIdempotent},
      {"ledger", {address, kUploadPort}, {{"portal"}}, RequestKind::kUpload},
  };
  return manifest;
}

CallerPacket MakeOpening(std::uint16_t caller_port,
                         std::uint16_t service_port) {
  CallerPacket packet;
  packet.m_flow = {{base::Ipv4Address(0x64400007), caller_port},
                   {base::Ipv4Address(0xC6120001), service_port}};
  packet.m_is_opening = true;
  return packet;
}

CallerPacket MakeData(std::uint16_t caller_port,
                      FlowToken token,
                      std::uint32_t sequence,
                      std::uint32_t acknowledgement,
                      std::uint16_t payload_bytes,
                      std::uint16_t service_port) {
  CallerPacket packet = MakeOpening(caller_port, service_port);
  packet.m_is_opening = false;
  packet.m_has_acknowledgement = true;
  packet.m_token = token;
  packet.m_sequence = sequence;
  packet.m_acknowledgement = acknowledgement;
  packet.m_payload_bytes = payload_bytes;
  return packet;
}

SteeringWithRoutes::SteeringWithRoutes()
    : Steering({base::DataCentreId("here")}, 1, At(0)) {
  SetServersKnown();
  ApplyManifest(MakeManifest(1));
  SetRoutesCurrent(true);
  SetViewCurrentAsOf(base::TimePoint::max());
}

const KnownServer* ServerOf(const Decision& decision) {
  const auto* forward = std::get_if<Forward>(&decision.m_action);
  return forward == nullptr ? nullptr : forward->m_server;
}

FlowToken TokenOf(const Decision& decision) {
  return std::get<Forward>(decision.m_action).m_token;
}

bool IsReset(const Decision& decision) {
  return std::holds_alternative<Reset>(decision.m_action);
}

bool IsDrop(const Decision& decision) {
  return std::holds_alternative<Drop>(decision.m_action);
}

void FailProbes(Steering& steering, const std::string& name, int at_ms) {
  const ServerHandle handle =
      steering.directory().FindByName(ServerName(name))->m_handle;
  for (std::uint32_t i = 0; i < ServerReachability::kUnreachableThreshold; ++i)
    steering.RecordProbeResult(handle, ProbeResult::kSilent, At(at_ms));
}

}  // namespace steering
