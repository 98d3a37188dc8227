// A request of the HTTP/1.1 client.

#ifndef LIBHTTP_REQUEST_H_
#define LIBHTTP_REQUEST_H_

#include <chrono>
#include <cstddef>
#include <string>

#include "LibBase/enum_table.h"
#include "LibBase/ipv4.h"
#include "LibBase/outcome.h"
#include "LibBase/time.h"
#include "LibHttp/header.h"

namespace http {

enum class Method { kGet, kPut, kPost, kDelete };

inline constexpr base::EnumTable<Method, 4> kMethodNames{{
    {Method::kGet, "GET"},
    {Method::kPut, "PUT"},
    {Method::kPost, "POST"},
    {Method::kDelete, "DELETE"},
}};

struct Request {
  Method m_method = Method::kGet;
  // The server to connect to, also sent as the header "Host".
  base::Endpoint m_endpoint;
  // Path and query, percent-encoded.
  std::string m_path;
  Headers m_headers;
  std::string m_body;
  // Time from the call of Client::Send to the complete response.
  base::Duration m_timeout = std::chrono::seconds(2);
  // Time to establish the connection; part of m_timeout.
  base::Duration m_connect_timeout = std::chrono::seconds(1);
  // A response with a larger body fails with Error::kResponseTooLarge.
  std::size_t m_response_limit_bytes = 2UL * 1024UL * 1024UL;
};

// Limits the size of the request line and the header fields together.
inline constexpr std::size_t kMaximumRequestHeadBytes = 16UL * 1024UL;

// Returns the bytes of `request` with "Connection: close", or
// Error::kInvalidRequest if the path or a header is malformed or the head
// exceeds kMaximumRequestHeadBytes.
base::Outcome<std::string> SerializeRequest(const Request& request);

// Percent-encodes every character except '/' and the unreserved characters of
// RFC 3986 section 2.3.
std::string PercentEncode(std::string_view text);

}  // namespace http

#endif  // LIBHTTP_REQUEST_H_
