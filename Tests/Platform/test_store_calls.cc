#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <variant>

#include "LibHttp/error.h"
#include "platform/store_calls.h"

namespace adapter {

namespace {

const base::Endpoint kStore{base::Ipv4Address(0x0AC80107), 8169};
const catalog::CollectionCall kWatch =
    catalog::WatchCall{catalog::Revision(530), std::chrono::seconds(4)};

catalog::CallResult ResultOf(const base::Outcome<http::Response>& response) {
  return DecodeResponse(Collection::kServers, kWatch, response).m_result;
}

http::Response MakeResponse(std::uint16_t status, std::string body = "") {
  http::Response response;
  response.m_status = status;
  response.m_body = std::move(body);
  return response;
}

// As deep as an object of the store can be.
std::string MakeNestedArrays() {
  constexpr std::size_t kDepth = 500'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

}  // namespace

TEST_CASE(
    "calls are encoded in the paths and queries that the store documents") {
  CHECK(MakeRequest(kStore, Collection::kServers, kWatch).m_path ==
        "/-/objects/servers?watch=530&wait_ms=4000");
  CHECK(
      MakeRequest(kStore, Collection::kManifests, catalog::ListCall{}).m_path ==
      "/-/objects/config");
  CHECK(MakeRequest(kStore, Collection::kServers, catalog::ListCall{"i-7f"})
            .m_path == "/-/objects/servers?after=i-7f");
}

TEST_CASE("the evacuations are read from a kind of their own, with their era") {
  CHECK(MakeRequest(kStore, Collection::kEvacuations, kWatch).m_path ==
        "/-/objects/evacuations?watch=530&wait_ms=4000");
  http::Response response = MakeResponse(
      200, R"({"items":[{"meta":{"name":"hall-1","revision":8},"spec":{}}],)"
           R"("more":false,"store_revision":9})");
  response.m_headers = {{"store-era", "4"}};

  const CollectionResponse decoded =
      DecodeResponse(Collection::kEvacuations, catalog::ListCall{}, response);

  REQUIRE(decoded.m_objects.m_evacuations.size() == 1);
  CHECK(decoded.m_objects.m_evacuations[0].m_revision ==
        catalog::Revision(base::StoreEra(4), 8));
}

TEST_CASE("the timeout of a watch is its wait plus the timeout of a list") {
  const http::Request watch = MakeRequest(kStore, Collection::kServers, kWatch);
  const http::Request list =
      MakeRequest(kStore, Collection::kServers, catalog::ListCall{});

  CHECK(watch.m_timeout == list.m_timeout + std::chrono::seconds(4));
}

TEST_CASE("each cause of a failed call has its own CallFailure") {
  using catalog::CallFailure;
  CHECK(std::get<CallFailure>(ResultOf(MakeResponse(410))) ==
        CallFailure::kHistoryGone);
  CHECK(std::get<CallFailure>(ResultOf(MakeResponse(429))) ==
        CallFailure::kOverRate);
  CHECK(std::get<CallFailure>(ResultOf(MakeResponse(503))) ==
        CallFailure::kUnavailable);
  CHECK(std::get<CallFailure>(ResultOf(MakeResponse(200, "{"))) ==
        CallFailure::kMalformed);
  CHECK(std::get<CallFailure>(ResultOf(MakeResponse(200, "{}"))) ==
        CallFailure::kMalformed);
  CHECK(std::get<CallFailure>(ResultOf(make_error_code(
            http::Error::kIncompleteResponse))) == CallFailure::kMalformed);
  CHECK(std::get<CallFailure>(ResultOf(make_error_code(
            http::Error::kTimedOut))) == CallFailure::kTimedOut);
  CHECK(std::get<CallFailure>(ResultOf(make_error_code(
            http::Error::kConnectFailed))) == CallFailure::kUnreachable);
}

// The process ended with a stack overflow.
TEST_CASE("a deeply nested object of another writer is ignored alone") {
  const std::string usable =
      R"({"meta":{"name":"i-2b","revision":8},"spec":{"backend":"huvo11a",)"
      R"("address":"10.128.0.9:8080","zone":"hall-1","version":"v1",)"
      R"("max_concurrency":3,"state":"ready","warmup_left_ms":0,"seq":4,)"
      R"("born":1787859612135}})";
  const std::string nested =
      R"({"meta":{"name":"i-1a","revision":7},"spec":{"address":)" +
      MakeNestedArrays() + "}}";

  const CollectionResponse page = DecodeResponse(
      Collection::kServers, catalog::ListCall{},
      MakeResponse(200, R"({"items":[)" + nested + "," + usable +
                            R"(],"more":false,"store_revision":9})"));
  const CollectionResponse changes = DecodeResponse(
      Collection::kServers, kWatch,
      MakeResponse(200, R"({"events":[{"deleted":false,"object":)" + nested +
                            R"(},{"deleted":false,"object":)" + usable +
                            R"(}],"store_revision":9})"));

  REQUIRE(page.m_objects.m_servers.size() == 1);
  CHECK(page.m_objects.m_servers[0].m_name == steering::ServerName("i-2b"));
  CHECK(page.m_objects.m_ignored == 1);
  REQUIRE(changes.m_objects.m_servers.size() == 2);
  CHECK_FALSE(changes.m_objects.m_servers[0].m_record);
  CHECK(changes.m_objects.m_servers[1].m_record);
}

TEST_CASE("the era of the store is read from every response, also a refusal") {
  const auto era_of = [](http::Response response, const char* value) {
    response.m_headers = {{"store-era", value}};
    return DecodeResponse(Collection::kServers, kWatch, response).m_era;
  };
  CHECK(era_of(MakeResponse(410), "3") == base::StoreEra(3));
  CHECK(era_of(MakeResponse(200, R"({"events":[],"store_revision":5})"), "4") ==
        base::StoreEra(4));
  CHECK(era_of(MakeResponse(410), "3x") == base::StoreEra());
  CHECK(era_of(MakeResponse(410), "") == base::StoreEra());
  CHECK(DecodeResponse(Collection::kServers, kWatch, MakeResponse(410)).m_era ==
        base::StoreEra());
}

TEST_CASE("the response to a watch without changes still has a new revision") {
  const auto result =
      ResultOf(MakeResponse(200, R"({"events":[],"store_revision":533})"));

  CHECK(std::get<catalog::ChangesResponse>(result).m_store_revision ==
        catalog::Revision(533));
}

}  // namespace adapter
