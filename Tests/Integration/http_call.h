// A blocking HTTP call.

#ifndef TESTS_INTEGRATION_HTTP_CALL_H_
#define TESTS_INTEGRATION_HTTP_CALL_H_

#include <string>

#include "LibBase/ipv4.h"
#include "LibHttp/request.h"
#include "LibHttp/response.h"

namespace integration {

// Sends a request and waits for the response. Returns status 0 if there was no
// response.
http::Response CallHttp(base::Endpoint endpoint,
                        http::Method method,
                        const std::string& path,
                        http::Headers headers,
                        std::string body);

}  // namespace integration

#endif  // TESTS_INTEGRATION_HTTP_CALL_H_
