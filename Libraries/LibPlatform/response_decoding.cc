#include "LibPlatform/response_decoding.h"

#include <charconv>
#include <optional>
#include <sstream>
#include <utility>

#include "LibHttp/error.h"

namespace platform {

namespace {

constexpr std::uint16_t kOk = 200;
constexpr std::uint16_t kNoContent = 204;
constexpr std::uint16_t kNotFound = 404;
constexpr std::uint16_t kConflict = 409;
constexpr std::uint16_t kTooManyRequests = 429;
constexpr std::uint16_t kServiceUnavailable = 503;
constexpr std::uint16_t kFirstClientError = 400;
constexpr std::uint16_t kFirstServerError = 500;

std::optional<ObjectVersion> ParseVersion(std::string_view text) {
  std::uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, value);
  if (text.empty() || error != std::errc() || rest != end)
    return std::nullopt;
  return ObjectVersion(value);
}

std::optional<ObjectVersion> VersionOf(const http::Response& response) {
  const auto text = http::FindHeader(response.m_headers, "X-Version");
  return text ? ParseVersion(*text) : std::nullopt;
}

std::optional<std::vector<ListedObject>> ParseObjects(const std::string& text) {
  std::vector<ListedObject> objects;
  std::istringstream lines(text);
  std::string line;
  while (std::getline(lines, line)) {
    const std::size_t space = line.rfind(' ');
    if (space == std::string::npos)
      return std::nullopt;
    const auto version = ParseVersion(std::string_view(line).substr(space + 1));
    if (!version)
      return std::nullopt;
    objects.push_back({line.substr(0, space), *version});
  }
  return objects;
}

WriteResult DecodeWriteStatus(const http::Response& response) {
  const std::uint16_t status = response.m_status;
  const auto version = VersionOf(response);
  if (status == kOk && version)
    return Written{*version};
  if (status == kConflict && version)
    return Conflict{*version};
  if (status == kTooManyRequests)
    return RateLimited{};
  if (status == kServiceUnavailable)
    return Unavailable{};
  const bool is_client_error = status >= kFirstClientError &&
                               status < kFirstServerError &&
                               status != kConflict;
  if (is_client_error)
    return Rejected{status};
  return PossiblyWritten{};
}

}  // namespace

ReadResult DecodeReadResponse(const base::Outcome<http::Response>& outcome) {
  if (!outcome)
    return Unavailable{};
  const http::Response& response = outcome.value();
  const auto version = VersionOf(response);
  if (response.m_status == kOk && version)
    return Found{*version, response.m_body};
  if (response.m_status == kNotFound)
    return Absent{};
  if (response.m_status == kNoContent)
    return Unchanged{};
  if (response.m_status == kTooManyRequests)
    return RateLimited{};
  return Unavailable{};
}

WriteResult DecodeWriteResponse(const base::Outcome<http::Response>& outcome) {
  if (outcome)
    return DecodeWriteStatus(outcome.value());
  if (http::MayHaveTakenEffect(outcome.error()))
    return PossiblyWritten{};
  return Unavailable{};
}

ListResult DecodeListResponse(const base::Outcome<http::Response>& outcome) {
  if (outcome && outcome.value().m_status == kTooManyRequests)
    return RateLimited{};
  if (!outcome || outcome.value().m_status != kOk)
    return Unavailable{};
  auto objects = ParseObjects(outcome.value().m_body);
  if (!objects)
    return Unavailable{};
  return std::move(*objects);
}

VmsResult DecodeVmsResponse(const base::Outcome<http::Response>& outcome) {
  if (outcome && outcome.value().m_status == kTooManyRequests)
    return RateLimited{};
  if (!outcome || outcome.value().m_status != kOk)
    return Unavailable{};
  auto records = ParseVmRecords(outcome.value().m_body);
  if (!records)
    return Unavailable{};
  return std::move(*records);
}

}  // namespace platform
