#include <doctest/doctest.h>

#include <chrono>
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
            http::Error::kTimedOut))) == CallFailure::kTimedOut);
  CHECK(std::get<CallFailure>(ResultOf(make_error_code(
            http::Error::kConnectFailed))) == CallFailure::kUnreachable);
}

TEST_CASE("the response to a watch without changes still has a new revision") {
  const auto result =
      ResultOf(MakeResponse(200, R"({"events":[],"store_revision":533})"));

  CHECK(std::get<catalog::ChangesResponse>(result).m_store_revision ==
        catalog::Revision(533));
}

}  // namespace adapter
