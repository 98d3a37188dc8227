// Writes the configuration document as YAML in its one canonical form.

#ifndef LIBCONFIGURATION_DOCUMENT_WRITER_H_
#define LIBCONFIGURATION_DOCUMENT_WRITER_H_

#include <string>

#include "LibConfiguration/document.h"

namespace configuration {

// Every key is written, defaults too, in a fixed order; ReadDocument returns
// an equal document. The document must be valid.
std::string WriteDocument(const Document& document);

}  // namespace configuration

#endif  // LIBCONFIGURATION_DOCUMENT_WRITER_H_
