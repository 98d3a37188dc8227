// The configuration document that is in force on a balancer.

#ifndef LIBCONSOLE_DOCUMENT_IN_FORCE_H_
#define LIBCONSOLE_DOCUMENT_IN_FORCE_H_

#include "LibBase/ids.h"
#include "LibConfiguration/document.h"

namespace console {

struct DocumentInForce {
  // Zero, with an empty document, if there is none yet.
  base::ConfigurationVersion m_version;
  configuration::Document m_document;
};

}  // namespace console

#endif  // LIBCONSOLE_DOCUMENT_IN_FORCE_H_
