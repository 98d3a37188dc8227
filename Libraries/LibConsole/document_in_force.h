// The configuration document that a balancer currently applies.

#ifndef LIBCONSOLE_DOCUMENT_IN_FORCE_H_
#define LIBCONSOLE_DOCUMENT_IN_FORCE_H_

#include "LibBase/ids.h"
#include "LibConfiguration/document.h"

namespace console {

struct DocumentInForce {
  // Zero if there is no document yet; m_document is empty then.
  base::ConfigurationVersion m_version;
  configuration::Document m_document;
};

}  // namespace console

#endif  // LIBCONSOLE_DOCUMENT_IN_FORCE_H_
