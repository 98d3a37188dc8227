#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "LibConfiguration/settings_reader.h"

using configuration::ProblemKind;
using configuration::Problems;
using configuration::ReadSettings;
using configuration::Settings;

namespace {

const std::string kRequired =
    "data_centre: uppsala\n"
    "name: balancer-1\n"
    "traffic: 127.0.0.1:0\n"
    "peer: 127.0.0.1:0\n"
    "admin: 127.0.0.1:0\n"
    "gateway: 127.0.0.9:4000\n"
    "platform: 127.0.0.8:8080\n"
    "operator_token: correct-horse\n";

}  // namespace

TEST_CASE("settings with only the required keys get default values") {
  const auto read = ReadSettings(kRequired);

  REQUIRE(std::holds_alternative<Settings>(read));
  const auto& settings = std::get<Settings>(read);
  CHECK(settings.m_data_centre.value() == "uppsala");
  CHECK(base::ToString(settings.m_gateway) == "127.0.0.9:4000");
  CHECK_FALSE(settings.m_seed);
  CHECK_FALSE(settings.m_advertised);
  CHECK(settings.m_control.m_hold == std::chrono::seconds(3));
  CHECK(settings.m_mechanisms.m_probe);
}

TEST_CASE("given settings replace the defaults") {
  const auto read = ReadSettings(kRequired +
                                 "seed: 18446744073709551615\n"
                                 "control: {lease_ms: 400, hold_ms: 900,"
                                 " placement: first_hash}\n"
                                 "advertise: {traffic: 192.0.2.1:4000,"
                                 " peer: 192.0.2.1:4001}\n"
                                 "mechanisms: {probe: false}\n");

  REQUIRE(std::holds_alternative<Settings>(read));
  const auto& settings = std::get<Settings>(read);
  CHECK(settings.m_seed == 18446744073709551615ULL);
  REQUIRE(settings.m_advertised);
  CHECK(base::ToString(settings.m_advertised->m_traffic) == "192.0.2.1:4000");
  CHECK(base::ToString(settings.m_advertised->m_peer) == "192.0.2.1:4001");
  CHECK(settings.m_control.m_lease == std::chrono::milliseconds(400));
  CHECK(settings.m_control.m_placement ==
        configuration::PlacementPolicy::kFirstHash);
  CHECK_FALSE(settings.m_mechanisms.m_probe);
  CHECK(settings.m_mechanisms.m_address_hold);
}

TEST_CASE("every error of the settings is reported at once with its position") {
  const auto read = ReadSettings(
      "data_centre: uppsala\n"
      "name: [a]\n"
      "traffic: 127.0.0.1\n"
      "peer: 127.0.0.1:1\n"
      "admin: 127.0.0.1:2\n"
      "gateway: 127.0.0.9:0\n"
      "platform: 127.0.0.8:8080\n"
      "control:\n"
      "  lease_ms: -5\n"
      "  lease_ms: 7\n"
      "  flow_table_mb: \"48\"\n"
      "  colour: red\n"
      "mechanisms: {probe: perhaps}\n");

  REQUIRE(std::holds_alternative<Problems>(read));
  const auto& problems = std::get<Problems>(read);
  const auto has = [&](ProblemKind kind, std::string_view path, int line,
                       int column) {
    return std::ranges::any_of(problems, [&](const auto& problem) {
      return problem.m_kind == kind && problem.m_path == path &&
             problem.m_position == configuration::Position{line, column};
    });
  };
  CHECK(has(ProblemKind::kWrongType, "name", 2, 7));
  CHECK(has(ProblemKind::kWrongType, "traffic", 3, 10));
  CHECK(has(ProblemKind::kOutOfRange, "gateway", 6, 10));
  CHECK(has(ProblemKind::kMissingKey, "operator_token", 1, 1));
  CHECK(has(ProblemKind::kOutOfRange, "control.lease_ms", 9, 13));
  CHECK(has(ProblemKind::kDuplicateKey, "control.lease_ms", 10, 3));
  CHECK(has(ProblemKind::kWrongType, "control.flow_table_mb", 11, 18));
  CHECK(has(ProblemKind::kUnknownKey, "control.colour", 12, 3));
  CHECK(has(ProblemKind::kWrongType, "mechanisms.probe", 13, 21));
  CHECK(problems.size() == 9);
}

TEST_CASE("a single advertised endpoint or one with port 0 is refused") {
  const auto read =
      ReadSettings(kRequired + "advertise: {traffic: 192.0.2.1:0}\n");

  REQUIRE(std::holds_alternative<Problems>(read));
  const auto& problems = std::get<Problems>(read);
  REQUIRE(problems.size() == 2);
  CHECK(problems[0].m_path == "advertise.traffic");
  CHECK(problems[0].m_kind == ProblemKind::kOutOfRange);
  CHECK(problems[1].m_path == "advertise.peer");
  CHECK(problems[1].m_kind == ProblemKind::kMissingKey);
}

TEST_CASE("contradictory settings are refused") {
  const auto read =
      ReadSettings(kRequired + "control: {lease_ms: 3000, hold_ms: 3000}\n");

  REQUIRE(std::holds_alternative<Problems>(read));
  const auto& problems = std::get<Problems>(read);
  REQUIRE(problems.size() == 1);
  CHECK(problems[0].m_kind == ProblemKind::kContradiction);
  CHECK(configuration::ToString(problems[0]) ==
        "line 9, column 36: control.hold_ms: the hold must be longer than the "
        "lease (contradiction)");
}
