#include "LibConsole/html.h"

#include "LibBase/escape_markup.h"

namespace console {

namespace {

std::string StartTag(std::string_view tag, const Attributes& attributes) {
  std::string markup = "<";
  markup += tag;
  for (const auto& [name, value] : attributes) {
    markup += ' ';
    markup += name;
    markup += "=\"" + base::EscapeMarkup(value) + "\"";
  }
  return markup + ">";
}

}  // namespace

Html Text(std::string_view text) {
  return Html(base::EscapeMarkup(text));
}

Html TrustedMarkup(std::string markup) {
  return Html(std::move(markup));
}

Html Element(std::string_view tag,
             const Attributes& attributes,
             const Html& content) {
  std::string markup = StartTag(tag, attributes) + content.markup() + "</";
  markup += tag;
  return Html(markup + ">");
}

Html VoidElement(std::string_view tag, const Attributes& attributes) {
  return Html(StartTag(tag, attributes));
}

}  // namespace console
