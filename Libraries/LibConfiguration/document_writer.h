// Writes the configuration document as YAML in its canonical form.

#ifndef LIBCONFIGURATION_DOCUMENT_WRITER_H_
#define LIBCONFIGURATION_DOCUMENT_WRITER_H_

#include <string>

#include "LibConfiguration/document.h"

namespace configuration {

// Returns the YAML text of `document`, which must be valid. The text has every
// key in a fixed order, including keys with default values. ReadDocument reads
// an equal document from the text.
std::string WriteDocument(const Document& document);

}  // namespace configuration

#endif  // LIBCONFIGURATION_DOCUMENT_WRITER_H_
