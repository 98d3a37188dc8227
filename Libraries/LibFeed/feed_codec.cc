#include "LibFeed/feed_codec.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <limits>
#include <optional>
#include <system_error>
#include <utility>

#include "LibBase/overloaded.h"
#include "LibPeer/archive.h"
#include "LibPeer/content_codec.h"

namespace feed {

namespace {

constexpr std::string_view kRequestMagic = "CFQ\x04";
constexpr std::string_view kResponseMagic = "CFR\x04";

// Stands for an age that does not exist, or that is longer than 49 days.
constexpr std::uint32_t kNoAge = std::numeric_limits<std::uint32_t>::max();

template <typename Archive>
void SerializeFlag(Archive& archive, bool& flag) {
  auto byte = static_cast<std::uint8_t>(flag);
  archive(byte);
  if (byte > 1)
    throw cereal::Exception("a flag is neither 0 nor 1");
  flag = byte == 1;
}

template <typename Archive>
void SerializeName(Archive& archive, base::DataCentreId& id) {
  std::string name = id.value();
  archive(peer::MakeBounded<std::uint8_t, kMaximumNameBytes>(name));
  id = base::DataCentreId(std::move(name));
}

// Rounds up: a claim about what is known must not become newer.
template <typename Archive>
void SerializeAge(Archive& archive, std::optional<base::Duration>& age) {
  using std::chrono::milliseconds;
  std::uint32_t age_ms = kNoAge;
  if (age) {
    const auto count = std::chrono::ceil<milliseconds>(*age).count();
    age_ms =
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, kNoAge));
  }
  archive(age_ms);
  age.reset();
  if (age_ms != kNoAge)
    age = milliseconds(age_ms);
}

template <typename Archive>
void Serialize(Archive& archive, StoreStatus& status) {
  SerializeFlag(archive, status.m_is_current);
  archive(status.m_servers, status.m_manifest, status.m_evacuations,
          status.m_manifest_version);
  SerializeAge(archive, status.m_view_age);
  SerializeFlag(archive, status.m_is_in_outage);
  SerializeAge(archive, status.m_outage_ended_age);
}

template <typename Archive>
void Serialize(Archive& archive, FeedRequest& request) {
  archive(request.m_fleet, request.m_number);
  SerializeName(archive, request.m_data_centre);
  SerializeFlag(archive, request.m_is_reader);
  SerializeFlag(archive, request.m_is_current);
  archive(request.m_servers, request.m_manifest, request.m_evacuations,
          request.m_manifest_version);
  SerializeAge(archive, request.m_needed_view_age);
  archive(peer::MakeBounded<std::uint16_t, FeedRequest::kMaximumLoadBytes>(
      request.m_load));
}

}  // namespace

template <typename Archive>
void serialize(Archive& archive, ReaderEntry& entry) {
  std::uint32_t address = entry.m_address.value();
  archive(address);
  entry.m_address = base::Ipv4Address(address);
  SerializeName(archive, entry.m_data_centre);
  SerializeFlag(archive, entry.m_is_current);
  std::optional<base::Duration> age = entry.m_age;
  SerializeAge(archive, age);
  entry.m_age = age.value_or(base::Duration::max());
}

namespace {

template <typename Archive>
void Serialize(Archive& archive, FeedResponse& response) {
  archive(response.m_fleet, response.m_number);
  SerializeName(archive, response.m_data_centre);
  SerializeFlag(archive, response.m_is_reader);
  Serialize(archive, response.m_status);
  SerializeFlag(archive, response.m_should_read);
  archive(peer::MakeBounded<std::uint8_t, FeedResponse::kMaximumReaders>(
      response.m_readers));
  archive(peer::MakeBounded<std::uint16_t, kMaximumInlineDeltaBytes>(
      response.m_delta));
  archive(peer::MakeBounded<std::uint16_t, FeedResponse::kMaximumLoadBytes>(
      response.m_load));
}

template <typename Message>
base::Outcome<std::string> Encode(std::string_view magic, Message message) {
  TRY(bytes, peer::EncodeContent(magic, std::move(message),
                                 [](auto& archive, Message& content) {
                                   Serialize(archive, content);
                                 }));
  if (bytes.size() > kMaximumDatagramBytes)
    return std::make_error_code(std::errc::message_size);
  return std::move(bytes);
}

template <typename Message>
base::Outcome<FeedMessage> Decode(std::string_view bytes) {
  TRY(message,
      peer::DecodeContent<Message>(bytes, [](auto& archive, Message& content) {
        Serialize(archive, content);
      }));
  return FeedMessage(std::move(message));
}

}  // namespace

base::Outcome<std::string> EncodeMessage(const FeedMessage& message) {
  return std::visit(base::Overloaded{
                        [](const FeedRequest& request) {
                          return Encode(kRequestMagic, request);
                        },
                        [](const FeedResponse& response) {
                          return Encode(kResponseMagic, response);
                        },
                    },
                    message);
}

base::Outcome<FeedMessage> DecodeMessage(std::string_view bytes) {
  if (bytes.size() > kMaximumDatagramBytes)
    return std::make_error_code(std::errc::bad_message);
  if (bytes.starts_with(kRequestMagic))
    return Decode<FeedRequest>(bytes.substr(kRequestMagic.size()));
  if (bytes.starts_with(kResponseMagic))
    return Decode<FeedResponse>(bytes.substr(kResponseMagic.size()));
  return std::make_error_code(std::errc::bad_message);
}

}  // namespace feed
