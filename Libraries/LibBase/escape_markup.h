// Escapes text for HTML and XML.

#ifndef LIBBASE_ESCAPE_MARKUP_H_
#define LIBBASE_ESCAPE_MARKUP_H_

#include <string>
#include <string_view>

namespace base {

// The text with the characters that have a meaning in HTML or XML, in contents
// or in quoted attribute values, replaced by character references.
std::string EscapeMarkup(std::string_view text);

}  // namespace base

#endif  // LIBBASE_ESCAPE_MARKUP_H_
