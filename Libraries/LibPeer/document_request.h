// Requests the configuration document. Sent by stream only.

#ifndef LIBPEER_DOCUMENT_REQUEST_H_
#define LIBPEER_DOCUMENT_REQUEST_H_

#include "LibBase/ids.h"

namespace peer {

struct DocumentRequest {
  // The oldest version that the sender accepts.
  base::ConfigurationVersion m_version;

  friend bool operator==(const DocumentRequest&,
                         const DocumentRequest&) = default;
};

}  // namespace peer

#endif  // LIBPEER_DOCUMENT_REQUEST_H_
