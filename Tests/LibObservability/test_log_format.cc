#include <doctest/doctest.h>

#include <chrono>
#include <limits>
#include <set>
#include <vector>

#include "LibObservability/log_format.h"

using observability::Event;
using observability::LogField;
using observability::QuoteJson;
using observability::Severity;

TEST_CASE("a log line is one JSON object with typed fields") {
  const std::vector<LogField> fields{{"name", "a\"b"},   {"count", 3U},
                                     {"change", -4},     {"share", 0.25},
                                     {"draining", true}, {"bad", 0.0 / 0.0}};
  const auto time = std::chrono::system_clock::time_point(
      std::chrono::milliseconds(1'700'000'000'007));

  const auto line = observability::FormatLogLine(time, Severity::kWarning,
                                                 Event::kPeerJoined, fields);

  CHECK(line == R"({"time":"2023-11-14T22:13:20.007Z","severity":"warning",)"
                R"("event":"peer_joined","name":"a\"b","count":3,"change":-4,)"
                R"("share":0.25,"draining":true,"bad":null})");
}

TEST_CASE("control characters are escaped and malformed UTF-8 is replaced") {
  CHECK(QuoteJson("a\nb\x01\\\x7f") == "\"a\\nb\\u0001\\\\\\u007f\"");
  CHECK(QuoteJson("gr\xC3\xA4ns") == "\"gr\xC3\xA4ns\"");
  CHECK(QuoteJson("\xC3") == "\"\xEF\xBF\xBD\"");
  CHECK(QuoteJson("\xC0\xAF") == "\"\xEF\xBF\xBD\xEF\xBF\xBD\"");
  CHECK(QuoteJson("\xED\xA0\x80") ==
        "\"\xEF\xBF\xBD\xEF\xBF\xBD\xEF\xBF\xBD\"");
}

TEST_CASE("every event has a unique name") {
  std::set<std::string_view> names;
  for (const auto& entry : observability::kEventNames)
    names.insert(entry.m_name);

  CHECK(names.size() == observability::kEventNames.size());
  CHECK(static_cast<std::size_t>(Event::kEventsSuppressed) + 1 ==
        observability::kEventNames.size());
}
