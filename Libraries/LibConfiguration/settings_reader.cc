#include "LibConfiguration/settings_reader.h"

#include <limits>

#include "LibConfiguration/map_reader.h"
#include "LibConfiguration/yaml_parser.h"

namespace configuration {

namespace {

constexpr IntegerRange kListeningPort{0, 65535};
constexpr IntegerRange kRemotePort{1, 65535};
constexpr IntegerRange kTokenBytes{8, 256};
constexpr IntegerRange kSeed{0, std::numeric_limits<std::uint64_t>::max()};
constexpr IntegerRange kIntervalMilliseconds{10, 60'000};
constexpr IntegerRange kIdleSeconds{1, 604'800};
constexpr IntegerRange kFlowTableMegabytes{1, 16'384};
constexpr IntegerRange kSearchBudget{0, 1'000'000};
constexpr IntegerRange kSilenceWatchMilliseconds{2'000, 60'000};
constexpr IntegerRange kSilenceRepetitions{4, 100};

ControlSettings ReadControl(MapReader& map) {
  ControlSettings control;
  control.m_lease =
      map.DurationOr("lease_ms", control.m_lease, kIntervalMilliseconds);
  control.m_hold =
      map.DurationOr("hold_ms", control.m_hold, kIntervalMilliseconds);
  control.m_health_interval = map.DurationOr(
      "health_interval_ms", control.m_health_interval, kIntervalMilliseconds);
  control.m_flow_idle =
      map.DurationOr("flow_idle_s", control.m_flow_idle, kIdleSeconds);
  control.m_flow_table_mb = map.IntegerOr(
      "flow_table_mb", control.m_flow_table_mb, kFlowTableMegabytes);
  control.m_search_budget_per_second =
      map.IntegerOr("search_budget_per_second",
                    control.m_search_budget_per_second, kSearchBudget);
  control.m_placement =
      map.EnumOr("placement", control.m_placement, kPlacementPolicyNames);
  control.m_silence_watch = map.DurationOr(
      "silence_watch_ms", control.m_silence_watch, kSilenceWatchMilliseconds);
  control.m_silence_repetitions =
      map.IntegerOr("silence_repetitions", control.m_silence_repetitions,
                    kSilenceRepetitions);
  return control;
}

MechanismSettings ReadMechanisms(MapReader& map) {
  MechanismSettings mechanisms;
  mechanisms.m_learn_from_answers =
      map.BooleanOr("learn_from_answers", mechanisms.m_learn_from_answers);
  mechanisms.m_relay_to_home =
      map.BooleanOr("relay_to_home", mechanisms.m_relay_to_home);
  mechanisms.m_probe = map.BooleanOr("probe", mechanisms.m_probe);
  mechanisms.m_reopen_on_refusal =
      map.BooleanOr("reopen_on_refusal", mechanisms.m_reopen_on_refusal);
  mechanisms.m_configuration_lease =
      map.BooleanOr("configuration_lease", mechanisms.m_configuration_lease);
  mechanisms.m_address_hold =
      map.BooleanOr("address_hold", mechanisms.m_address_hold);
  mechanisms.m_pull_from_peers =
      map.BooleanOr("pull_from_peers", mechanisms.m_pull_from_peers);
  mechanisms.m_detect_silence =
      map.BooleanOr("detect_silence", mechanisms.m_detect_silence);
  return mechanisms;
}

std::optional<AdvertisedEndpoints> ReadAdvertised(MapReader& map) {
  return AdvertisedEndpoints{map.RequiredEndpoint("traffic", kRemotePort),
                             map.RequiredEndpoint("peer", kRemotePort)};
}

// Returns what `read` reads from the map under `key`, or the defaults if the
// key is missing.
template <typename Group>
Group ReadGroup(MapReader& parent,
                std::string_view key,
                Problems& problems,
                Group (*read)(MapReader&)) {
  const YamlNode* node = parent.OptionalNode(key);
  if (node == nullptr)
    return {};
  MapReader map(*node, parent.PathOf(key), problems);
  Group group = read(map);
  map.ReportUnexpectedKeys();
  return group;
}

Settings ReadAll(MapReader& map, Problems& problems) {
  Settings settings;
  settings.m_data_centre = base::DataCentreId(map.RequiredName("data_centre"));
  settings.m_name = map.RequiredName("name");
  settings.m_traffic = map.RequiredEndpoint("traffic", kListeningPort);
  settings.m_peer = map.RequiredEndpoint("peer", kListeningPort);
  settings.m_admin = map.RequiredEndpoint("admin", kListeningPort);
  settings.m_advertised = ReadGroup(map, "advertise", problems, ReadAdvertised);
  settings.m_gateway = map.RequiredEndpoint("gateway", kRemotePort);
  settings.m_platform = map.RequiredEndpoint("platform", kRemotePort);
  settings.m_operator_token = map.RequiredSecret("operator_token", kTokenBytes);
  settings.m_seed = map.OptionalInteger("seed", kSeed);
  settings.m_control = ReadGroup(map, "control", problems, ReadControl);
  settings.m_mechanisms =
      ReadGroup(map, "mechanisms", problems, ReadMechanisms);
  map.ReportUnexpectedKeys();
  return settings;
}

// Adds a problem for each combination of values that is not allowed although
// each value alone is.
void ReportContradictions(const Settings& settings,
                          const YamlNode& root,
                          Problems& problems) {
  const auto report = [&](const char* path, const char* message) {
    problems.push_back(
        {ProblemKind::kContradiction, path, message, FindPosition(root, path)});
  };
  const ControlSettings& control = settings.m_control;
  if (control.m_hold <= control.m_lease)
    report("control.hold_ms", "the hold must be longer than the lease");
  if (settings.m_peer.m_port != 0 && settings.m_peer == settings.m_traffic)
    report("peer", "peer and traffic are the same address and port");
  const auto& advertised = settings.m_advertised;
  if (advertised && advertised->m_peer == advertised->m_traffic)
    report("advertise.peer", "peer and traffic are the same address and port");
}

}  // namespace

ValueOrProblems<Settings> ReadSettings(std::string_view text) {
  const ValueOrProblems<YamlNode> parsed = ParseYaml(text);
  if (const auto* problems = std::get_if<Problems>(&parsed))
    return *problems;
  const auto& root = std::get<YamlNode>(parsed);
  Problems problems;
  MapReader map(root, "", problems);
  Settings settings = ReadAll(map, problems);
  if (problems.empty())
    ReportContradictions(settings, root, problems);
  if (!problems.empty())
    return problems;
  return settings;
}

}  // namespace configuration
