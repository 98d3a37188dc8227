// The kind of a route's requests. It determines whether a request may be sent
// again when the outcome of the request is unknown.

#ifndef LIBSTEERING_REQUEST_KIND_H_
#define LIBSTEERING_REQUEST_KIND_H_

#include "LibBase/enum_table.h"

namespace steering {

enum class RequestKind {
  kIdempotent,
  // Callers never repeat such a request once its flow is established.
  kNonIdempotent,
  // Steered like kIdempotent. Metrics count downloads separately.
  kDownload,
  // A request whose body takes many packets. Steered like kNonIdempotent.
  kUpload,
  // A kind that this balancer does not know. Steered like kNonIdempotent, which
  // is safe for every kind.
  kOther,
};

inline constexpr base::EnumTable<RequestKind, 5> kRequestKindNames{{
    {RequestKind::kIdempotent, "idempotent"},
    {RequestKind::kNonIdempotent, "non_idempotent"},
    {RequestKind::kDownload, "download"},
    {RequestKind::kUpload, "upload"},
    {RequestKind::kOther, "other"},
}};

// Whether a caller repeats a request of this kind after an unknown outcome.
constexpr bool MayBeRepeated(RequestKind kind) {
  return kind == RequestKind::kIdempotent || kind == RequestKind::kDownload;
}

}  // namespace steering

#endif  // LIBSTEERING_REQUEST_KIND_H_
