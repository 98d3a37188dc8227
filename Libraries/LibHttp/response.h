// A response to a request of the HTTP/1.1 client.

#ifndef LIBHTTP_RESPONSE_H_
#define LIBHTTP_RESPONSE_H_

#include <cstdint>
#include <string>

#include "LibHttp/header.h"

namespace http {

struct Response {
  std::uint16_t m_status = 0;
  Headers m_headers;
  std::string m_body;
};

}  // namespace http

#endif  // LIBHTTP_RESPONSE_H_
