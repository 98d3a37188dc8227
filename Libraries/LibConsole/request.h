// A request to the console, and the response.

#ifndef LIBCONSOLE_REQUEST_H_
#define LIBCONSOLE_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "LibBase/enum_table.h"

namespace console {

enum class Method { kGet, kPost, kOther };

enum class Status : std::uint16_t {
  kOk = 200,
  kBadRequest = 400,
  kForbidden = 403,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  kConflict = 409,
  kUnprocessable = 422,
  kUnavailable = 503,
};

inline constexpr base::EnumTable<Status, 8> kStatusReasons{{
    {Status::kOk, "OK"},
    {Status::kBadRequest, "Bad Request"},
    {Status::kForbidden, "Forbidden"},
    {Status::kNotFound, "Not Found"},
    {Status::kMethodNotAllowed, "Method Not Allowed"},
    {Status::kConflict, "Conflict"},
    {Status::kUnprocessable, "Unprocessable Content"},
    {Status::kUnavailable, "Service Unavailable"},
}};

struct Request {
  Method m_method = Method::kGet;
  // Without the query.
  std::string m_path;
  // Without the question mark.
  std::string m_query;
  // The value of the header "Host".
  std::string m_host;
  // The value of the header "Origin" (RFC 6454).
  std::optional<std::string> m_origin;
  std::string m_body;
};

inline constexpr std::string_view kHtmlType = "text/html; charset=utf-8";
inline constexpr std::string_view kTextType = "text/plain; charset=utf-8";

struct Response {
  Status m_status = Status::kOk;
  std::string m_content_type = std::string(kHtmlType);
  std::string m_body;
};

}  // namespace console

#endif  // LIBCONSOLE_REQUEST_H_
