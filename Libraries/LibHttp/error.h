// The errors of LibHttp.

#ifndef LIBHTTP_ERROR_H_
#define LIBHTTP_ERROR_H_

#include <system_error>

#include "LibBase/enum_table.h"

namespace http {

enum class Error {
  // The request is not valid HTTP/1.1, or its head (request line and header
  // fields) is larger than kMaximumRequestHeadBytes.
  kInvalidRequest = 1,
  // The client already has kMaximumOpenRequests open requests.
  kTooManyRequests,
  // The system has no descriptor or memory for a socket. Nothing was sent.
  kNoSocket,
  // No connection within the connect timeout. The server received nothing.
  kConnectFailed,
  // No complete response within the timeout. The server may have acted.
  kTimedOut,
  // The connection ended before a complete response. The server may have acted.
  kClosedBeforeResponse,
  // The same after a part of the response's body. The server may have acted.
  kIncompleteResponse,
  // The response is not HTTP/1.1. The server may have acted.
  kMalformedResponse,
  // The response is larger than the limit. The server may have acted.
  kResponseTooLarge,
};

inline constexpr base::EnumTable<Error, 9> kErrorNames{{
    {Error::kInvalidRequest, "invalid request"},
    {Error::kTooManyRequests, "too many open requests"},
    {Error::kNoSocket, "no socket"},
    {Error::kConnectFailed, "connect failed"},
    {Error::kTimedOut, "timed out"},
    {Error::kClosedBeforeResponse,
     "connection closed before a complete response"},
    {Error::kIncompleteResponse, "incomplete response"},
    {Error::kMalformedResponse, "malformed response"},
    {Error::kResponseTooLarge, "response too large"},
}};

const std::error_category& ErrorCategory();

// Enables the implicit conversion from Error to std::error_code.
inline std::error_code make_error_code(Error error) {
  return {static_cast<int>(error), ErrorCategory()};
}

// Returns whether a request that failed with `error` may have had an effect on
// the server.
bool MayHaveTakenEffect(std::error_code error);

}  // namespace http

template <>
struct std::is_error_code_enum<http::Error> : std::true_type {};

#endif  // LIBHTTP_ERROR_H_
