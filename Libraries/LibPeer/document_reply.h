// Reply to a DocumentRequest with a configuration document. Sent by stream
// only.

#ifndef LIBPEER_DOCUMENT_REPLY_H_
#define LIBPEER_DOCUMENT_REPLY_H_

#include <string>

#include "LibBase/ids.h"

namespace peer {

struct DocumentReply {
  // Zero if the sender of the reply has no version that is new enough.
  base::ConfigurationVersion m_version;
  // At most kMaximumDocumentBytes.
  std::string m_body;

  friend bool operator==(const DocumentReply&, const DocumentReply&) = default;
};

}  // namespace peer

#endif  // LIBPEER_DOCUMENT_REPLY_H_
