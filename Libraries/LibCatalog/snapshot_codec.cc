#include "LibCatalog/snapshot_codec.h"

#include <cereal/types/utility.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <system_error>
#include <utility>
#include <vector>

#include "LibCatalog/evacuations.h"
#include "LibCatalog/snapshot.h"
#include "LibCatalog/view_delta.h"
#include "LibPeer/archive.h"
#include "LibPeer/content_codec.h"

namespace base {

template <typename Archive, typename Tag>
void serialize(Archive& archive, StrongId<Tag, std::string>& id) {
  std::string value = id.value();
  archive(peer::MakeBounded<std::uint16_t, catalog::kMaximumNameBytes>(value));
  id = StrongId<Tag, std::string>(std::move(value));
}

}  // namespace base

namespace steering {

namespace {

template <typename Archive>
void SerializeDuration(Archive& archive, base::Duration& duration) {
  using std::chrono::milliseconds;
  auto value_ms = std::chrono::duration_cast<milliseconds>(duration).count();
  archive(value_ms);
  if (value_ms < 0 ||
      value_ms > milliseconds(catalog::kMaximumDuration).count())
    throw cereal::Exception("a duration is negative or over its maximum");
  duration = milliseconds(value_ms);
}

// `last` is the greatest value of the enumeration; the smallest is 0.
template <typename Archive, typename Enum>
void SerializeEnum(Archive& archive, Enum& value, Enum last) {
  auto byte = static_cast<std::uint8_t>(value);
  archive(byte);
  if (byte > static_cast<std::uint8_t>(last))
    throw cereal::Exception("an enumeration value is out of range");
  value = static_cast<Enum>(byte);
}

template <typename Archive>
void SerializeName(Archive& archive, std::string& name) {
  archive(peer::MakeBounded<std::uint16_t, catalog::kMaximumNameBytes>(name));
}

}  // namespace

template <typename Archive>
void serialize(Archive& archive, ServerRecord& record) {
  archive(record.m_name, record.m_identity);
  SerializeName(archive, record.m_service);
  archive(record.m_endpoint, record.m_data_centre);
  SerializeEnum(archive, record.m_state, ServerState::kDraining);
  archive(record.m_slots);
  SerializeDuration(archive, record.m_warm_up_left);
  archive(record.m_incarnation, record.m_sequence, record.m_revision);
}

template <typename Archive>
void serialize(Archive& archive, WeightedService& service) {
  SerializeName(archive, service.m_name);
  archive(service.m_weight);
}

namespace {

// A service with an empty name stands for no service, because earlier versions
// of the balancer refuse a route without services.
template <typename Archive>
void SerializeServices(Archive& archive,
                       std::vector<WeightedService>& services) {
  if (services.empty())
    services.emplace_back();
  archive(peer::MakeBounded<std::uint8_t, catalog::kMaximumServicesOfRoute>(
      services));
  if (services.empty())
    throw cereal::Exception("a route has no service");
  std::erase_if(services, [](const WeightedService& service) {
    return service.m_name.empty();
  });
}

// Reads the kinds of later versions of the balancer as kOther.
template <typename Archive>
void SerializeKind(Archive& archive, RequestKind& kind) {
  auto byte = static_cast<std::uint8_t>(kind);
  archive(byte);
  kind = byte < static_cast<std::uint8_t>(RequestKind::kOther)
             ? static_cast<RequestKind>(byte)
             : RequestKind::kOther;
}

}  // namespace

template <typename Archive>
void serialize(Archive& archive, Route& route) {
  SerializeName(archive, route.m_name);
  archive(route.m_address);
  SerializeServices(archive, route.m_services);
  SerializeKind(archive, route.m_kind);
  SerializeDuration(archive, route.m_timeout);
  // Zero stands for no target.
  base::Duration target = route.m_target_latency.value_or(base::Duration());
  SerializeDuration(archive, target);
  route.m_target_latency =
      target > base::Duration::zero() ? std::optional(target) : std::nullopt;
  archive(route.m_priority);
}

template <typename Archive>
void serialize(Archive& archive, ServiceOptions& options) {
  SerializeName(archive, options.m_service);
  SerializeName(archive, options.m_health_path);
  SerializeDuration(archive, options.m_warm_up);
  archive(options.m_warm_up_requests_per_second);
  const double rate = options.m_warm_up_requests_per_second;
  if (!(rate >= 0 && rate <= catalog::kMaximumRequestsPerSecond))
    throw cereal::Exception("a rate is negative or over its maximum");
}

template <typename Archive>
void serialize(Archive& archive, Manifest& manifest) {
  archive(manifest.m_version);
  archive(peer::MakeBounded<std::uint32_t, catalog::kMaximumRoutes>(
      manifest.m_routes));
  archive(peer::MakeBounded<std::uint32_t, catalog::kMaximumRoutes>(
      manifest.m_services));
  SerializeDuration(archive, manifest.m_idle_timeout);
}

}  // namespace steering

namespace catalog {

namespace {

constexpr std::string_view kSnapshotMagic = "CFS\x04";
constexpr std::string_view kDeltaMagic = "CFD\x03";

template <typename Archive>
void SerializeContent(Archive& archive, Evacuations& evacuations) {
  archive(evacuations.m_revision);
  std::vector<std::pair<base::DataCentreId, Revision>> objects(
      evacuations.m_objects.begin(), evacuations.m_objects.end());
  archive(peer::MakeBounded<std::uint16_t, kMaximumEvacuations>(objects));
  evacuations.m_objects = {objects.begin(), objects.end()};
}

// Reads or writes whether `value` is set, and returns it. The caller reads or
// writes the value itself.
template <typename Archive, typename Value>
bool SerializePresence(Archive& archive, std::optional<Value>& value) {
  auto is_present = static_cast<std::uint8_t>(value.has_value());
  archive(is_present);
  if (is_present > 1)
    throw cereal::Exception("flag of a delta is neither 0 nor 1");
  if (is_present == 1 && !value)
    value.emplace();
  return is_present == 1;
}

template <typename Archive>
void SerializeContent(Archive& archive, Snapshot& snapshot) {
  archive(snapshot.m_servers_revision);
  archive(
      peer::MakeBounded<std::uint32_t, kMaximumServers>(snapshot.m_servers));
  archive(snapshot.m_manifest_revision, snapshot.m_manifest);
  SerializeContent(archive, snapshot.m_evacuations);
}

template <typename Archive>
void SerializeContent(Archive& archive, ViewDelta& delta) {
  archive(delta.m_since, delta.m_servers_revision);
  archive(peer::MakeBounded<std::uint32_t, kMaximumServers>(delta.m_servers));
  archive(peer::MakeBounded<std::uint32_t, kMaximumServers>(
      delta.m_removed_servers));
  archive(delta.m_manifest_revision);
  if (SerializePresence(archive, delta.m_manifest))
    archive(*delta.m_manifest);
  if (SerializePresence(archive, delta.m_evacuations))
    SerializeContent(archive, *delta.m_evacuations);
}

template <typename Content>
base::Outcome<std::string> Encode(std::string_view magic, Content content) {
  TRY(bytes, peer::EncodeContent(magic, std::move(content),
                                 [](auto& archive, Content& written) {
                                   SerializeContent(archive, written);
                                 }));
  if (bytes.size() > kMaximumSnapshotBytes)
    return std::make_error_code(std::errc::message_size);
  return bytes;
}

template <typename Content>
base::Outcome<Content> Decode(std::string_view magic, std::string_view bytes) {
  if (bytes.size() > kMaximumSnapshotBytes)
    return std::make_error_code(std::errc::message_size);
  if (!bytes.starts_with(magic))
    return std::make_error_code(std::errc::bad_message);
  return peer::DecodeContent<Content>(
      bytes.substr(magic.size()),
      [](auto& archive, Content& read) { SerializeContent(archive, read); });
}

}  // namespace

base::Outcome<std::string> EncodeSnapshot(const Snapshot& snapshot) {
  return Encode(kSnapshotMagic, snapshot);
}

base::Outcome<Snapshot> DecodeSnapshot(std::string_view bytes) {
  return Decode<Snapshot>(kSnapshotMagic, bytes);
}

base::Outcome<std::string> EncodeDelta(const ViewDelta& delta) {
  return Encode(kDeltaMagic, delta);
}

base::Outcome<ViewDelta> DecodeDelta(std::string_view bytes) {
  return Decode<ViewDelta>(kDeltaMagic, bytes);
}

}  // namespace catalog
