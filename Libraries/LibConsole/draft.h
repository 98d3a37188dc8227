// The document that an operator is building. It lives in the fields of the
// form alone; no balancer keeps it between two requests.

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

// The names of the fields beside those of the document.
inline constexpr std::string_view kBaseVersionField = "base_version";
inline constexpr std::string_view kBaseDocumentField = "base_document";
inline constexpr std::string_view kActionField = "action";
inline constexpr std::string_view kTokenField = "token";

struct Draft {
  // The version that the session started from, and its text.
  base::ConfigurationVersion m_base_version;
  std::string m_base_document;
  // A map with the key "services". It may hold any text, also a malformed one.
  configuration::YamlNode m_root;
};

// Starts a session from the document in force.
Draft StartDraft(const DocumentInForce& document);

// Returns the draft that the fields of a form carry. The name of a field is the
// path of its key, as "services[0].backend_servers[2].slots"; an empty field
// counts as a missing key. Nothing if a name is malformed.
std::optional<Draft> DraftFromFields(const FormFields& fields);

// Returns the fields that carry `draft`, without action and token.
FormFields FieldsOf(const Draft& draft);

// Returns the document that the session started from, or nothing if the form
// was tampered with.
std::optional<configuration::Document> BaseDocumentOf(const Draft& draft);

}  // namespace console

#endif  // LIBCONSOLE_DRAFT_H_
