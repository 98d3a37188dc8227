// Builds a YamlNode from the events of yaml-cpp's parser.

#ifndef LIBCONFIGURATION_YAML_TREE_BUILDER_H_
#define LIBCONFIGURATION_YAML_TREE_BUILDER_H_

#include <yaml-cpp/eventhandler.h>
#include <yaml-cpp/mark.h>

#include <cstddef>
#include <string>
#include <vector>

#include "LibConfiguration/yaml_node.h"

namespace configuration {

class YamlTreeBuilder : public YAML::EventHandler {
 public:
  // Queries.
  std::size_t DocumentCount() const { return m_document_count; }
  const Problems& problems() const { return m_problems; }
  const YamlNode& root() const { return m_root; }

  // Commands, called by the parser.
  void OnDocumentStart(const YAML::Mark& mark) override;
  void OnDocumentEnd() override {}
  void OnNull(const YAML::Mark& mark, YAML::anchor_t anchor) override;
  void OnAlias(const YAML::Mark& mark, YAML::anchor_t anchor) override;
  void OnScalar(const YAML::Mark& mark,
                const std::string& tag,
                YAML::anchor_t anchor,
                const std::string& value) override;
  void OnSequenceStart(const YAML::Mark& mark,
                       const std::string& tag,
                       YAML::anchor_t anchor,
                       YAML::EmitterStyle::value style) override;
  void OnSequenceEnd() override { CloseContainer(); }
  void OnMapStart(const YAML::Mark& mark,
                  const std::string& tag,
                  YAML::anchor_t anchor,
                  YAML::EmitterStyle::value style) override;
  void OnMapEnd() override { CloseContainer(); }

 private:
  // Returns whether the next node is a key of the innermost open map.
  bool ExpectsKey() const;

  void Report(ProblemKind kind, const YAML::Mark& mark, std::string message);
  // Counts a node. Returns false if the node must be skipped: it lies in a
  // skipped container, in a second document or beyond the maximum number of
  // nodes.
  bool CountNode(const YAML::Mark& mark);
  // Adds a problem if the node has an anchor, an alias or a tag.
  void CheckMarkup(const YAML::Mark& mark,
                   const std::string& tag,
                   YAML::anchor_t anchor);
  void OpenContainer(const YAML::Mark& mark, YamlNode::Kind kind);
  void CloseContainer();
  // Adds a complete node to the innermost open container as a key, a value or
  // an item. The node becomes the root if no container is open.
  void Insert(YamlNode node);

  YamlNode m_root;
  Problems m_problems;
  // The open containers, outermost first.
  std::vector<YamlNode> m_open_containers;
  // The number of open containers that are skipped. The outermost of them is
  // nested too deeply, exceeds the maximum number of nodes or belongs to a
  // second document.
  std::size_t m_skipped_depth = 0;
  std::size_t m_document_count = 0;
  std::size_t m_node_count = 0;
};

}  // namespace configuration

#endif  // LIBCONFIGURATION_YAML_TREE_BUILDER_H_
