// Tests the drivers against the platform stand-in over loopback sockets.

#include <doctest/doctest.h>

#include <algorithm>
#include <asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "LibConfiguration/document.h"
#include "LibPlatform/configuration_watcher_driver.h"
#include "LibPlatform/document_history.h"
#include "LibPlatform/submission_driver.h"
#include "LibPlatform/vm_poller.h"
#include "StandIns/Platform/platform_server.h"

using base::ConfigurationVersion;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr const char* kKey = "coltsfootdale/document";
constexpr auto kInForceWithin = seconds(4);

class DriverFixture {
 public:
  bool RunUntil(const std::function<bool()>& condition) {
    const base::TimePoint deadline = base::Clock::now() + kInForceWithin;
    while (!condition() && base::Clock::now() < deadline)
      m_context.run_one_for(milliseconds(10));
    return condition();
  }

  platform::SubmissionResult Submit(const std::string& id,
                                    std::uint64_t base_version) {
    const platform::SubmissionRecord record{platform::SubmissionId(id),
                                            ConfigurationVersion(base_version)};
    const std::string document =
        platform::WriteSubmittedDocument({}, {}, record);
    std::optional<platform::SubmissionResult> result;
    platform::SubmissionDriver driver(
        m_context, m_client, kKey, document,
        platform::Submission(record, {}, base::Random(1)),
        [&](const auto& settled) { result = settled; });
    driver.Start();
    REQUIRE(RunUntil([&] { return result.has_value(); }));
    return *result;
  }

  asio::io_context m_context{1};
  stand_ins::PlatformServer m_server{m_context,
                                     {base::Ipv4Address(0x7f000001), 0},
                                     {}};
  platform::PlatformClient m_client{m_context, m_server.Listening()};
};

}  // namespace

TEST_CASE(
    "a submission with a lost response is settled by reading the document") {
  DriverFixture fixture;
  fixture.m_server.Execute("lose-answers count=1");

  const auto result = fixture.Submit("first", 0);
  const auto second = fixture.Submit("second", 0);

  REQUIRE(std::holds_alternative<platform::Accepted>(result));
  CHECK(std::get<platform::Accepted>(result).m_version ==
        ConfigurationVersion(1));
  REQUIRE(std::holds_alternative<platform::RefusedByConflict>(second));
}

TEST_CASE("a submission with lost responses is settled although reads lag") {
  DriverFixture fixture;
  fixture.m_server.Execute("lag ms=300");
  fixture.m_server.Execute("lose-answers count=2");

  const auto result = fixture.Submit("first", 0);

  REQUIRE(std::holds_alternative<platform::Accepted>(result));
}

TEST_CASE(
    "the watcher puts each document in force, also after platform outages") {
  DriverFixture fixture;
  std::vector<ConfigurationVersion> versions;
  platform::ConfigurationWatcherDriver driver(
      fixture.m_context, fixture.m_client, kKey,
      platform::ConfigurationWatcher(base::BalancerId(1), {}, base::Random(1),
                                     base::Clock::now()),
      [&](ConfigurationVersion version, const std::string&) {
        versions.push_back(version);
        return true;
      },
      [](const platform::PullFromPeer&) {},
      [](const platform::RequestDigest&) {});
  driver.Start();

  fixture.Submit("first", 0);
  REQUIRE(fixture.RunUntil([&] { return versions.size() == 1; }));
  for (const std::string mode : {"refuse", "silent"}) {
    const std::size_t expected = versions.size() + 1;
    const std::string counter = mode == "refuse" ? "refused" : "silent";
    fixture.m_server.Execute("outage mode=" + mode);
    REQUIRE(fixture.RunUntil([&] {
      return fixture.m_server.Execute("counts").find(counter) !=
             std::string::npos;
    }));
    fixture.m_server.Execute("outage mode=off");
    fixture.Submit(mode, versions.back().value());
    REQUIRE(fixture.RunUntil([&] { return versions.size() == expected; }));
  }

  CHECK(std::is_sorted(versions.begin(), versions.end()));
}

TEST_CASE("the poller reports the VMs that the platform lists") {
  DriverFixture fixture;
  std::vector<platform::VmRecord> vms;
  platform::VmPoller poller(
      fixture.m_context, fixture.m_client, base::DataCentreId("north"),
      milliseconds(20), base::Random(1),
      [&](const std::vector<platform::VmRecord>& records) { vms = records; });
  poller.Start();

  fixture.m_server.Execute(
      "vm name=a data_centre=north state=leaving traffic=127.0.0.1:1 "
      "peer=127.0.0.1:2 admin=127.0.0.1:3");

  REQUIRE(fixture.RunUntil([&] { return vms.size() == 1; }));
  CHECK(vms.front().m_state == platform::VmState::kLeaving);
}
