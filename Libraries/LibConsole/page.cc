#include "LibConsole/page.h"

#include <fmt/format.h>

namespace console {

namespace {

constexpr std::string_view kStyleSheet = R"css(
:root { color-scheme: light; }
* { box-sizing: border-box; }
body { font: 15px/1.45 system-ui, sans-serif; color: #1d2733;
  background: #f4f6f8; margin: 0; }
header { background: #17344f; padding: .7rem 1.5rem; display: flex;
  gap: .3rem 1.5rem; align-items: baseline; flex-wrap: wrap; }
header a { color: #dbe7f2; text-decoration: none; }
header a:hover { text-decoration: underline; }
header a.brand { color: #fff; font-weight: 600; font-size: 1.1rem; }
main { max-width: 82rem; margin: 0 auto; padding: 1rem 1.5rem 4rem; }
h1 { font-size: 1.5rem; margin: .6rem 0 1rem; }
h2 { font-size: 1.15rem; margin: 0 0 .7rem; }
h3 { font-size: 1rem; margin: 1.1rem 0 .4rem; }
section { background: #fff; border: 1px solid #d5dce3; border-radius: 6px;
  padding: 1rem 1.2rem; margin: 0 0 1.2rem; }
.fields { display: grid; gap: .6rem 1rem;
  grid-template-columns: repeat(auto-fill, minmax(13rem, 1fr)); }
label span { display: block; font-size: .82rem; color: #4a5b6c; }
input, select { font: inherit; width: 100%; padding: .3rem .45rem;
  border: 1px solid #a9b6c2; border-radius: 4px; background: #fff; }
input[aria-invalid], select[aria-invalid] { border-color: #b3261e;
  background: #fdf1f0; }
.error { color: #b3261e; font-size: .82rem; display: block; }
.scroll { overflow-x: auto; }
svg { max-width: 100%; height: auto; }
table { border-collapse: collapse; width: 100%; }
th { text-align: left; font-size: .82rem; color: #4a5b6c; font-weight: 600; }
th, td { padding: .25rem .5rem .25rem 0; vertical-align: top; }
table.list th, table.list td { border-bottom: 1px solid #e4e9ee;
  padding: .35rem .8rem .35rem 0; }
table.servers { table-layout: fixed; min-width: 72rem; }
table.servers th:nth-child(1) { width: 15%; }
table.servers th:nth-child(2) { width: 11%; }
table.servers th:nth-child(3), table.servers th:nth-child(4) { width: 16%; }
table.servers th:nth-child(7), table.servers th:nth-child(9) { width: 9%; }
table.rules { width: auto; }
table.rules th { padding-right: 3rem; }
button, a.button { font: inherit; padding: .35rem .9rem; border-radius: 4px;
  border: 1px solid #8a99a8; background: #fff; color: #1d2733;
  cursor: pointer; text-decoration: none; display: inline-block; }
button.primary, a.primary { background: #1f6feb; border-color: #1a5fca;
  color: #fff; }
.actions { display: flex; gap: .8rem; margin-top: 1rem; flex-wrap: wrap;
  align-items: end; }
.notice { border-left: 4px solid; padding: .6rem .9rem; margin: 0 0 1rem;
  background: #fff; }
.success { border-color: #2e7d32; }
.warning { border-color: #c77700; }
.failure { border-color: #b3261e; }
ul.problems { margin: 0 0 1rem; padding-left: 1.2rem; }
code, pre { font: 13px/1.5 ui-monospace, monospace; }
pre { background: #f0f3f6; padding: .8rem; overflow-x: auto;
  border-radius: 4px; }
.muted { color: #5d6d7d; }
)css";

std::string_view ClassOf(NoticeKind kind) {
  switch (kind) {
    case NoticeKind::kSuccess:
      return "success";
    case NoticeKind::kWarning:
      return "warning";
    case NoticeKind::kError:
      return "failure";
  }
  return {};
}

Html Link(std::string_view target, std::string_view text) {
  return Element("a", {{"href", std::string(target)}}, Text(text));
}

Html Navigation() {
  return Element(
      "header", {},
      Element("a", {{"href", "/"}, {"class", "brand"}}, Text("coltsfootdale")) +
          Link("/edit", "Edit") + Link("/document", "Document") +
          Link("/report", "Report") + Link("/status", "Status") +
          Link("/metrics", "Metrics"));
}

}  // namespace

std::string RenderPage(std::string_view title, const Html& content) {
  const std::string full_title = fmt::format("{} - coltsfootdale", title);
  const Html head = Element(
      "head", {},
      VoidElement("meta", {{"charset", "utf-8"}}) +
          VoidElement("meta",
                      {{"name", "viewport"},
                       {"content", "width=device-width, initial-scale=1"}}) +
          Element("title", {}, Text(full_title)) +
          VoidElement("link", {{"rel", "stylesheet"},
                               {"href", std::string(kStylePath)}}));
  const Html main =
      Element("main", {}, Element("h1", {}, Text(title)) + content);
  const Html body = Element("body", {}, Navigation() + main);
  return "<!DOCTYPE html>\n" +
         Element("html", {{"lang", "en"}}, head + body).markup();
}

Html Notice(NoticeKind kind, std::string_view text) {
  return Element("p", {{"class", fmt::format("notice {}", ClassOf(kind))}},
                 Text(text));
}

Html ProblemList(const configuration::Problems& problems) {
  Html items;
  for (const configuration::Problem& problem : problems) {
    const Html path = Element("code", {}, Text(problem.m_path));
    items += Element("li", {}, path + Text(": " + problem.m_message));
  }
  return Element("ul", {{"class", "problems"}}, items);
}

Html HiddenField(std::string_view name, std::string_view value) {
  return VoidElement("input", {{"type", "hidden"},
                               {"name", std::string(name)},
                               {"value", std::string(value)}});
}

Html ActionButton(std::string_view value, std::string_view label) {
  return Element(
      "button",
      {{"type", "submit"}, {"name", "action"}, {"value", std::string(value)}},
      Text(label));
}

std::string_view StyleSheet() {
  return kStyleSheet;
}

}  // namespace console
