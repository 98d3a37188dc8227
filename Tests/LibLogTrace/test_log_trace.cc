#include <doctest/doctest.h>

#include <array>
#include <utility>

#include "LibLogTrace/log_trace.h"

namespace log_trace {

namespace {

SourcedLine Line(const std::string& source,
                 const std::string& second,
                 const std::string& fields) {
  return {source, "  9.1 " + source + R"( {"time":"2026-01-31T10:00:)" +
                      second + R"(Z",)" + fields + "}"};
}

const std::string kFlow =
    R"("caller":"100.64.0.7:40001","address":"198.18.0.1:443")";
const std::string kOtherFlow =
    R"("caller":"100.64.0.8:40001","address":"198.18.0.1:443")";

}  // namespace

TEST_CASE(
    "a trace has the lines of a request's flow, servers and processes in "
    "order") {
  const std::vector<SourcedLine> lines = {
      Line("edge-2", "07.500",
           R"("event":"flow_reset","request":"r1",)" + kFlow +
               R"(,"server":"i-1","reason":"server_unreachable")"),
      Line("edge-1", "05.000",
           R"("event":"opening_placed",)" + kFlow + R"(,"server":"i-1")"),
      Line("edge-1", "06.000",
           R"("event":"request_forwarded","request":"r1",)" + kFlow +
               R"(,"server":"i-1")"),
      Line("edge-1", "06.100",
           R"("event":"request_forwarded","request":"r2",)" + kOtherFlow +
               R"(,"server":"i-2")"),
      Line("edge-2", "07.400",
           R"("event":"server_unreachable","server":"i-1")"),
      Line("edge-2", "07.410",
           R"("event":"server_unreachable","server":"i-2")"),
      Line("edge-1", "05.500", R"("event":"store_lost")"),
      Line("edge-3", "05.500", R"("event":"store_lost")"),
      Line("edge-1", "40.000", R"("event":"store_regained")"),
  };

  const auto trace = TraceRequest(lines, "r1");

  REQUIRE(trace.size() == 5);
  CHECK(trace[0].m_text.find("opening_placed") != std::string::npos);
  CHECK(trace[1].m_text.find("store_lost") != std::string::npos);
  CHECK(trace[2].m_text.find("request_forwarded") != std::string::npos);
  CHECK(trace[3].m_text.find("server_unreachable") != std::string::npos);
  CHECK(trace[4].m_text.find("flow_reset") != std::string::npos);
}

TEST_CASE("a trace over midnight has the lines of both days") {
  const auto line = [](const std::string& time, const std::string& fields) {
    return SourcedLine{"edge-1",
                       R"({"time":")" + time + R"(",)" + fields + "}"};
  };
  const std::vector<SourcedLine> lines = {
      line("2026-01-31T23:59:59.900Z",
           R"("event":"request_forwarded","request":"r1",)" + kFlow +
               R"(,"server":"i-1")"),
      line("2026-02-01T00:00:00.300Z",
           R"("event":"server_unreachable","server":"i-1")"),
      line("2026-01-31T00:00:00.300Z",
           R"("event":"server_unreachable","server":"i-1")"),
  };

  const auto trace = TraceRequest(lines, "r1");

  REQUIRE(trace.size() == 2);
  CHECK(trace[1].m_text.find("2026-02-01") != std::string::npos);
}

TEST_CASE(
    "a trace misses no line that is in the process's log of the day before") {
  const auto line = [](const std::string& file, const std::string& time,
                       const std::string& fields) {
    return SourcedLine{file, R"({"time":")" + time + R"(",)" + fields + "}"};
  };
  const auto names = std::to_array<std::pair<std::string, std::string>>(
      {{"edge-1-2026-01-31.log", "edge-1-2026-02-01.log"},
       {"log/20260131/edge-1.log", "log/20260201/edge-1.log"},
       {"edge-1.log.1", "edge-1.log"}});
  for (const auto& [before, after] : names) {
    const std::vector<SourcedLine> lines = {
        line(before, "2026-01-31T23:59:58.900Z", R"("event":"store_lost")"),
        line("edge-2-2026-01-31.log", "2026-01-31T23:59:58.900Z",
             R"("event":"store_lost")"),
        line(after, "2026-02-01T00:00:01.300Z",
             R"("event":"request_forwarded","request":"r1",)" + kFlow +
                 R"(,"server":"i-1")"),
    };

    const auto trace = TraceRequest(lines, "r1");

    REQUIRE(trace.size() == 2);
    CHECK(trace[0].m_source == before);
  }
}

// The command ended with a stack overflow.
TEST_CASE("a line with deep nesting is read like any other") {
  constexpr std::size_t kDepth = 500'000;
  const std::string nested =
      std::string(kDepth, '[') + std::string(kDepth, ']');
  const std::vector<SourcedLine> lines = {
      Line("edge-1", "06.000",
           R"("event":"request_forwarded","request":"r1",)" + kFlow +
               R"(,"note":)" + nested)};

  CHECK(TraceRequest(lines, "r1").size() == 1);
}

TEST_CASE(
    "the trace is empty for an unknown request and for lines without JSON") {
  CHECK(TraceRequest({{"edge-1", "garbage"}, {"edge-1", "{\"a\":"}}, "r1")
            .empty());
  CHECK(TraceRequest({}, "r1").empty());
}

}  // namespace log_trace
