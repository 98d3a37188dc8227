// The errors of LibHttp.

#ifndef LIBHTTP_ERROR_H_
#define LIBHTTP_ERROR_H_

#include <system_error>

#include "LibBase/enum_table.h"

namespace http {

enum class Error {
  // The request can't be written as HTTP/1.1, or is over its limits.
  kInvalidRequest = 1,
  // Too many requests are open in this client.
  kTooManyRequests,
  // No connection within the time; the server has seen nothing.
  kConnectFailed,
  // No whole answer within the time; the server may have acted.
  kTimedOut,
  // The connection ended before a whole answer; the server may have acted.
  kClosedBeforeResponse,
  // The answer is not HTTP/1.1; the server may have acted.
  kMalformedResponse,
  // The answer is over the limit; the server may have acted.
  kResponseTooLarge,
};

inline constexpr base::EnumTable<Error, 7> kErrorNames{{
    {Error::kInvalidRequest, "invalid request"},
    {Error::kTooManyRequests, "too many open requests"},
    {Error::kConnectFailed, "connect failed"},
    {Error::kTimedOut, "timed out"},
    {Error::kClosedBeforeResponse, "connection closed before an answer"},
    {Error::kMalformedResponse, "malformed answer"},
    {Error::kResponseTooLarge, "answer too large"},
}};

const std::error_category& ErrorCategory();

// For std::error_code's conversion from Error.
inline std::error_code make_error_code(Error error) {
  return {static_cast<int>(error), ErrorCategory()};
}

// Returns true if a request that failed with `error` may have had an effect on
// the server.
bool MayHaveTakenEffect(std::error_code error);

}  // namespace http

template <>
struct std::is_error_code_enum<http::Error> : std::true_type {};

#endif  // LIBHTTP_ERROR_H_
