// Serialization of the parts of a message with cereal. Reading checks each
// bound before it allocates and throws cereal::Exception if a bound is
// exceeded. The codecs that include this header catch the exception.

#ifndef LIBPEER_ARCHIVE_H_
#define LIBPEER_ARCHIVE_H_

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <chrono>
#include <cstdint>
#include <limits>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "LibBase/store_revision.h"
#include "LibBase/strong_id.h"
#include "LibPeer/limits.h"
#include "LibPeer/message.h"
#include "LibPeer/transport.h"

namespace base {

template <typename Archive, typename Tag>
void serialize(Archive& archive, StrongId<Tag, std::uint64_t>& id) {
  std::uint64_t value = id.value();
  archive(value);
  id = StrongId<Tag, std::uint64_t>(value);
}

template <typename Archive>
void serialize(Archive& archive, StoreRevision& revision) {
  std::uint64_t era = revision.era().value();
  std::uint64_t number = revision.number();
  archive(era, number);
  revision = StoreRevision(StoreEra(era), number);
}

template <typename Archive>
void serialize(Archive& archive, Endpoint& endpoint) {
  std::uint32_t address = endpoint.m_address.value();
  archive(address, endpoint.m_port);
  endpoint.m_address = Ipv4Address(address);
}

}  // namespace base

namespace peer {

// Stands on the wire for a ConfigurationStatus without a confirmation age.
inline constexpr std::uint32_t kNeverConfirmedMs =
    std::numeric_limits<std::uint32_t>::max();

// Serializes a string or vector of at most kMaximum elements, preceded by its
// size.
template <typename Container, typename Size, std::size_t kMaximum>
struct Bounded {
  Container& m_container;

  Size CheckedSize(std::size_t size) const {
    if (size > kMaximum)
      throw cereal::Exception("container exceeds its maximum size");
    return static_cast<Size>(size);
  }

  template <typename Archive>
  void save(Archive& archive) const {
    archive(CheckedSize(m_container.size()));
    if constexpr (std::is_same_v<Container, std::string>) {
      archive(cereal::binary_data(m_container.data(), m_container.size()));
    } else {
      for (const auto& element : m_container)
        archive(element);
    }
  }

  template <typename Archive>
  void load(Archive& archive) {
    Size size = 0;
    archive(size);
    m_container.resize(CheckedSize(size));
    if constexpr (std::is_same_v<Container, std::string>) {
      archive(cereal::binary_data(m_container.data(), m_container.size()));
    } else {
      for (auto& element : m_container)
        archive(element);
    }
  }
};

template <typename Size, std::size_t kMaximum, typename Container>
Bounded<Container, Size, kMaximum> MakeBounded(Container& container) {
  return {container};
}

template <typename Archive>
void ArchiveState(Archive& archive, MemberState& state) {
  auto value = static_cast<std::uint8_t>(state);
  archive(value);
  if (value > static_cast<std::uint8_t>(MemberState::kDead))
    throw cereal::Exception("unknown state in a MemberRecord");
  state = static_cast<MemberState>(value);
}

template <typename Archive>
void serialize(Archive& archive, ConfigurationStatus& status) {
  std::uint32_t age_ms = kNeverConfirmedMs;
  if (status.m_confirmation_age) {
    const auto age = std::clamp<std::int64_t>(
        status.m_confirmation_age->count(), 0, kNeverConfirmedMs - 1);
    age_ms = static_cast<std::uint32_t>(age);
  }
  archive(status.m_version, age_ms);
  status.m_confirmation_age.reset();
  if (age_ms != kNeverConfirmedMs)
    status.m_confirmation_age = std::chrono::milliseconds(age_ms);
}

template <typename Archive>
void serialize(Archive& archive, MemberRecord& record) {
  std::string data_centre = record.m_data_centre.value();
  archive(record.m_id,
          MakeBounded<std::uint8_t, kMaximumNameBytes>(record.m_name),
          MakeBounded<std::uint8_t, kMaximumNameBytes>(data_centre),
          record.m_traffic, record.m_peer, record.m_admin);
  ArchiveState(archive, record.m_state);
  archive(record.m_incarnation, record.m_configuration);
  record.m_data_centre = base::DataCentreId(std::move(data_centre));
}

// The lease flag shares a byte with the state to save a byte in every message.
template <typename Archive>
void serialize(Archive& archive, SenderStatus& status) {
  constexpr std::uint8_t kHoldsLeaseBit = 0x80;
  archive(status.m_id);
  auto bits = static_cast<std::uint8_t>(status.m_state);
  if (status.m_holds_lease)
    bits |= kHoldsLeaseBit;
  archive(bits);
  status.m_holds_lease = (bits & kHoldsLeaseBit) != 0;
  bits &= static_cast<std::uint8_t>(~kHoldsLeaseBit);
  if (bits > static_cast<std::uint8_t>(MemberState::kDead))
    throw cereal::Exception("unknown state in a SenderStatus");
  status.m_state = static_cast<MemberState>(bits);
  archive(status.m_incarnation, status.m_configuration, status.m_view_digest);
}

template <typename Archive>
void serialize(Archive&, Heartbeat&) {}

template <typename Archive>
void serialize(Archive& archive, Ping& ping) {
  auto wants_record = static_cast<std::uint8_t>(ping.m_wants_record);
  archive(ping.m_sequence, wants_record);
  if (wants_record > 1)
    throw cereal::Exception("flag of a Ping is neither 0 nor 1");
  ping.m_wants_record = wants_record == 1;
}

template <typename Archive>
void serialize(Archive& archive, Ack& ack) {
  archive(ack.m_sequence);
}

template <typename Archive>
void serialize(Archive& archive, PingRequest& request) {
  archive(request.m_sequence, request.m_target);
}

template <typename Archive>
void serialize(Archive&, Leave&) {}

template <typename Archive>
void serialize(Archive& archive, MembersRequest& request) {
  archive(request.m_after);
}

template <typename Archive>
void serialize(Archive& archive, MembersReply& reply) {
  archive(reply.m_continue_after);
}

template <typename Archive>
void serialize(Archive& archive, LoadEntry& entry) {
  archive(entry.m_server, entry.m_open_flows);
}

template <typename Archive>
void serialize(Archive& archive, LoadDigest& digest) {
  archive(MakeBounded<std::uint8_t, kMaximumLoadEntries>(digest.m_entries));
}

template <typename Archive>
void serialize(Archive& archive, DocumentRequest& request) {
  archive(request.m_version);
}

template <typename Archive>
void serialize(Archive& archive, DocumentReply& reply) {
  archive(reply.m_version,
          MakeBounded<std::uint32_t, kMaximumDocumentBytes>(reply.m_body));
}

template <typename Archive>
void serialize(Archive& archive, BurnRequest& request) {
  auto scope = static_cast<std::uint8_t>(request.m_scope);
  archive(scope);
  if (scope > static_cast<std::uint8_t>(BurnScope::kDataCentre))
    throw cereal::Exception("unknown scope in a BurnRequest");
  request.m_scope = static_cast<BurnScope>(scope);
}

template <typename Archive>
void serialize(Archive& archive, ServiceBurn& service) {
  archive(MakeBounded<std::uint8_t, kMaximumNameBytes>(service.m_service),
          MakeBounded<std::uint8_t, kMaximumBurnCounts>(service.m_counts));
}

// An element of a list of names.
struct BoundedName {
  std::string m_name;

  template <typename Archive>
  void serialize(Archive& archive) {
    archive(MakeBounded<std::uint8_t, kMaximumNameBytes>(m_name));
  }
};

template <typename Archive>
void serialize(Archive& archive, BurnReply& reply) {
  auto shortest_ms = static_cast<std::uint64_t>(
      std::clamp<std::int64_t>(reply.m_shortest_counting_time.count(), 0,
                               std::numeric_limits<std::int64_t>::max()));
  std::vector<BoundedName> missing;
  missing.reserve(reply.m_missing.size());
  for (const std::string& name : reply.m_missing)
    missing.push_back({name});
  archive(reply.m_expected, reply.m_answered, shortest_ms,
          MakeBounded<std::uint8_t, kMaximumMissingBalancers>(missing),
          MakeBounded<std::uint16_t, kMaximumBurnServices>(reply.m_services));
  if (shortest_ms > std::numeric_limits<std::int64_t>::max())
    throw cereal::Exception("counting time of a BurnReply is out of range");
  reply.m_shortest_counting_time = std::chrono::milliseconds(shortest_ms);
  reply.m_missing.clear();
  for (BoundedName& name : missing)
    reply.m_missing.push_back(std::move(name.m_name));
}

template <typename Archive>
void serialize(Archive& archive, WatchedStream& stream) {
  archive(stream.m_flow_hash, stream.m_position, stream.m_sender);
}

template <typename Archive>
void serialize(Archive& archive, FlowWatchRequest& watch) {
  archive(watch.m_number,
          MakeBounded<std::uint8_t, kMaximumWatchedStreams>(watch.m_streams));
}

template <typename Archive>
void serialize(Archive& archive, StreamReport& report) {
  archive(report.m_repetitions, report.m_observations, report.m_extent_bytes);
}

template <typename Archive>
void serialize(Archive& archive, FlowWatchReply& reply) {
  archive(reply.m_number,
          MakeBounded<std::uint8_t, kMaximumWatchedStreams>(reply.m_reports));
}

}  // namespace peer

#endif  // LIBPEER_ARCHIVE_H_
