#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <variant>

#include "platform/settings_decoder.h"

namespace adapter {

namespace {

const std::string kSettings = R"({
  "node_name": "front-hall-1-1", "zone": "hall-1",
  "listen": {"datagram_addr": "10.1.0.10:8172", "ready_addr": "10.1.0.10:8167",
             "control": "10.1.0.10:8166"},
  "internal_ports": [7720, 7735],
  "seeds": ["10.1.0.10:8166", "10.2.0.40:8166"],
  "heartbeat_ms": 1200, "forward_mode": "echo", "unknown": {"a": [1]},
  "bounds": {"drain_ms": 2500, "grace_s": 6, "config_apply_ms": 3000,
             "stable_window_ms": 4000, "evacuate_ms": 5000,
             "warmup_overrun": 1.5, "warmup_slack": 5},
  "platform": {"address": "10.200.1.7:8169", "forward_mode": "objects"}})";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

TEST_CASE("the platform's settings are decoded into EdgeSettings") {
  const auto result = DecodeSettings(kSettings);

  const auto* settings = std::get_if<edge::EdgeSettings>(&result);
  REQUIRE(settings != nullptr);
  CHECK(settings->m_vm == "front-hall-1-1");
  CHECK(settings->m_data_centre == base::DataCentreId("hall-1"));
  CHECK(settings->m_caller_port == 8172);
  CHECK(ToString(settings->m_metrics) == "10.1.0.10:7720");
  CHECK(settings->m_seeds.size() == 2);
  CHECK(settings->m_drain_bound == std::chrono::milliseconds(2500));
  CHECK(settings->m_stop_grace == std::chrono::seconds(6));
  CHECK(settings->m_evacuation_bound == std::chrono::milliseconds(5000));
  CHECK(settings->m_warm_up_overrun == 1.5);
  CHECK(settings->m_warm_up_slack == 5);
}

TEST_CASE("a deployment without a bound on evacuations has none decoded") {
  const auto result =
      DecodeSettings(Replace(kSettings, R"("evacuate_ms": 5000,)", ""));

  const auto* settings = std::get_if<edge::EdgeSettings>(&result);
  REQUIRE(settings != nullptr);
  CHECK_FALSE(settings->m_evacuation_bound);
}

TEST_CASE("the feed uses the second internal port, if there is one") {
  const auto with_ports = DecodeSettings(kSettings);
  const auto without =
      DecodeSettings(Replace(kSettings, "[7720, 7735]", "[7720]"));

  REQUIRE(std::get_if<edge::EdgeSettings>(&with_ports) != nullptr);
  const auto& feed = std::get<edge::EdgeSettings>(with_ports).m_feed;
  REQUIRE(feed);
  CHECK(ToString(*feed) == "10.1.0.10:7721");
  REQUIRE(std::get_if<edge::EdgeSettings>(&without) != nullptr);
  CHECK_FALSE(std::get<edge::EdgeSettings>(without).m_feed);
}

TEST_CASE("a fleet is identified by its region and data centres in any order") {
  const auto fleet_of = [](const std::string& fields) {
    const auto result = DecodeSettings(
        Replace(kSettings, "\"unknown\"", fields + ",\"unknown\""));
    return std::get<edge::EdgeSettings>(result).m_fleet;
  };
  const std::string region = R"("region":"north",)";

  const auto fleet = fleet_of(region + R"("zones":{"a":"x","b":"x"})");

  CHECK(fleet == fleet_of(region + R"("zones":{"b":"x","a":"x"})"));
  CHECK(fleet != fleet_of(region + R"("zones":{"a":"x","c":"x"})"));
  CHECK(fleet != fleet_of(R"("region":"south","zones":{"a":"x","b":"x"})"));
}

TEST_CASE(
    "every problem of the settings is reported with the path of its field") {
  std::string text = Replace(kSettings, "\"10.200.1.7:8169\"", "7");
  text = Replace(text, "\"zone\": \"hall-1\",", "");
  text = Replace(text, "2500", "-1");
  text = Replace(text, "\"10.2.0.40:8166\"", "\"nowhere\"");

  const auto result = DecodeSettings(text);

  const auto* problems = std::get_if<configuration::Problems>(&result);
  REQUIRE(problems != nullptr);
  REQUIRE(problems->size() == 4);
  CHECK((*problems)[0].m_path == "zone");
  CHECK((*problems)[1].m_path == "platform.address");
  CHECK((*problems)[2].m_path == "seeds[1]");
  CHECK((*problems)[3].m_path == "bounds.drain_ms");
}

// The process ended with a stack overflow.
TEST_CASE("an unknown field that is deeply nested is ignored") {
  constexpr std::size_t kDepth = 500'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');

  const auto result =
      DecodeSettings(Replace(kSettings, R"({"a": [1]})", nested));

  CHECK(std::holds_alternative<edge::EdgeSettings>(result));
}

TEST_CASE("an unsupported forward mode is refused") {
  const auto result =
      DecodeSettings(Replace(kSettings, "\"echo\"", "\"relay\""));

  CHECK(std::holds_alternative<configuration::Problems>(result));
}

TEST_CASE("text that is not a JSON object is refused") {
  for (const char* text : {"", "{", "[]", "7", "{\"a\":}"})
    CHECK(
        std::holds_alternative<configuration::Problems>(DecodeSettings(text)));
}

}  // namespace adapter
