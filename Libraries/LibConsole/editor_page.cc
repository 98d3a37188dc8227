#include "LibConsole/editor_page.h"

#include <fmt/format.h>

#include <array>
#include <map>
#include <string_view>
#include <vector>

#include "LibConfiguration/backend_server.h"
#include "LibConsole/draft_action.h"
#include "LibConsole/page.h"
#include "LibConsole/problem_location.h"

namespace console {

namespace {

using configuration::Problems;
using configuration::YamlNode;

struct FieldLabel {
  std::string_view m_key;
  std::string_view m_label;
};

constexpr std::array kServiceFields = {
    FieldLabel{"name", "Name"},
    FieldLabel{"address", "Address (IP:port)"},
};

constexpr std::array kRuleFields = {
    FieldLabel{"placement.candidates", "Candidates for an opening"},
    FieldLabel{"placement.imbalance_weight", "Weight of imbalance (0 to 1)"},
    FieldLabel{"objective.broken_flows", "Broken flows allowed (share)"},
    FieldLabel{"objective.refused_openings",
               "Refused openings allowed (share)"},
    FieldLabel{"objective.wait_ms", "Wait allowed (ms)"},
    FieldLabel{"limits.retry_budget_percent", "Retry budget (%)"},
    FieldLabel{"limits.opening_deadline_ms", "Deadline of an opening (ms)"},
};

constexpr std::string_view kStateKey = "state";

constexpr std::array kServerFields = {
    FieldLabel{"name", "Name"},
    FieldLabel{"data_centre", "Data centre"},
    FieldLabel{"address", "Address (IP:port)"},
    FieldLabel{"health", "Health (IP:port)"},
    FieldLabel{"slots", "Slots"},
    FieldLabel{"connections", "Connections"},
    FieldLabel{kStateKey, "State"},
    FieldLabel{"incarnation", "Incarnation"},
};

// Returns the text at a path of keys such as "limits.slots", or an empty text.
std::string TextAt(const YamlNode& map, std::string_view path) {
  const YamlNode* node = &map;
  while (!path.empty() && node != nullptr) {
    const std::size_t length = std::min(path.find('.'), path.size());
    node = configuration::FindValue(*node, path.substr(0, length));
    path.remove_prefix(std::min(length + 1, path.size()));
  }
  return node == nullptr ? std::string() : node->m_text;
}

const std::vector<YamlNode>& ItemsAt(const YamlNode& map,
                                     std::string_view key) {
  static const YamlNode empty_node;
  const YamlNode* node = configuration::FindValue(map, key);
  if (node == nullptr || node->m_kind != YamlNode::Kind::kSequence)
    return empty_node.m_items;
  return node->m_items;
}

// Renders the form of one draft.
class EditorForm {
 public:
  EditorForm(const Draft& draft, const Problems& problems) : m_draft(draft) {
    for (const configuration::Problem& problem : problems)
      m_messages[problem.m_path] += problem.m_message + ". ";
  }

  Html Render() const {
    Html content = HiddenField(kBaseVersionField,
                               std::to_string(m_draft.m_base_version.value())) +
                   HiddenField(kBaseDocumentField, m_draft.m_base_document);
    // The browser presses the first button of a form on the Enter key.
    content += Buttons();
    const auto& services = ItemsAt(m_draft.m_root, "services");
    for (std::size_t index = 0; index < services.size(); ++index)
      content += ServiceSection(services[index], index);
    content += Buttons();
    return Element("form", {{"method", "post"}, {"action", "/edit"}}, content);
  }

 private:
  static Html Buttons() {
    const Html review = Element("button",
                                {{"type", "submit"},
                                 {"name", std::string(kActionField)},
                                 {"value", ToString(ShowReview{})},
                                 {"class", "primary"}},
                                Text("Review the changes"));
    return Element(
        "p", {{"class", "actions"}},
        review + ActionButton(ToString(AddService{}), "Add a service"));
  }

  Html ServiceSection(const YamlNode& service, std::size_t index) const {
    const std::string path = fmt::format("services[{}]", index);
    const std::string name = TextAt(service, "name");
    Html content = Element(
        "h2", {}, Text(name.empty() ? "New service" : "Service " + name));
    content += ErrorMessage(path);
    content += FieldGrid(service, path, kServiceFields);
    content += Element("h3", {}, Text("Rules"));
    content += FieldGrid(service, path, kRuleFields);
    content += ServersByDataCentre(service, index);
    content += Element(
        "p", {{"class", "actions"}},
        ActionButton(ToString(AddBackendServer{index, {}}),
                     "Add a data centre") +
            ActionButton(ToString(RemoveService{index}), "Remove the service"));
    return Element("section", {}, content);
  }

  template <std::size_t kSize>
  Html FieldGrid(const YamlNode& map,
                 const std::string& path,
                 const std::array<FieldLabel, kSize>& fields) const {
    Html grid;
    for (const FieldLabel& field : fields) {
      const std::string name = fmt::format("{}.{}", path, field.m_key);
      const Html label = Element("span", {}, Text(field.m_label));
      grid +=
          Element("label", {},
                  label + Input(name, TextAt(map, field.m_key), field.m_label) +
                      ErrorMessage(name));
    }
    return Element("div", {{"class", "fields"}}, grid);
  }

  Html ServersByDataCentre(const YamlNode& service,
                           std::size_t service_index) const {
    const auto& servers = ItemsAt(service, "backend_servers");
    std::map<std::string, std::vector<std::size_t>> groups;
    for (std::size_t index = 0; index < servers.size(); ++index)
      groups[TextAt(servers[index], "data_centre")].push_back(index);
    Html content;
    for (const auto& [data_centre, indices] : groups) {
      const std::string title = data_centre.empty()
                                    ? "New data centre"
                                    : "Data centre " + data_centre;
      content += Element("h3", {}, Text(title));
      content += ServerTable(servers, service_index, indices);
      content +=
          ActionButton(ToString(AddBackendServer{service_index, data_centre}),
                       "Add a backend server here");
    }
    return content;
  }

  Html ServerTable(const std::vector<YamlNode>& servers,
                   std::size_t service_index,
                   const std::vector<std::size_t>& indices) const {
    Html head;
    for (const FieldLabel& field : kServerFields)
      head += Element("th", {{"scope", "col"}}, Text(field.m_label));
    head += Element("th", {}, Text(""));
    Html rows = Element("tr", {}, head);
    for (const std::size_t index : indices)
      rows += ServerRow(servers[index], service_index, index);
    return Element("div", {{"class", "scroll"}},
                   Element("table", {{"class", "servers"}}, rows));
  }

  Html ServerRow(const YamlNode& server,
                 std::size_t service_index,
                 std::size_t index) const {
    const std::string path =
        fmt::format("services[{}].backend_servers[{}]", service_index, index);
    Html cells;
    for (const FieldLabel& field : kServerFields) {
      const std::string name = fmt::format("{}.{}", path, field.m_key);
      const std::string text = TextAt(server, field.m_key);
      const Html input = field.m_key == kStateKey
                             ? StateSelect(name, text)
                             : Input(name, text, field.m_label);
      cells += Element("td", {}, input + ErrorMessage(name));
    }
    const RemoveBackendServer remove{service_index, index};
    cells +=
        Element("td", {},
                ActionButton(ToString(remove), "Remove") + ErrorMessage(path));
    return Element("tr", {}, cells);
  }

  Html Input(const std::string& name,
             const std::string& text,
             std::string_view label) const {
    Attributes attributes{{"name", name},
                          {"id", name},
                          {"value", text},
                          {"aria-label", std::string(label)}};
    if (m_messages.contains(name))
      attributes.emplace_back("aria-invalid", "true");
    return VoidElement("input", attributes);
  }

  Html StateSelect(const std::string& name, const std::string& text) const {
    Html choices;
    for (const auto& entry : configuration::kBackendServerStateNames) {
      Attributes attributes{{"value", std::string(entry.m_name)}};
      if (entry.m_name == text)
        attributes.emplace_back("selected", "");
      choices += Element("option", attributes, Text(entry.m_name));
    }
    return Element("select",
                   {{"name", name}, {"id", name}, {"aria-label", "State"}},
                   choices);
  }

  Html ErrorMessage(const std::string& path) const {
    const auto found = m_messages.find(path);
    if (found == m_messages.end())
      return {};
    return Element("span", {{"class", "error"}}, Text(found->second));
  }

  const Draft& m_draft;
  std::map<std::string, std::string> m_messages;
};

// Returns a list of the problems, each with a link to its field.
Html LinkedProblems(const Draft& draft, const Problems& problems) {
  Html items;
  for (const configuration::Problem& problem : problems) {
    const Html location =
        Element("a", {{"href", "#" + problem.m_path}},
                Text(DescribeProblemLocation(draft.m_root, problem.m_path)));
    items += Element("li", {}, location + Text(": " + problem.m_message));
  }
  return Element("ul", {{"class", "problems"}}, items);
}

}  // namespace

std::string RenderEditor(const Draft& draft, const Problems& problems) {
  Html content;
  if (!problems.empty()) {
    content += Notice(NoticeKind::kError,
                      "The document is refused; nothing has been submitted.");
    content += LinkedProblems(draft, problems);
  }
  content += EditorForm(draft, problems).Render();
  const std::string title =
      fmt::format("Edit from version {}", draft.m_base_version.value());
  return RenderPage(title, content);
}

}  // namespace console
