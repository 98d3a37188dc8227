// Escapes text for HTML and XML.

#ifndef LIBBASE_ESCAPE_MARKUP_H_
#define LIBBASE_ESCAPE_MARKUP_H_

#include <string>
#include <string_view>

namespace base {

// Returns `text` with character references in place of the characters that are
// special in the content or the quoted attribute values of HTML or XML.
std::string EscapeMarkup(std::string_view text);

}  // namespace base

#endif  // LIBBASE_ESCAPE_MARKUP_H_
