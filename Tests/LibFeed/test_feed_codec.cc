// Datagrams of the feed come from the network: cut short, extended, changed or
// foreign bytes must not be taken for a message, and must not crash.

#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "LibBase/random.h"
#include "LibFeed/feed_codec.h"

namespace feed {

namespace {

using std::chrono::milliseconds;

FeedRequest MakeRequest() {
  FeedRequest request;
  request.m_fleet = 7;
  request.m_number = 99;
  request.m_data_centre = base::DataCentreId("hall-1");
  request.m_is_reader = true;
  request.m_servers = catalog::Revision(370);
  request.m_manifest = {base::StoreEra(3), 361};
  request.m_evacuations = {base::StoreEra(3), 362};
  request.m_manifest_version = base::ConfigurationVersion(14);
  request.m_needed_view_age = milliseconds(35);
  return request;
}

FeedResponse MakeResponse() {
  FeedResponse response;
  response.m_fleet = 7;
  response.m_number = 99;
  response.m_data_centre = base::DataCentreId("hall-2");
  response.m_is_reader = true;
  response.m_status.m_is_current = true;
  response.m_status.m_servers = {base::StoreEra(3), 371};
  response.m_status.m_evacuations = {base::StoreEra(3), 372};
  response.m_status.m_manifest_version = base::ConfigurationVersion(15);
  response.m_status.m_view_age = milliseconds(1200);
  response.m_readers = {{base::Ipv4Address(0x0A010003),
                         base::DataCentreId("hall-1"), true, milliseconds(40)}};
  response.m_delta = "delta";
  return response;
}

}  // namespace

TEST_CASE("a decoded message equals the encoded one") {
  const auto request = DecodeMessage(EncodeMessage(MakeRequest()).value());
  const auto response = DecodeMessage(EncodeMessage(MakeResponse()).value());

  REQUIRE(request);
  const auto& first = std::get<FeedRequest>(request.value());
  CHECK(first.m_number == 99);
  CHECK(first.m_is_reader);
  CHECK_FALSE(first.m_is_current);
  CHECK(first.m_servers == catalog::Revision(370));
  CHECK(first.m_manifest == MakeRequest().m_manifest);
  CHECK(first.m_evacuations == MakeRequest().m_evacuations);
  CHECK(first.m_manifest_version == base::ConfigurationVersion(14));
  CHECK(first.m_needed_view_age == milliseconds(35));
  REQUIRE(response);
  const auto& second = std::get<FeedResponse>(response.value());
  CHECK(second.m_data_centre == base::DataCentreId("hall-2"));
  CHECK(second.m_status.m_servers == MakeResponse().m_status.m_servers);
  CHECK(second.m_status.m_evacuations == MakeResponse().m_status.m_evacuations);
  CHECK(second.m_status.m_manifest_version == base::ConfigurationVersion(15));
  CHECK(second.m_status.m_view_age == milliseconds(1200));
  CHECK_FALSE(second.m_status.m_outage_ended_age);
  REQUIRE(second.m_readers.size() == 1);
  CHECK(second.m_readers[0].m_age == milliseconds(40));
  CHECK(second.m_delta == "delta");
}

// A view of 1,200.4 ms would have passed as one of 1,200 ms.
TEST_CASE("the age of a view is rounded up to whole milliseconds") {
  FeedResponse response = MakeResponse();
  response.m_status.m_view_age = std::chrono::microseconds(1'200'400);

  const auto decoded = DecodeMessage(EncodeMessage(response).value());

  REQUIRE(decoded);
  CHECK(std::get<FeedResponse>(decoded.value()).m_status.m_view_age ==
        milliseconds(1201));
}

TEST_CASE("the largest response fits into a datagram") {
  FeedResponse response = MakeResponse();
  response.m_data_centre =
      base::DataCentreId(std::string(kMaximumNameBytes, 'd'));
  response.m_readers.assign(
      FeedResponse::kMaximumReaders,
      {base::Ipv4Address(1), response.m_data_centre, true, milliseconds(1)});
  response.m_delta.assign(kMaximumInlineDeltaBytes, 'x');

  const auto fitting = EncodeMessage(response);
  response.m_delta += 'x';

  REQUIRE(fitting);
  CHECK(fitting.value().size() <= kMaximumDatagramBytes);
  CHECK_FALSE(EncodeMessage(response));
}

TEST_CASE("cut short, extended and foreign bytes are not decoded") {
  for (const FeedMessage& message :
       {FeedMessage(MakeRequest()), FeedMessage(MakeResponse())}) {
    const std::string bytes = EncodeMessage(message).value();
    for (std::size_t length = 0; length < bytes.size(); ++length)
      CHECK_FALSE(DecodeMessage(std::string_view(bytes).substr(0, length)));
    CHECK_FALSE(DecodeMessage(bytes + "x"));
    for (const int step : {-1, 1}) {
      std::string other_version = bytes;
      other_version[3] = static_cast<char>(other_version[3] + step);
      CHECK_FALSE(DecodeMessage(other_version));
    }
  }
  CHECK_FALSE(DecodeMessage("GET / HTTP/1.1\r\n\r\n"));
}

TEST_CASE("changed bytes lead to an error or another message, not to a crash") {
  base::Random random(20261204);
  const std::string bytes = EncodeMessage(MakeResponse()).value();
  for (int round = 0; round < 3000; ++round) {
    std::string changed = bytes;
    changed[random.Below(changed.size())] =
        static_cast<char>(random.Below(256));
    const auto message = DecodeMessage(changed);
    if (message && std::holds_alternative<FeedResponse>(message.value()))
      CHECK(std::get<FeedResponse>(message.value()).m_readers.size() <=
            FeedResponse::kMaximumReaders);
  }
}

}  // namespace feed
