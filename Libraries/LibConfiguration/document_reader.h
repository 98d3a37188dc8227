// Reads the configuration document from YAML.

#ifndef LIBCONFIGURATION_DOCUMENT_READER_H_
#define LIBCONFIGURATION_DOCUMENT_READER_H_

#include <string_view>

#include "LibConfiguration/document.h"
#include "LibConfiguration/problem.h"
#include "LibConfiguration/yaml_node.h"

namespace configuration {

// A document that may replace the previous one, and the warnings about the
// replacement for the operator.
struct CheckedDocument {
  Document m_document;
  Problems m_warnings;
};

// Returns the document, or the errors with their positions. The stages are
// syntax, single fields and the document as a whole; only the errors of the
// first stage that fails are returned.
ValueOrProblems<Document> ReadDocument(std::string_view text);

// Reads the document from a YAML tree.
ValueOrProblems<Document> ReadDocument(const YamlNode& root);

// Returns the document and its warnings if the document may replace `previous`,
// or the errors. The check against `previous` is a further stage after those of
// ReadDocument.
ValueOrProblems<CheckedDocument> ReadReplacement(std::string_view text,
                                                 const Document& previous);
ValueOrProblems<CheckedDocument> ReadReplacement(const YamlNode& root,
                                                 const Document& previous);

}  // namespace configuration

#endif  // LIBCONFIGURATION_DOCUMENT_READER_H_
