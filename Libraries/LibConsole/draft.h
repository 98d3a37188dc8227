// A configuration document that an operator is editing. The draft is stored
// only in the fields of the HTML form; no balancer stores it between two
// requests.

#ifndef LIBCONSOLE_DRAFT_H_
#define LIBCONSOLE_DRAFT_H_

#include <optional>
#include <string>

#include "LibBase/ids.h"
#include "LibConfiguration/document.h"
#include "LibConfiguration/yaml_node.h"
#include "LibConsole/document_in_force.h"
#include "LibConsole/form.h"

namespace console {

// The names of the form fields that are not part of the document.
inline constexpr std::string_view kBaseVersionField = "base_version";
inline constexpr std::string_view kBaseDocumentField = "base_document";
inline constexpr std::string_view kActionField = "action";
inline constexpr std::string_view kTokenField = "token";

struct Draft {
  // The version that editing started from, and the text of its document.
  base::ConfigurationVersion m_base_version;
  std::string m_base_document;
  // A map with the key "services". The values may be any text, including
  // invalid ones.
  configuration::YamlNode m_root;
};

// Returns a draft that is equal to `document`, the document in force.
Draft StartDraft(const DocumentInForce& document);

// Builds a draft from the fields of a form. The name of a field is the path of
// its key, such as "services[0].backend_servers[2].slots"; an empty field
// counts as a missing key. Returns nullopt if the base version is missing or
// malformed or a field name is malformed.
std::optional<Draft> DraftFromFields(const FormFields& fields);

// Returns the form fields that represent `draft`, without action and token.
FormFields FieldsOf(const Draft& draft);

// Returns the document that editing started from, or nullopt if its text in the
// form is not a valid document, which means that the form was tampered with.
std::optional<configuration::Document> BaseDocumentOf(const Draft& draft);

}  // namespace console

#endif  // LIBCONSOLE_DRAFT_H_
