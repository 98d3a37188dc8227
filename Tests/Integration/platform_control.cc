#include "platform_control.h"

#include <chrono>

#include "child_process.h"
#include "harness_error.h"
#include "http_call.h"
#include "programs.h"

namespace integration {

namespace {

constexpr auto kStartDeadline = std::chrono::seconds(10);
constexpr std::uint16_t kStatusOk = 200;

}  // namespace

PlatformControl::PlatformControl()
    : m_process(std::make_unique<ChildProcess>(
          kStandInPlatform,
          std::vector<std::string>{"--address", "127.0.0.1", "--port", "0",
                                   "--seed", "1"})) {
  const JsonLine line = m_process->WaitFor("listening", kStartDeadline);
  const auto endpoint = base::ParseEndpoint(line.get("http", ""));
  Require(endpoint.has_value(), "the platform stand-in reported no endpoint");
  m_endpoint = *endpoint;
}

PlatformControl::~PlatformControl() = default;

std::string PlatformControl::Post(const std::string& path) {
  const auto response =
      CallHttp(m_endpoint, http::Method::kPost, "/standin/" + path, {}, "");
  Require(response.m_status == kStatusOk,
          "the platform stand-in refused POST /standin/" + path);
  return response.m_body;
}

std::uint64_t PlatformControl::PutDocument(const std::string& body,
                                           std::uint64_t expected) {
  const auto response = CallHttp(
      m_endpoint, http::Method::kPut, "/objects/coltsfootdale/document",
      {{"If-Version", std::to_string(expected)}}, body);
  const auto version = http::FindHeader(response.m_headers, "X-Version");
  if (response.m_status != kStatusOk || !version)
    return 0;
  return std::stoull(std::string(*version));
}

std::uint64_t PlatformControl::DocumentVersion() {
  const auto response = CallHttp(m_endpoint, http::Method::kGet,
                                 "/objects/coltsfootdale/document", {}, "");
  const auto version = http::FindHeader(response.m_headers, "X-Version");
  return version ? std::stoull(std::string(*version)) : 0;
}

}  // namespace integration
