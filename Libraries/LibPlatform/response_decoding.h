// Decodes the platform's HTTP responses. The functions do no I/O.

#ifndef LIBPLATFORM_RESPONSE_DECODING_H_
#define LIBPLATFORM_RESPONSE_DECODING_H_

#include "LibBase/outcome.h"
#include "LibHttp/response.h"
#include "LibPlatform/read_result.h"
#include "LibPlatform/write_result.h"

namespace platform {

ReadResult DecodeReadResponse(const base::Outcome<http::Response>& outcome);

// Returns Unavailable only if the write had no effect. Status 503 means that
// the platform did not handle the request (RFC 9110 section 15.6.4). After the
// connection is established, any failure except 503 and the client errors (400
// to 499, but not 409) gives PossiblyWritten.
WriteResult DecodeWriteResponse(const base::Outcome<http::Response>& outcome);

ListResult DecodeListResponse(const base::Outcome<http::Response>& outcome);

VmsResult DecodeVmsResponse(const base::Outcome<http::Response>& outcome);

}  // namespace platform

#endif  // LIBPLATFORM_RESPONSE_DECODING_H_
