// The layout and the elements that all pages of the console share.

#ifndef LIBCONSOLE_PAGE_H_
#define LIBCONSOLE_PAGE_H_

#include <string>
#include <string_view>

#include "LibConfiguration/problem.h"
#include "LibConsole/html.h"

namespace console {

enum class NoticeKind { kSuccess, kWarning, kError };

// Returns a complete HTML document with the navigation bar.
std::string RenderPage(std::string_view title, const Html& content);

// A highlighted paragraph.
Html Notice(NoticeKind kind, std::string_view text);

// A list with one item for each problem, with the path of its field.
Html ProblemList(const configuration::Problems& problems);

// A hidden field of a form.
Html HiddenField(std::string_view name, std::string_view value);

// A button that submits its form with the field "action" set to `value`.
Html ActionButton(std::string_view value, std::string_view label);

// The style sheet, served at kStylePath.
std::string_view StyleSheet();

inline constexpr std::string_view kStylePath = "/style.css";

}  // namespace console

#endif  // LIBCONSOLE_PAGE_H_
