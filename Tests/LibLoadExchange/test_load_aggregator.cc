#include <doctest/doctest.h>

#include <chrono>

#include "LibLoadExchange/fleet_load.h"
#include "LibLoadExchange/limits.h"
#include "LibLoadExchange/load_aggregator.h"

namespace load_exchange {

namespace {

using std::chrono::milliseconds;

constexpr base::TimePoint kStart{std::chrono::hours(1)};
const std::uint32_t kHall = KeyOf("hall-0");

LoadReport MakeReport(std::uint64_t sequence, std::uint32_t in_progress) {
  return {sequence, kHall, {{1, in_progress, 2}}, {}};
}

base::Ipv4Address Balancer(std::uint32_t number) {
  return base::Ipv4Address(number);
}

}  // namespace

TEST_CASE("a late or repeated report replaces a newer one") {
  LoadAggregator aggregator(kHall);
  CHECK(aggregator.Accept(Balancer(1), MakeReport(5, 10), kStart) ==
        ReportResult::kAccepted);
  CHECK(aggregator.Accept(Balancer(1), MakeReport(5, 99), kStart) ==
        ReportResult::kOutdated);
  CHECK(aggregator.Accept(Balancer(1), MakeReport(4, 99), kStart) ==
        ReportResult::kOutdated);
  CHECK(aggregator.Accept(Balancer(2), MakeReport(1, 7), kStart) ==
        ReportResult::kAccepted);

  const DataCentreLoad load = aggregator.Sum(kStart);
  CHECK(load.m_balancers == 2);
  CHECK(load.m_services.front() == ServiceLoad{1, 17, 4});
}

TEST_CASE("a frozen balancer counts for ever, or a restarted one never") {
  LoadAggregator aggregator(kHall);
  aggregator.Accept(Balancer(1), MakeReport(500, 10), kStart);
  CHECK(
      aggregator.Sum(kStart + kReportLifetime - milliseconds(1)).m_balancers ==
      1);
  CHECK(aggregator.Sum(kStart + kReportLifetime).m_balancers == 0);
  CHECK(aggregator.Accept(Balancer(1), MakeReport(1, 3),
                          kStart + kReportLifetime) == ReportResult::kAccepted);
}

TEST_CASE("a balancer of another data centre is counted twice") {
  LoadAggregator aggregator(KeyOf("hall-1"));
  CHECK(aggregator.Accept(Balancer(1), MakeReport(1, 1), kStart) ==
        ReportResult::kOtherDataCentre);
  CHECK(aggregator.size() == 0);
}

TEST_CASE("one false balancer has the weight of many") {
  LoadAggregator aggregator(kHall);
  LoadReport report = MakeReport(1, 4'000'000'000);
  report.m_services.push_back(report.m_services.front());
  for (int i = 0; i < 8; ++i)
    report.m_servers.push_back({77, 6000, 0, 0});
  aggregator.Accept(Balancer(1), report, kStart);
  report = MakeReport(1, 0);
  report.m_servers = {{77, 1, 9, 0}};
  aggregator.Accept(Balancer(2), report, kStart);

  const DataCentreLoad load = aggregator.Sum(kStart);
  CHECK(load.m_services.front().m_requests_in_progress ==
        kMaximumRequestsInProgress);
  REQUIRE(load.m_servers.size() == 1);
  CHECK(load.m_servers.front() ==
        ServerEvidence{77, kMaximumEvidence + 1, 9, kMaximumEvidence});
  // What remains is the report of the other balancer.
  CHECK(FleetLoad::UnansweredShare(load.m_servers.front()) < 0.1);
}

}  // namespace load_exchange
