#include <doctest/doctest.h>

#include <chrono>
#include <string>

#include "LibBase/random.h"
#include "LibLoadExchange/limits.h"
#include "LibLoadExchange/load_codec.h"

namespace load_exchange {

namespace {

LoadReport LargeReport() {
  LoadReport report;
  report.m_sequence = 1ULL << 40;
  report.m_data_centre = KeyOf("hall-0");
  for (std::uint32_t i = 0; i < 40; ++i) {
    report.m_services.push_back({i, i * 100'000, i});
    report.m_servers.push_back({i, i * 1.0, 2.0, 0});
  }
  return report;
}

LoadSums LargeSums(std::uint32_t data_centres) {
  LoadSums sums;
  for (std::uint32_t i = 0; i < data_centres; ++i) {
    const LoadReport report = LargeReport();
    sums.push_back({i, base::Ipv4Address(i), 9, 100 + i,
                    std::chrono::milliseconds(700), report.m_services,
                    report.m_servers});
  }
  return sums;
}

}  // namespace

TEST_CASE("a report of many services does not fit into a request") {
  const std::string bytes = EncodeReport(LargeReport());
  REQUIRE(bytes.size() <= kMaximumReportBytes);
  const auto decoded = DecodeLoad(bytes);
  REQUIRE(decoded);
  const auto& report = std::get<LoadReport>(decoded.value());
  REQUIRE(report.m_services.size() == kMaximumServices);
  REQUIRE(report.m_servers.size() == kMaximumReportedServers);
  // The greatest load is kept.
  CHECK(report.m_services.front() == ServiceLoad{39, 3'900'000, 39});
  CHECK(report.m_servers.front() == ServerEvidence{39, 39, 2, 0});
}

TEST_CASE("the sums of many data centres do not fit into a response") {
  for (const std::uint32_t data_centres : {1U, 4U, 16U, 40U}) {
    for (const std::size_t limit : {kMaximumReportBytes, kMaximumSumsBytes}) {
      const std::string bytes = EncodeSums(LargeSums(data_centres), limit);
      CAPTURE(data_centres);
      REQUIRE(bytes.size() <= limit);
      const auto decoded = DecodeLoad(bytes);
      REQUIRE(decoded);
      const auto& sums = std::get<LoadSums>(decoded.value());
      CHECK(sums.front().m_balancers == 100 + data_centres - 1);
      CHECK(sums.front().m_age == std::chrono::milliseconds(700));
      const bool has_space = data_centres <= 4 || limit == kMaximumSumsBytes;
      CHECK(sums.front().m_servers.empty() != has_space);
    }
  }
}

TEST_CASE("a damaged message is read beyond its end or accepted") {
  const std::string report = EncodeReport(LargeReport());
  for (std::size_t size = 0; size < report.size(); ++size)
    CHECK_FALSE(DecodeLoad(std::string_view(report).substr(0, size)));
  CHECK_FALSE(DecodeLoad(report + "x"));
  std::string other_version = report;
  other_version.front() = '\x12';
  CHECK_FALSE(DecodeLoad(other_version));
  base::Random random(3);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = i % 2 == 0 ? report : EncodeSums(LargeSums(3), 500);
    for (int change = 0; change < 3; ++change)
      bytes[random.Below(bytes.size())] = static_cast<char>(random.Next());
    // Must return, with or without an error.
    static_cast<void>(DecodeLoad(bytes));
  }
}

}  // namespace load_exchange
