// Builds HTML from escaped parts, so that no text from an operator or a
// document becomes markup of a page.

#ifndef LIBCONSOLE_HTML_H_
#define LIBCONSOLE_HTML_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace console {

// A piece of well-formed markup. Only the functions below create non-empty
// pieces.
class Html {
 public:
  Html() = default;

  const std::string& markup() const { return m_markup; }

  Html& operator+=(const Html& other) {
    m_markup += other.m_markup;
    return *this;
  }
  friend Html operator+(Html left, const Html& right) { return left += right; }

 private:
  friend Html Text(std::string_view text);
  friend Html Element(
      std::string_view tag,
      const std::vector<std::pair<std::string_view, std::string>>& attributes,
      const Html& content);
  friend Html VoidElement(
      std::string_view tag,
      const std::vector<std::pair<std::string_view, std::string>>& attributes);

  friend Html TrustedMarkup(std::string markup);

  explicit Html(std::string markup) : m_markup(std::move(markup)) {}

  std::string m_markup;
};

using Attributes = std::vector<std::pair<std::string_view, std::string>>;

// Returns `text` with its special characters replaced by character references.
Html Text(std::string_view text);

// Returns an element with an end tag. Attribute values are escaped.
Html Element(std::string_view tag,
             const Attributes& attributes,
             const Html& content);

// Returns `markup` unchanged. The caller must have escaped the texts in it.
Html TrustedMarkup(std::string markup);

// Returns an element without content and end tag, such as <input> or <meta>.
// Attribute values are escaped.
Html VoidElement(std::string_view tag, const Attributes& attributes);

}  // namespace console

#endif  // LIBCONSOLE_HTML_H_
