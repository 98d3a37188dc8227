// Reads the configuration document from YAML.

#ifndef LIBCONFIGURATION_DOCUMENT_READER_H_
#define LIBCONFIGURATION_DOCUMENT_READER_H_

#include <string_view>

#include "LibConfiguration/document.h"
#include "LibConfiguration/problem.h"
#include "LibConfiguration/yaml_node.h"

namespace configuration {

// A document that may take effect, and what the operator should know of it.
struct CheckedDocument {
  Document m_document;
  Problems m_warnings;
};

// Returns the document, or every error with its place: first those of syntax,
// then those of single fields, then those of the document as a whole.
ValueOrProblems<Document> ReadDocument(std::string_view text);

// The same for a text that was parsed already or a tree that was built.
ValueOrProblems<Document> ReadDocument(const YamlNode& root);

// Reads a document that is to replace `previous` and checks that as well.
ValueOrProblems<CheckedDocument> ReadReplacement(std::string_view text,
                                                 const Document& previous);
ValueOrProblems<CheckedDocument> ReadReplacement(const YamlNode& root,
                                                 const Document& previous);

}  // namespace configuration

#endif  // LIBCONFIGURATION_DOCUMENT_READER_H_
