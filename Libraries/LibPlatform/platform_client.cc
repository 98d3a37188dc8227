#include "LibPlatform/platform_client.h"

#include <utility>

#include "LibPlatform/response_decoding.h"

namespace platform {

namespace {

std::string ObjectPath(std::string_view key) {
  return "/objects/" + http::PercentEncode(key);
}

}  // namespace

PlatformClient::PlatformClient(asio::io_context& context,
                               base::Endpoint endpoint)
    : m_client(context), m_endpoint(endpoint) {}

http::RequestId PlatformClient::Get(std::string_view key,
                                    ReadCallback callback) {
  return m_client.Send(MakeRequest(http::Method::kGet, ObjectPath(key)),
                       [callback = std::move(callback)](const auto& outcome) {
                         callback(DecodeReadResponse(outcome));
                       });
}

http::RequestId PlatformClient::Watch(std::string_view key,
                                      ObjectVersion newer_than,
                                      base::Duration wait,
                                      ReadCallback callback) {
  const auto wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait);
  const std::string path = ObjectPath(key) +
                           "?watch=" + std::to_string(newer_than.value()) +
                           "&timeout_ms=" + std::to_string(wait_ms.count());
  http::Request request = MakeRequest(http::Method::kGet, path);
  request.m_timeout += wait;
  return m_client.Send(request,
                       [callback = std::move(callback)](const auto& outcome) {
                         callback(DecodeReadResponse(outcome));
                       });
}

http::RequestId PlatformClient::Put(std::string_view key,
                                    ObjectVersion expected,
                                    std::string body,
                                    WriteCallback callback) {
  http::Request request = MakeRequest(http::Method::kPut, ObjectPath(key));
  request.m_body = std::move(body);
  return Write(std::move(request), expected, std::move(callback));
}

http::RequestId PlatformClient::Delete(std::string_view key,
                                       ObjectVersion expected,
                                       WriteCallback callback) {
  return Write(MakeRequest(http::Method::kDelete, ObjectPath(key)), expected,
               std::move(callback));
}

http::RequestId PlatformClient::List(std::string_view prefix,
                                     ListCallback callback) {
  const std::string path = "/objects?prefix=" + http::PercentEncode(prefix);
  return m_client.Send(MakeRequest(http::Method::kGet, path),
                       [callback = std::move(callback)](const auto& outcome) {
                         callback(DecodeListResponse(outcome));
                       });
}

http::RequestId PlatformClient::ListVms(const base::DataCentreId& data_centre,
                                        VmsCallback callback) {
  const std::string path =
      "/vms?data_centre=" + http::PercentEncode(data_centre.value());
  return m_client.Send(MakeRequest(http::Method::kGet, path),
                       [callback = std::move(callback)](const auto& outcome) {
                         callback(DecodeVmsResponse(outcome));
                       });
}

void PlatformClient::Cancel(http::RequestId id) {
  m_client.Cancel(id);
}

http::Request PlatformClient::MakeRequest(http::Method method,
                                          std::string path) const {
  http::Request request;
  request.m_method = method;
  request.m_endpoint = m_endpoint;
  request.m_path = std::move(path);
  request.m_timeout = kCallTimeout;
  return request;
}

http::RequestId PlatformClient::Write(http::Request request,
                                      ObjectVersion expected,
                                      WriteCallback callback) {
  request.m_headers = {{"If-Version", std::to_string(expected.value())}};
  return m_client.Send(request,
                       [callback = std::move(callback)](const auto& outcome) {
                         callback(DecodeWriteResponse(outcome));
                       });
}

}  // namespace platform
