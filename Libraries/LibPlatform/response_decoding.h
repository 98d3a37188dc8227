// Interprets the platform's HTTP answers. Free of I/O.

#ifndef LIBPLATFORM_RESPONSE_DECODING_H_
#define LIBPLATFORM_RESPONSE_DECODING_H_

#include "LibBase/outcome.h"
#include "LibHttp/response.h"
#include "LibPlatform/read_result.h"
#include "LibPlatform/write_result.h"

namespace platform {

ReadResult DecodeReadResponse(const base::Outcome<http::Response>& outcome);

// Status 503 means that the request was not handled (RFC 9110 section
// 15.6.4); any other failure after the connection stood leaves the outcome
// unknown.
WriteResult DecodeWriteResponse(const base::Outcome<http::Response>& outcome);

ListResult DecodeListResponse(const base::Outcome<http::Response>& outcome);

VmsResult DecodeVmsResponse(const base::Outcome<http::Response>& outcome);

}  // namespace platform

#endif  // LIBPLATFORM_RESPONSE_DECODING_H_
