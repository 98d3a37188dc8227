#include "LibConfiguration/document_reader.h"

#include <fmt/format.h>

#include <limits>
#include <utility>

#include "LibConfiguration/document_validation.h"
#include "LibConfiguration/map_reader.h"
#include "LibConfiguration/yaml_parser.h"

namespace configuration {

namespace {

constexpr IntegerRange kPort{1, 65535};
constexpr IntegerRange kCandidates{1, 64};
constexpr NumberRange kShare{0, 1};
constexpr IntegerRange kWaitMilliseconds{1, 600'000};
constexpr IntegerRange kPercent{0, 100};
constexpr IntegerRange kDeadlineMilliseconds{10, 60'000};
constexpr IntegerRange kSlots{1, 1024};
constexpr IntegerRange kConnections{1, 1'000'000};
// A double, and so JSON readers, represent integers exactly up to 2^53.
constexpr IntegerRange kIncarnation{1, 1ULL << 53};
constexpr IntegerRange kVersion{0, std::numeric_limits<std::uint64_t>::max()};

PlacementRule ReadPlacement(MapReader& map) {
  PlacementRule rule;
  rule.m_candidates =
      map.IntegerOr("candidates", rule.m_candidates, kCandidates);
  rule.m_imbalance_weight =
      map.NumberOr("imbalance_weight", rule.m_imbalance_weight, kShare);
  return rule;
}

ServiceObjective ReadObjective(MapReader& map) {
  ServiceObjective objective;
  objective.m_broken_flows =
      map.NumberOr("broken_flows", objective.m_broken_flows, kShare);
  objective.m_refused_openings =
      map.NumberOr("refused_openings", objective.m_refused_openings, kShare);
  objective.m_wait =
      map.DurationOr("wait_ms", objective.m_wait, kWaitMilliseconds);
  return objective;
}

ServiceLimits ReadLimits(MapReader& map) {
  ServiceLimits limits;
  limits.m_retry_budget_percent = map.IntegerOr(
      "retry_budget_percent", limits.m_retry_budget_percent, kPercent);
  limits.m_opening_deadline = map.DurationOr(
      "opening_deadline_ms", limits.m_opening_deadline, kDeadlineMilliseconds);
  return limits;
}

BackendServer ReadBackendServer(MapReader& map) {
  BackendServer server;
  server.m_name = map.RequiredName("name");
  server.m_data_centre = base::DataCentreId(map.RequiredName("data_centre"));
  server.m_address = map.RequiredEndpoint("address", kPort);
  server.m_health = map.RequiredEndpoint("health", kPort);
  server.m_slots = map.RequiredInteger("slots", kSlots);
  server.m_connections = map.RequiredInteger("connections", kConnections);
  server.m_state =
      map.EnumOr("state", server.m_state, kBackendServerStateNames);
  server.m_incarnation =
      map.IntegerOr("incarnation", server.m_incarnation, kIncarnation);
  return server;
}

// Reads one YAML tree into a document and collects every error.
class DocumentReader {
 public:
  explicit DocumentReader(const YamlNode& root) : m_root(root) {}

  const Problems& problems() const { return m_problems; }

  Document Read() {
    Document document;
    MapReader map(m_root, "", m_problems);
    document.m_submission = ReadSubmission(map);
    document.m_previous_submissions = ReadPreviousSubmissions(map);
    document.m_services = ReadServices(map);
    map.ReportUnexpectedKeys();
    return document;
  }

 private:
  static SubmissionEntry ReadSubmission(MapReader& map) {
    SubmissionEntry entry;
    entry.m_id = map.OptionalName("submission");
    entry.m_base_version =
        base::ConfigurationVersion(map.IntegerOr("base_version", 0, kVersion));
    return entry;
  }

  std::vector<SubmissionEntry> ReadPreviousSubmissions(MapReader& parent) {
    constexpr std::string_view kKey = "previous_submissions";
    std::vector<SubmissionEntry> submissions;
    const auto& items = parent.OptionalItems(kKey, kMaxPreviousSubmissions);
    for (std::size_t index = 0; index < items.size(); ++index) {
      MapReader map(items[index], ItemPath(parent, kKey, index), m_problems);
      submissions.push_back(ReadSubmission(map));
      map.ReportUnexpectedKeys();
    }
    return submissions;
  }

  std::vector<Service> ReadServices(MapReader& parent) {
    constexpr std::string_view kKey = "services";
    std::vector<Service> services;
    const auto& items = parent.OptionalItems(kKey, kMaxServices);
    for (std::size_t index = 0; index < items.size(); ++index) {
      MapReader map(items[index], ItemPath(parent, kKey, index), m_problems);
      services.push_back(ReadService(map));
      map.ReportUnexpectedKeys();
    }
    return services;
  }

  Service ReadService(MapReader& map) {
    Service service;
    service.m_name = map.RequiredName("name");
    service.m_address = map.RequiredEndpoint("address", kPort);
    service.m_placement = ReadGroup(map, "placement", ReadPlacement);
    service.m_objective = ReadGroup(map, "objective", ReadObjective);
    service.m_limits = ReadGroup(map, "limits", ReadLimits);
    service.m_backend_servers = ReadBackendServers(map);
    return service;
  }

  std::vector<BackendServer> ReadBackendServers(MapReader& parent) {
    constexpr std::string_view kKey = "backend_servers";
    std::vector<BackendServer> servers;
    const auto& items = parent.OptionalItems(kKey, kMaxBackendServersInService);
    for (std::size_t index = 0; index < items.size(); ++index) {
      MapReader map(items[index], ItemPath(parent, kKey, index), m_problems);
      servers.push_back(ReadBackendServer(map));
      map.ReportUnexpectedKeys();
    }
    return servers;
  }

  template <typename Group>
  Group ReadGroup(MapReader& parent,
                  std::string_view key,
                  Group (*read)(MapReader&)) {
    const YamlNode* node = parent.OptionalNode(key);
    if (node == nullptr)
      return {};
    MapReader map(*node, parent.PathOf(key), m_problems);
    Group group = read(map);
    map.ReportUnexpectedKeys();
    return group;
  }

  static std::string ItemPath(const MapReader& parent,
                              std::string_view key,
                              std::size_t index) {
    return fmt::format("{}[{}]", parent.PathOf(key), index);
  }

  const YamlNode& m_root;
  Problems m_problems;
};

void SetPositions(const YamlNode& root, Problems& problems) {
  for (Problem& problem : problems)
    problem.m_position = FindPosition(root, problem.m_path);
}

}  // namespace

ValueOrProblems<Document> ReadDocument(std::string_view text) {
  const ValueOrProblems<YamlNode> parsed = ParseYaml(text);
  if (const auto* problems = std::get_if<Problems>(&parsed))
    return *problems;
  return ReadDocument(std::get<YamlNode>(parsed));
}

ValueOrProblems<Document> ReadDocument(const YamlNode& root) {
  DocumentReader reader(root);
  Document document = reader.Read();
  if (!reader.problems().empty())
    return reader.problems();
  Problems problems = Validate(document);
  SetPositions(root, problems);
  if (!problems.empty())
    return problems;
  return document;
}

ValueOrProblems<CheckedDocument> ReadReplacement(std::string_view text,
                                                 const Document& previous) {
  const ValueOrProblems<YamlNode> parsed = ParseYaml(text);
  if (const auto* problems = std::get_if<Problems>(&parsed))
    return *problems;
  return ReadReplacement(std::get<YamlNode>(parsed), previous);
}

ValueOrProblems<CheckedDocument> ReadReplacement(const YamlNode& root,
                                                 const Document& previous) {
  ValueOrProblems<Document> read = ReadDocument(root);
  if (auto* problems = std::get_if<Problems>(&read))
    return std::move(*problems);
  auto& document = std::get<Document>(read);
  Problems problems = ValidateReplacement(previous, document);
  SetPositions(root, problems);
  if (HasError(problems))
    return problems;
  return CheckedDocument{std::move(document), std::move(problems)};
}

}  // namespace configuration
