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
  kDownload
};

inline constexpr base::EnumTable<RequestKind, 3> kRequestKindNames{{
    {RequestKind::kIdempotent, "idempotent"},
    {RequestKind::kNonIdempotent, "non_idempotent"},
    {RequestKind::kDownload, "download"},
}};

}  // namespace steering

#endif  // LIBSTEERING_REQUEST_KIND_H_
