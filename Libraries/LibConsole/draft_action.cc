#include "LibConsole/draft_action.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <sstream>

#include "LibBase/overloaded.h"

namespace console {

namespace {

using configuration::YamlNode;

constexpr std::string_view kEdit = "edit";
constexpr std::string_view kReview = "review";
constexpr std::string_view kAddService = "add_service";
constexpr std::string_view kRemoveService = "remove_service";
constexpr std::string_view kAddServer = "add_server";
constexpr std::string_view kRemoveServer = "remove_server";

YamlNode EmptyNode(YamlNode::Kind kind) {
  YamlNode node;
  node.m_kind = kind;
  return node;
}

YamlNode* FindChild(YamlNode& map, std::string_view key) {
  for (std::size_t index = 0; index < map.m_keys.size(); ++index) {
    if (map.m_keys[index].m_text == key)
      return &map.m_items[index];
  }
  return nullptr;
}

// Returns the list under `key` of `map`. Creates the list if there is none.
YamlNode& FindOrCreateList(YamlNode& map, std::string_view key) {
  YamlNode* list = FindChild(map, key);
  if (list == nullptr) {
    map.m_keys.push_back({std::string(key), {}});
    map.m_items.push_back(EmptyNode(YamlNode::Kind::kSequence));
    list = &map.m_items.back();
  }
  if (list->m_kind != YamlNode::Kind::kSequence)
    *list = EmptyNode(YamlNode::Kind::kSequence);
  return *list;
}

void AddField(YamlNode& map, std::string_view key, std::string_view text) {
  YamlNode value = EmptyNode(YamlNode::Kind::kScalar);
  value.m_text = text;
  map.m_keys.push_back({std::string(key), {}});
  map.m_items.push_back(std::move(value));
}

YamlNode* FindService(Draft& draft, std::size_t index) {
  YamlNode& services = FindOrCreateList(draft.m_root, "services");
  if (index >= services.m_items.size() ||
      services.m_items[index].m_kind != YamlNode::Kind::kMap)
    return nullptr;
  return &services.m_items[index];
}

void RemoveItem(YamlNode& list, std::size_t index) {
  if (index < list.m_items.size())
    list.m_items.erase(list.m_items.begin() +
                       static_cast<std::ptrdiff_t>(index));
}

}  // namespace

DraftAction ParseAction(std::string_view text) {
  std::istringstream stream{std::string(text)};
  std::string name;
  std::size_t service = 0;
  stream >> name;
  if (name == kReview)
    return ShowReview{};
  if (name == kAddService)
    return AddService{};
  if (!(stream >> service))
    return ShowEditor{};
  if (name == kRemoveService)
    return RemoveService{service};
  if (name == kAddServer) {
    AddBackendServer action{service, {}};
    stream >> action.m_data_centre;
    return action;
  }
  std::size_t server = 0;
  if (name == kRemoveServer && stream >> server)
    return RemoveBackendServer{service, server};
  return ShowEditor{};
}

std::string ToString(const DraftAction& action) {
  return std::visit(
      base::Overloaded{
          [](const ShowEditor&) { return std::string(kEdit); },
          [](const ShowReview&) { return std::string(kReview); },
          [](const AddService&) { return std::string(kAddService); },
          [](const RemoveService& remove) {
            return fmt::format("{} {}", kRemoveService, remove.m_service);
          },
          [](const AddBackendServer& add) {
            return fmt::format("{} {} {}", kAddServer, add.m_service,
                               add.m_data_centre);
          },
          [](const RemoveBackendServer& remove) {
            return fmt::format("{} {} {}", kRemoveServer, remove.m_service,
                               remove.m_server);
          }},
      action);
}

void Apply(const DraftAction& action, Draft& draft) {
  std::visit(base::Overloaded{
                 [](const ShowEditor&) {}, [](const ShowReview&) {},
                 [&](const AddService&) {
                   FindOrCreateList(draft.m_root, "services")
                       .m_items.push_back(EmptyNode(YamlNode::Kind::kMap));
                 },
                 [&](const RemoveService& remove) {
                   RemoveItem(FindOrCreateList(draft.m_root, "services"),
                              remove.m_service);
                 },
                 [&](const AddBackendServer& add) {
                   YamlNode* service = FindService(draft, add.m_service);
                   if (service == nullptr)
                     return;
                   YamlNode server = EmptyNode(YamlNode::Kind::kMap);
                   if (!add.m_data_centre.empty())
                     AddField(server, "data_centre", add.m_data_centre);
                   FindOrCreateList(*service, "backend_servers")
                       .m_items.push_back(std::move(server));
                 },
                 [&](const RemoveBackendServer& remove) {
                   YamlNode* service = FindService(draft, remove.m_service);
                   if (service != nullptr)
                     RemoveItem(FindOrCreateList(*service, "backend_servers"),
                                remove.m_server);
                 }},
             action);
}

}  // namespace console
