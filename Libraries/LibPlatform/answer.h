// Interprets the platform's HTTP answers. Free of I/O.

#ifndef LIBPLATFORM_ANSWER_H_
#define LIBPLATFORM_ANSWER_H_

#include "LibBase/outcome.h"
#include "LibHttp/response.h"
#include "LibPlatform/read_result.h"
#include "LibPlatform/write_result.h"

namespace platform {

ReadResult InterpretRead(const base::Outcome<http::Response>& answer);

// Status 503 means that the request was not handled (RFC 9110 section
// 15.6.4); any other failure after the connection stood leaves the outcome
// unknown.
WriteResult InterpretWrite(const base::Outcome<http::Response>& answer);

ListResult InterpretList(const base::Outcome<http::Response>& answer);

VmsResult InterpretVms(const base::Outcome<http::Response>& answer);

}  // namespace platform

#endif  // LIBPLATFORM_ANSWER_H_
