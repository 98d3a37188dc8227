#include "LibConsole/overview_page.h"

#include <fmt/format.h>

#include <map>
#include <vector>

#include "LibConfiguration/difference.h"
#include "LibConsole/page.h"

namespace console {

namespace {

using configuration::BackendServer;
using configuration::Service;

Html RuleTable(const Service& service) {
  Html rows;
  for (const auto& entry : configuration::kServiceFieldNames)
    rows +=
        Element("tr", {},
                Element("th", {{"scope", "row"}}, Text(entry.m_name)) +
                    Element("td", {}, Text(TextOf(service, entry.m_value))));
  return Element("table", {{"class", "list rules"}}, rows);
}

Html ServerTable(const std::vector<const BackendServer*>& servers) {
  Html head = Element("th", {{"scope", "col"}}, Text("name"));
  for (const auto& entry : configuration::kBackendServerFieldNames)
    head += Element("th", {{"scope", "col"}}, Text(entry.m_name));
  Html rows = Element("tr", {}, head);
  for (const BackendServer* server : servers) {
    Html cells = Element("td", {}, Text(server->m_name));
    for (const auto& entry : configuration::kBackendServerFieldNames)
      cells += Element("td", {}, Text(TextOf(*server, entry.m_value)));
    rows += Element("tr", {}, cells);
  }
  return Element("div", {{"class", "scroll"}},
                 Element("table", {{"class", "list"}}, rows));
}

Html ServiceSection(const Service& service) {
  std::map<std::string, std::vector<const BackendServer*>> groups;
  for (const BackendServer& server : service.m_backend_servers)
    groups[server.m_data_centre.value()].push_back(&server);
  Html content =
      Element("h2", {}, Text("Service " + service.m_name)) + RuleTable(service);
  for (const auto& [data_centre, servers] : groups)
    content += Element("h3", {}, Text("Data centre " + data_centre)) +
               ServerTable(servers);
  return Element("section", {}, content);
}

}  // namespace

std::string RenderOverview(const DocumentInForce& document) {
  if (document.m_version.value() == 0)
    return RenderPage("No configuration yet",
                      Notice(NoticeKind::kWarning,
                             "No document is in force on this balancer."));
  Html content =
      Element("p", {{"class", "muted"}},
              Text(fmt::format("Submission {}",
                               document.m_document.m_submission.m_id)));
  for (const Service& service : document.m_document.m_services)
    content += ServiceSection(service);
  content +=
      Element("p", {{"class", "actions"}},
              Element("a", {{"href", "/edit"}, {"class", "button primary"}},
                      Text("Edit")));
  return RenderPage(
      fmt::format("Version {} in force", document.m_version.value()), content);
}

std::string RenderReport(const RenderedBurnReport& report) {
  Html content =
      Notice(report.m_is_complete ? NoticeKind::kSuccess : NoticeKind::kWarning,
             report.m_coverage);
  if (!report.m_chart.empty())
    content += Element("section", {}, TrustedMarkup(report.m_chart));
  content += Element("pre", {}, Text(report.m_text));
  return RenderPage("Service-level burn", content);
}

}  // namespace console
