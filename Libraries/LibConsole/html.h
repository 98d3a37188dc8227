// Builds HTML from escaped parts, so that no text from outside reaches a page
// as markup.

#ifndef LIBCONSOLE_HTML_H_
#define LIBCONSOLE_HTML_H_

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace console {

// A piece of well-formed markup. Only the functions below make one.
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

// The text with its special characters replaced by character references.
Html Text(std::string_view text);

// An element with an end tag. Attribute values are escaped.
Html Element(std::string_view tag,
             const Attributes& attributes,
             const Html& content);

// Markup that another part of the process has made and escaped.
Html TrustedMarkup(std::string markup);

// An element that has no content and no end tag, as input and meta.
Html VoidElement(std::string_view tag, const Attributes& attributes);

}  // namespace console

#endif  // LIBCONSOLE_HTML_H_
