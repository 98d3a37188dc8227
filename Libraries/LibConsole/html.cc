#include "LibConsole/html.h"

namespace console {

namespace {

std::string Escape(std::string_view text) {
  std::string escaped;
  escaped.reserve(text.size());
  for (const char character : text) {
    switch (character) {
      case '&':
        escaped += "&amp;";
        break;
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      case '\'':
        escaped += "&#39;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

std::string StartTag(std::string_view tag, const Attributes& attributes) {
  std::string markup = "<";
  markup += tag;
  for (const auto& [name, value] : attributes) {
    markup += ' ';
    markup += name;
    markup += "=\"" + Escape(value) + "\"";
  }
  return markup + ">";
}

}  // namespace

Html Text(std::string_view text) {
  return Html(Escape(text));
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
